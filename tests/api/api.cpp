// Fields of a call's query, and bodies of errors.
#include <rapidjson/document.h>

#include <catch2/catch.hpp>

#include "api/server.h"

using namespace dewweir::api;

TEST_CASE("a query's field is found by its whole name, the first of them") {
    CHECK(query_field("zone=a&region=b", "region") == "b");
    CHECK(query_field("zone=a&zone=b", "zone") == "a");
    CHECK(query_field("&&zone=a&", "zone") == "a");
    CHECK(query_field("zone=a=b", "zone") == "a=b");
    CHECK_FALSE(query_field("", "zone"));
    CHECK_FALSE(query_field("zones=a&azone=b", "zone"));
    CHECK_FALSE(query_field("region=zone", "zone"));
}

TEST_CASE("a field without a value is there and empty") {
    CHECK(query_field("zone", "zone") == "");
    CHECK(query_field("zone=", "zone") == "");
    CHECK(query_field("zone&region=b", "region") == "b");
}

TEST_CASE("escapes of a value are decoded, and what is none stays") {
    CHECK(query_field("q=a%20b+c%2Bd%26e%3D", "q") == "a b c+d&e=");
    CHECK(query_field("q=%41", "q") == "A");
    CHECK(query_field("q=%c3%A4", "q") == "\xc3\xa4");
    CHECK(query_field("q=%2", "q") == "%2");
    CHECK(query_field("q=%", "q") == "%");
    CHECK(query_field("q=%zz%4g", "q") == "%zz%4g");
    CHECK(query_field("q=%2541", "q") == "%41");
}

TEST_CASE("an error's body is an object of both texts, whatever is in them") {
    const std::string reason("line \"one\"\n\\ \x01 \0 end", 20);
    const std::string body = error_body(reason, "");
    rapidjson::Document document;
    document.Parse(body.data(), body.size());
    REQUIRE_FALSE(document.HasParseError());
    REQUIRE(document.IsObject());
    CHECK(document.MemberCount() == 2);
    CHECK(std::string(document["error"].GetString(), document["error"].GetStringLength()) == reason);
    CHECK(document["advice"] == "");
}

TEST_CASE("every status of the system has its line") {
    for (const Status status :
         {Status::ok, Status::temporary_redirect, Status::bad_request, Status::unauthorized,
          Status::forbidden, Status::not_found, Status::method_not_allowed, Status::request_timeout,
          Status::precondition_failed, Status::content_too_large, Status::misdirected_request,
          Status::unprocessable_content, Status::too_many_requests, Status::header_fields_too_large,
          Status::internal_error, Status::bad_gateway, Status::service_unavailable,
          Status::gateway_timeout}) {
        const std::string number = std::to_string(static_cast<int>(status));
        CHECK(status_line(status).starts_with(number + " "));
    }
    CHECK(status_line(299).empty());
}

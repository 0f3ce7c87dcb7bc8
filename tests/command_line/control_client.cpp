// The sequence of attempts at the control planes, with a scripted network and clock.
#include "program/control_client.h"

#include <catch2/catch.hpp>
#include <map>

namespace dewweir::program {
namespace {

using std::chrono::milliseconds;

// Each address returns the results of its script in order and repeats the last one.
class ScriptedTransport : public Transport {
  public:
    std::map<std::string, std::vector<ExchangeResult>> scripts;
    std::vector<std::string> called;
    std::vector<HttpRequest> requests;
    milliseconds elapsed{0};

    ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                            milliseconds stall_timeout) override {
        called.push_back(to_string(address));
        requests.push_back(request);
        std::vector<ExchangeResult>& script = scripts.at(to_string(address));
        const ExchangeResult result = script.front();
        if (script.size() > 1) script.erase(script.begin());
        const auto* const error = std::get_if<ExchangeError>(&result);
        if (error && *error == ExchangeError::timed_out) elapsed += stall_timeout;
        return result;
    }
    Clock::time_point now() override { return Clock::time_point() + elapsed; }
    void sleep_for(milliseconds duration) override { elapsed += duration; }
};

const ControlAddress first{"10.0.0.1", "80"};
const ControlAddress second{"10.0.0.2", "80"};
const HttpRequest put{"PUT", "/v1/config", "00000005", "{}"};

HttpResponse answer(int status) { return {status}; }
HttpResponse redirect(const ControlAddress& to) { return {307, "http://" + to_string(to) + "/v1/config"}; }

Failure failure_of_call(ScriptedTransport& transport, const HttpRequest& request) {
    const CallResult result = ControlClient(transport, {first, second}, milliseconds(8000)).call(request);
    REQUIRE(std::holds_alternative<Failure>(result));
    return std::get<Failure>(result);
}

int status_of_call(ScriptedTransport& transport) {
    const CallResult result = ControlClient(transport, {first, second}, milliseconds(8000)).call(put);
    INFO((std::holds_alternative<Failure>(result) ? std::get<Failure>(result).reason : std::string()));
    REQUIRE(std::holds_alternative<HttpResponse>(result));
    return std::get<HttpResponse>(result).status;
}

TEST_CASE("a conclusive response ends the call at once, even if it is an error") {
    for (const int status : {200, 400, 404, 412, 413, 422}) {
        ScriptedTransport transport;
        transport.scripts["10.0.0.1:80"] = {answer(status)};
        CHECK(status_of_call(transport) == status);
        CHECK(transport.called.size() == 1);
    }
}

TEST_CASE("after a timeout, a lost connection, 5xx, 408 or 429 the next address gets the same request") {
    const std::vector<ExchangeResult> inconclusive = {ExchangeError::not_connected,
                                                      ExchangeError::unknown_host,
                                                      ExchangeError::timed_out,
                                                      ExchangeError::connection_lost,
                                                      answer(503),
                                                      answer(500),
                                                      answer(408),
                                                      answer(429)};
    for (const ExchangeResult& result : inconclusive) {
        ScriptedTransport transport;
        transport.scripts["10.0.0.1:80"] = {result};
        transport.scripts["10.0.0.2:80"] = {answer(200)};
        CHECK(status_of_call(transport) == 200);
        CHECK(transport.called == std::vector<std::string>{"10.0.0.1:80", "10.0.0.2:80"});
        CHECK(transport.requests[1].if_match == put.if_match);
        CHECK(transport.requests[1].body == put.body);
        CHECK(transport.elapsed <= milliseconds(1100));
    }
}

TEST_CASE("two redirects are followed, a third is not") {
    ScriptedTransport transport;
    transport.scripts["10.0.0.1:80"] = {redirect(second), answer(200)};
    transport.scripts["10.0.0.2:80"] = {redirect(first)};
    CHECK(status_of_call(transport) == 200);
    CHECK(transport.called.size() == 3);

    ScriptedTransport loop;
    loop.scripts["10.0.0.1:80"] = {redirect(first), redirect(first), redirect(first), answer(500)};
    loop.scripts["10.0.0.2:80"] = {answer(200)};
    CHECK(status_of_call(loop) == 200);
    CHECK(loop.called.size() == 4);
}

TEST_CASE("a call ends at its timeout and reports whether a change may have been made") {
    ScriptedTransport not_connected;
    not_connected.scripts["10.0.0.1:80"] = {ExchangeError::not_connected};
    not_connected.scripts["10.0.0.2:80"] = {ExchangeError::not_connected};
    CHECK(failure_of_call(not_connected, put).code == ExitCode::unreachable);
    CHECK(not_connected.elapsed == milliseconds(8000));
    CHECK(not_connected.called.size() < 20);

    // One attempt that may have arrived makes the outcome unknown, whatever the later attempts return.
    ScriptedTransport timed_out;
    timed_out.scripts["10.0.0.1:80"] = {ExchangeError::timed_out, ExchangeError::not_connected};
    timed_out.scripts["10.0.0.2:80"] = {ExchangeError::not_connected};
    CHECK(failure_of_call(timed_out, put).code == ExitCode::outcome_unknown);

    ScriptedTransport without_leader;
    without_leader.scripts["10.0.0.1:80"] = {answer(503)};
    without_leader.scripts["10.0.0.2:80"] = {ExchangeError::timed_out};
    CHECK(failure_of_call(without_leader, put).code == ExitCode::outcome_unknown);
    CHECK(without_leader.elapsed <= milliseconds(9000));

    ScriptedTransport stale_redirect;
    stale_redirect.scripts["10.0.0.1:80"] = {redirect({"10.0.0.3", "80"})};
    stale_redirect.scripts["10.0.0.2:80"] = {ExchangeError::not_connected};
    stale_redirect.scripts["10.0.0.3:80"] = {ExchangeError::not_connected};
    CHECK(failure_of_call(stale_redirect, put).reason ==
          "no clear answer in 8000 ms: 10.0.0.1:80 (sent on to 10.0.0.3:80: no connection) 10.0.0.2:80 (no "
          "connection)");

    // A read changes nothing, so its outcome is never unknown.
    without_leader.elapsed = milliseconds(0);
    CHECK(failure_of_call(without_leader, {"GET", "/v1/config"}).code == ExitCode::unreachable);
}

}  // namespace
}  // namespace dewweir::program

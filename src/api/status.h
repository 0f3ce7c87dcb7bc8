// HTTP status codes that the system answers with, and their reason phrases.
#pragma once

#include <string_view>

namespace dewweir::api {

enum class Status : int {
    ok = 200,
    temporary_redirect = 307,
    bad_request = 400,
    unauthorized = 401,
    forbidden = 403,
    not_found = 404,
    method_not_allowed = 405,
    request_timeout = 408,
    precondition_failed = 412,
    content_too_large = 413,
    misdirected_request = 421,
    unprocessable_content = 422,
    too_many_requests = 429,
    header_fields_too_large = 431,
    internal_error = 500,
    bad_gateway = 502,
    service_unavailable = 503,
    gateway_timeout = 504,
};

// "404 Not Found"; empty for a status without a phrase here.
std::string_view status_line(int status);
inline std::string_view status_line(Status status) { return status_line(static_cast<int>(status)); }

}  // namespace dewweir::api

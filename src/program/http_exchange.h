// One HTTP request to one address, on a connection of its own. Blocking, with a bound on the time without
// progress. Repeats nothing and follows no redirect.
#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "program/arguments.h"

namespace dewweir::program {

struct HttpRequest {
    std::string method;
    std::string target;      // path and query
    std::string if_match{};  // value of If-Match; header omitted if empty
    std::string body{};      // JSON; omitted if empty
};

struct HttpResponse {
    int status = 0;
    std::string location{};  // value of Location, for redirects
    std::string body{};
};

// Why a request got no response.
enum class ExchangeError {
    unknown_host,     // the host name has no address; nothing was sent
    not_connected,    // connection refused or host unreachable; nothing was sent
    timed_out,        // no progress for too long; the request may have been executed
    connection_lost,  // connection closed, or an invalid response; the request may have been executed
};

// Whether the server may have received and executed the request.
constexpr bool may_have_arrived(ExchangeError error) {
    return error == ExchangeError::timed_out || error == ExchangeError::connection_lost;
}

// The error in words, for a person to read.
std::string_view to_string(ExchangeError error);

using ExchangeResult = std::variant<HttpResponse, ExchangeError>;

// Sends the request and waits for the response. `stall_timeout` bounds each step: connecting, sending the
// whole request, and the wait for each further part of the response.
ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                        std::chrono::milliseconds stall_timeout);

}  // namespace dewweir::program

// One HTTP call to one address on a connection of its own, blocking and bounded in time. Owns the connection
// for as long as the call lasts. It never repeats a call and follows no redirect.
#pragma once

#include <chrono>
#include <string>
#include <variant>

#include "program/arguments.h"

namespace dewweir::program {

struct HttpRequest {
    std::string method;
    std::string target;      // path, with the query
    std::string if_match{};  // empty: not sent
    std::string body{};      // JSON; empty: not sent
};

struct HttpResponse {
    int status = 0;
    std::string location{};  // of a redirect
    std::string body{};
};

enum class ExchangeFault {
    unknown_host,   // the name has no address; nothing was sent
    not_connected,  // refused or unreachable; nothing was sent
    silent,         // nothing came for too long; the call may have been carried out
    broken,         // the connection ended, or what came is no answer; the same
};

// Whether the call may have reached the other side.
constexpr bool may_have_arrived(ExchangeFault fault) {
    return fault == ExchangeFault::silent || fault == ExchangeFault::broken;
}

std::string_view to_string(ExchangeFault fault);

using ExchangeResult = std::variant<HttpResponse, ExchangeFault>;

// `silence`: the longest without any progress: to connect, to send the whole request, and between parts of
// the answer.
ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                        std::chrono::milliseconds silence);

}  // namespace dewweir::program

// Client for the control planes' HTTP API for operators (PROTOCOL.md): calls the addresses in turn,
// follows up to two redirects per attempt, and repeats an inconclusive call unchanged, with exponential
// backoff, until a conclusive response or the timeout. Opens no connections and reads no clock itself; it
// uses a Transport for both.
#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "program/http_exchange.h"

namespace dewweir::program {

using Clock = std::chrono::steady_clock;

// The network and the clock that a ControlClient uses; replaced in tests.
class Transport {
  public:
    virtual ~Transport() = default;
    // See program::exchange.
    virtual ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                                    std::chrono::milliseconds stall_timeout) = 0;
    virtual Clock::time_point now() = 0;
    virtual void sleep_for(std::chrono::milliseconds duration) = 0;
};

// The network and the clock of this machine.
class RealTransport : public Transport {
  public:
    ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                            std::chrono::milliseconds stall_timeout) override;
    Clock::time_point now() override;
    void sleep_for(std::chrono::milliseconds duration) override;
};

// A conclusive response, or why there is none (ExitCode::unreachable or ExitCode::outcome_unknown).
using CallResult = std::variant<HttpResponse, Failure>;

// What one address answered to a single exchange.
struct EndpointResult {
    ControlAddress address;
    ExchangeResult result;
};

// Calls the control planes at a list of addresses.
class ControlClient {
  public:
    // `timeout` applies to all attempts of one call together; the last attempt may end up to one stall
    // timeout later.
    ControlClient(Transport& transport, std::vector<ControlAddress> controls,
                  std::chrono::milliseconds timeout);

    // Repeats the request until a conclusive response or the timeout. Only for requests that are safe to
    // repeat.
    CallResult call(const HttpRequest& request);
    // Sends the request to every address once, whatever the others answer.
    std::vector<EndpointResult> call_each_once(const HttpRequest& request);
    // Sends the request to one address once; follows no redirect.
    EndpointResult call_once(const ControlAddress& address, const HttpRequest& request);

  private:
    struct Attempt {
        ControlAddress first_address;  // before any redirect
        ControlAddress last_address;
        std::string failure;  // for a person to read; empty if the response is conclusive
        bool may_have_arrived = false;
        HttpResponse response{};
    };

    Attempt attempt(const ControlAddress& address, HttpRequest request);
    Failure failure_after(const HttpRequest& request, const std::vector<Attempt>& last_attempts) const;

    Transport& transport_;
    std::vector<ControlAddress> controls_;
    std::chrono::milliseconds timeout_;
};

}  // namespace dewweir::program

// Calls the control planes as PROTOCOL.md has operators do it: each address in turn, two redirects at most,
// unclear calls repeated unchanged, after a growing pause, until a clear answer or the time-out. Owns the
// order of tries. It opens no connection and reads no clock of its own: both are handed in as a Transport.
#pragma once

#include <chrono>
#include <string>
#include <variant>
#include <vector>

#include "program/http_exchange.h"

namespace dewweir::program {

using Clock = std::chrono::steady_clock;

class Transport {
  public:
    virtual ~Transport() = default;
    virtual ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                                    std::chrono::milliseconds silence) = 0;
    virtual Clock::time_point now() = 0;
    virtual void pause(std::chrono::milliseconds duration) = 0;
};

// The network and the clock of this machine.
class RealTransport : public Transport {
  public:
    ExchangeResult exchange(const ControlAddress& address, const HttpRequest& request,
                            std::chrono::milliseconds silence) override;
    Clock::time_point now() override;
    void pause(std::chrono::milliseconds duration) override;
};

// A clear answer, or why there is none: unreachable or unclear.
using CallResult = std::variant<HttpResponse, Failure>;

struct EndpointAnswer {
    ControlAddress address;
    ExchangeResult result;
};

class ControlClient {
  public:
    // `timeout`: for all tries of one call together; the last try may end up to one silence later.
    ControlClient(Transport& transport, std::vector<ControlAddress> controls,
                  std::chrono::milliseconds timeout);

    CallResult call(const HttpRequest& request);
    // Asks every address once, whatever the others answer.
    std::vector<EndpointAnswer> ask_each(const HttpRequest& request);
    EndpointAnswer ask(const ControlAddress& address, const HttpRequest& request);

  private:
    struct Try {
        ControlAddress asked;    // first, before any redirect
        ControlAddress address;  // asked last
        std::string outcome;     // in words; empty where the answer is clear
        bool may_have_arrived = false;
        HttpResponse answer{};
    };

    Try try_once(const ControlAddress& address, HttpRequest request);
    Failure give_up(const HttpRequest& request, const std::vector<Try>& last_tries) const;

    Transport& transport_;
    std::vector<ControlAddress> controls_;
    std::chrono::milliseconds timeout_;
};

}  // namespace dewweir::program

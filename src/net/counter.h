// The counter service: owns the connection to it, with any that it has moved away from, and the calls that
// are out, matched to their answers by order. Each call ends with exactly one `counted`, within the limit,
// never from within the asking. It must never send a call again, nor one whose time has passed.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "part.h"

namespace dewweir::net {

class CounterListener {
  public:
    virtual ~CounterListener() = default;
    virtual void counter_replied(std::uint64_t name, AttemptOutcome outcome, double total, Time took) = 0;
};

class Counter : public ConnectionHandler, NodeContext {
  public:
    Counter(const NodeContext& context, CounterListener& listener);

    void add(std::uint64_t name, double amount, Time keep_for);
    // The counter is elsewhere now: calls go there at once, those out on the old connection keep their
    // answers.
    void set_address(const tcp::endpoint& address);

    void opened(Handle, std::uint32_t mark, bool connected) override;
    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;

  private:
    struct Call {
        std::uint64_t name;
        std::string line;  // empty once it is written
        std::size_t size;  // of the line
        Time started_at;
        bool ping, finished;
        Deadlines::Key deadline;
    };
    struct Link {  // one connection, and the calls started_at on it
        Handle connection = 0;
        bool connected = false;
        Time last_reply_at = 0;
        std::deque<Call> calls{};
        std::uint64_t first_number = 0;  // number of the call at the front
    };

    void open();
    void replace_connection();
    void connection_lost(std::uint32_t mark, const char* why,
                         AttemptOutcome written_outcome = AttemptOutcome::timeout);
    void send_call(std::string line, std::uint64_t name, bool ping);
    void call_timed_out(std::uint32_t mark, std::uint64_t number);
    void keep_alive();
    void finish_call(Call& call, AttemptOutcome outcome, double total = 0);
    void handle_reply(std::uint32_t mark, std::string_view line);

    CounterListener& listener_;
    tcp::endpoint address_;
    std::map<std::uint32_t, Link> links_;  // by mark; only the last takes calls, the others wait for answers
    std::uint32_t mark_ = 0;               // of the last
    Time reconnect_delay_ = 0;
    Deadlines::Key reconnect_timer_{};
};

}  // namespace dewweir::net

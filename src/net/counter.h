// Client of the counter service: owns the current connection to it, older connections that still owe
// replies, and the calls in flight, which are matched to replies by order. Every call ends with exactly one
// CounterListener::counter_replied, within the call timeout and never from within `add`. A call is never
// sent twice, and never sent after it has timed out.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "part.h"

namespace dewweir::net {

// Receives the result of each call to the counter.
class CounterListener {
  public:
    virtual ~CounterListener() = default;
    // `total`: value of the counter after the call, in units; valid for AttemptOutcome::ok only.
    virtual void counter_replied(std::uint64_t name, AttemptOutcome outcome, double total, Time took) = 0;
};

class Counter : public ConnectionHandler, NodeContext {
  public:
    Counter(const NodeContext& context, CounterListener& listener);

    // Adds `amount` units, negative to give back, to the counter `name`, which expires `keep_for` later.
    void add(std::uint64_t name, double amount, Time keep_for);
    // Changes the counter's address: new calls go there at once, calls in flight keep their replies on the
    // old connection.
    void set_address(const tcp::endpoint& address);

    void opened(Handle, std::uint32_t mark, bool connected) override;
    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;

  private:
    struct Call {
        std::uint64_t name;
        std::string line;  // request line; empty once it is written
        std::size_t size;  // of the request line, in bytes
        Time started_at;
        bool ping;      // keep-alive, not reported
        bool finished;  // reported or a ping that ended
        Deadlines::Key deadline;
    };
    // A connection and the calls made on it.
    struct Link {
        Handle connection = 0;
        bool connected = false;
        Time last_reply_at = 0;
        std::deque<Call> calls{};
        std::uint64_t first_number = 0;  // sequence number of the call at the front
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
    std::map<std::uint32_t, Link> links_;  // by mark; the last takes new calls, the others wait for replies
    std::uint32_t mark_ = 0;               // of the current link
    Time reconnect_delay_ = 0;
    Deadlines::Key reconnect_timer_{};
};

}  // namespace dewweir::net

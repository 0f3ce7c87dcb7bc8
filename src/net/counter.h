// The counter service: owns the connection to it, with any that it has moved away from, and the calls that
// are out, matched to their answers by order. Each call ends with exactly one `counted`, within the limit,
// never from within the asking. It must never send a call again, nor one whose time has passed.
#pragma once

#include <deque>
#include <map>
#include <string>

#include "part.h"

namespace dewweir::net {

class Counts {
  public:
    virtual ~Counts() = default;
    virtual void counted(std::uint64_t name, AttemptOutcome outcome, double total, Time took) = 0;
};

class Counter : public User, Part {
  public:
    Counter(const Part& part, Counts& counts);

    void count(std::uint64_t name, double amount, Time keep_for);
    // The counter is elsewhere now: calls go there at once, those out on the old connection keep their
    // answers.
    void move_to(const tcp::endpoint& address);

    void opened(Handle, std::uint32_t mark, bool up) override;
    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;

  private:
    struct Call {
        std::uint64_t name;
        std::string line;  // empty once it is written
        std::size_t size;  // of the line
        Time made;
        bool ping, told;
        Deadlines::Key deadline;
    };
    struct Link {  // one connection, and the calls made on it
        Handle connection = 0;
        bool up = false;
        Time last_word = 0;
        std::deque<Call> calls{};
        std::uint64_t first = 0;  // number of the call at the front
    };

    void open();
    void retire();
    void lost(std::uint32_t mark, const char* why, AttemptOutcome written = AttemptOutcome::timeout);
    void put(std::string line, std::uint64_t name, bool ping);
    void late(std::uint32_t mark, std::uint64_t number);
    void watch();
    void tell(Call& call, AttemptOutcome outcome, double total = 0);
    void answered(std::uint32_t mark, std::string_view line);

    Counts& counts_;
    tcp::endpoint address_;
    std::map<std::uint32_t, Link> links_;  // by mark; only the last takes calls, the others wait for answers
    std::uint32_t mark_ = 0;               // of the last
    Time pause_ = 0;
    Deadlines::Key reopening_{};
};

}  // namespace dewweir::net

// The counter service: owns the one connection to it and the calls that are out on it, matched to their
// answers by order. Each call ends with exactly one `counted`, within the limit, never from within the
// asking. It must never send a call again, nor one whose time has passed.
#pragma once

#include <deque>
#include <string>

#include "part.h"

namespace dewweir::net {

class Counts {
  public:
    virtual ~Counts() = default;
    virtual void counted(std::uint64_t name, Verdict verdict, double total, Time took) = 0;
};

class Counter : public User, Part {
  public:
    Counter(const Part& part, Counts& counts);

    void count(std::uint64_t name, double amount, Time keep_for);

    void opened(Handle, std::uint32_t, bool up) override;
    void received(Handle, std::uint32_t) override;
    void ended(Handle, std::uint32_t) override;

  private:
    struct Call {
        std::uint64_t name;
        std::string line;  // empty once it is written
        std::size_t size;  // of the line
        Time made;
        bool ping, told;
        Deadlines::Key deadline;
    };

    void open();
    void lost(const char* why);
    void put(std::string line, std::uint64_t name, bool ping);
    void late(std::uint64_t number);
    void watch();
    void tell(Call& call, Verdict verdict, double total = 0);
    void answered(std::string_view line);

    Counts& counts_;
    Handle connection_ = 0;
    bool up_ = false;
    Time pause_ = 0, last_word_ = 0;
    std::deque<Call> calls_;
    std::uint64_t first_ = 0;  // number of the call at the front
};

}  // namespace dewweir::net

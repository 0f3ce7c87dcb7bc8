// The interface of the decision module: what happens is told to a Choice, and it acts on its Gateway.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dewweir {

using Time = std::int64_t;                         // tenths of a millisecond
using Terms = std::map<std::string, std::string>;  // what is read at start: name to value, times in ms

enum class Verdict { ok, error, full, timeout, connect_failed, broken, called_off, not_sent };
enum class Standing { gone, ready, draining };
// What a line for the log is about.
enum class Notice { breaker_open, breaker_closed, host_shut, host_back, decided };

// What the module can have done. Submissions, hosts and counts go by the ids they came with.
class Gateway {
  public:
    virtual ~Gateway() = default;
    virtual void execute(std::uint32_t submission, std::uint32_t host, Time give_up_after) = 0;
    virtual void bounce(std::uint32_t submission, Time come_back_in) = 0;
    virtual void write_off(std::uint32_t submission) = 0;
    virtual void cancel(std::uint32_t submission, int execution) = 0;
    virtual void count(std::uint64_t name, double amount, Time keep_for) = 0;
    virtual void arm(Time from_now, std::uint64_t token) = 0;
    virtual void disarm(std::uint64_t token) = 0;  // may do nothing: a late alarm is heard without effect
    virtual void follow_list() = 0;
    // `host`: which one it is about; 0 where it is about none.
    virtual void log(Notice notice, std::uint32_t host, const std::string& line) = 0;
};

// One gateway's decisions. Each method is one thing that can happen; `now` never goes back.
class Choice {
  public:
    // Throws std::invalid_argument naming the term that is missing or unreadable.
    Choice(Gateway& gateway, const Terms& terms, std::uint64_t seed, Time now);
    ~Choice();

    // News of the host list: begins, a call for each entry, ends. A whole list replaces the one before.
    void list_begins(Time now, bool whole);
    void host_listed(Time now, std::uint32_t host, Standing standing, Time up_since, int zone, int cell);
    void list_ends(Time now);
    void list_failed(Time now);

    void submitted(Time now, std::uint32_t submission, int track, int plan, std::uint64_t customer,
                   double units, int customer_gateways, Time patience_left);
    void execution_ended(Time now, std::uint32_t submission, int execution, std::uint32_t host,
                         Verdict verdict, Time took, bool settled, double billed_units);
    void stream_started(Time now, std::uint32_t submission, int execution);
    void client_gone(Time now, std::uint32_t submission);
    void counted(Time now, std::uint64_t name, Verdict verdict, double total, Time took);
    void timer(Time now, std::uint64_t token);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace dewweir

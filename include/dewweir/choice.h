// The interface of the decision module: what happens is told to a Choice, and it acts on its Gateway.
#pragma once

#include <array>
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
enum class Notice { breaker_open, breaker_closed, host_shut, host_back };
// How submissions were decided, and what became of executions; the last are verdicts, in their order.
enum class Decision {
    counted_in,
    counted_over,
    share_in,
    share_over,
    over_already,
    long_line,
    late,
    to_warm,
    to_cold,
    trial_piece,
    delivered,
    errors,
    turned_away,
    timed_out,
    not_connected,
    broken_off,
    called_off,
    not_sent
};
using Decided = std::array<std::int64_t, static_cast<std::size_t>(Decision::not_sent) + 1>;

// What other gateways say of a host, weighed by whoever hands it over (src/verdicts): evidence, not an order.
struct Hearsay {
    double doubt = 0;       // of so many gateways' worth: that it fails, and has not been well since
    Time found = 0;         // when the last of these saw it fail; 0: none
    Time until = 0;         // when the last of these words is over; nothing here counts after it
    bool draining = false;  // by a list later than ours
    Time up_since = 0;      // by such a list it has started again then; 0: it has not
};

// One gateway's part of a customer's quota: of whose, by which plan, among how many gateways.
struct PartOf {
    std::uint64_t customer = 0;
    int plan = 0, gateways = 1;
    double rate = 0, burst = 0;  // of the whole quota, as the plan has it

    bool operator==(const PartOf&) const = default;
};

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
    // How often each, since it was last told; every few latency goals.
    virtual void decided(const Decided& often) = 0;
    // What the counter holds of a name by all we know, for whoever tells other gateways: told with each
    // answer.
    virtual void total_known(std::uint64_t, double) {}
    // What two other gateways at least were told of it, or more; 0: nothing.
    virtual double others_total(std::uint64_t) const { return 0; }
    // That part did not hold so many units of a submission, and the counter was not asked.
    virtual void lacks(const PartOf&, double) {}
};

// One gateway's decisions. Each method is one thing that can happen; `now` never goes back.
class Choice {
  public:
    // Throws errors::BadSetting (src/errors) naming the term that is missing or unreadable.
    Choice(Gateway& gateway, const Terms& terms, std::uint64_t seed, Time now);
    ~Choice();

    // News of the host list: begins, a call for each entry, ends. A whole list replaces the one before.
    void list_begins(Time now, bool whole);
    void host_listed(Time now, std::uint32_t host, Standing standing, Time up_since, int zone, int cell);
    void list_ends(Time now);
    void list_failed(Time now);
    // In place of what was heard of it before. Hosts that no list has named are passed over.
    void others_found(Time now, std::uint32_t host, const Hearsay& said);

    // Another gateway lacks units of such a part: how many ours spares, at most so many. They have left it.
    double spare(Time now, const PartOf& of, double units);
    // Units that another gateway's part spared: ours to use until then, and never more than once.
    void lent(Time now, std::uint64_t customer, double units, Time until);

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

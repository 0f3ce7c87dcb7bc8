// The interface of the decision module: what happens is told to a Decisions, and it acts on its Gateway.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dewweir {

using Time = std::int64_t;                            // tenths of a millisecond
using Settings = std::map<std::string, std::string>;  // what is read at start: name to value, times in ms

enum class AttemptOutcome { ok, error, full, timeout, connect_failed, broken, called_off, not_sent };
enum class HostState { gone, ready, draining };
// What a line for the log is about.
enum class LogEvent { breaker_open, breaker_closed, host_shut, host_back };
// How requests were decided, and what became of attempts; the last are outcomes, in their order.
enum class Decision {
    counted_in,
    counted_over,
    local_in,
    local_over,
    over_already,
    long_line,
    late,
    to_warm,
    to_cold,
    trial_piece,
    served,
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
struct HostReport {
    double doubt = 0;       // of so many gateways' worth: that it fails, and has not been well since
    Time found = 0;         // when the last of these saw it fail; 0: none
    Time until = 0;         // when the last of these words is over; nothing here counts after it
    bool draining = false;  // by a list later than ours
    Time up_since = 0;      // by such a list it has started again then; 0: it has not
};

// One gateway's part of a tenant's quota: of whose, by which plan, among how many gateways.
struct PartOf {
    std::uint64_t tenant = 0;
    int plan = 0, gateways = 1;
    double rate = 0, burst = 0;  // of the whole quota, as the plan has it

    bool operator==(const PartOf&) const = default;
};

// What the module can have done. Requests, hosts and counts go by the ids they came with.
class Gateway {
  public:
    virtual ~Gateway() = default;
    virtual void start_attempt(std::uint32_t request, std::uint32_t host, Time give_up_after) = 0;
    virtual void refuse(std::uint32_t request, Time come_back_in) = 0;
    virtual void fail(std::uint32_t request) = 0;
    virtual void cancel(std::uint32_t request, int attempt) = 0;
    virtual void count(std::uint64_t name, double amount, Time keep_for) = 0;
    virtual void arm(Time from_now, std::uint64_t token) = 0;
    virtual void disarm(std::uint64_t token) = 0;  // may do nothing: a late alarm is heard without effect
    virtual void follow_list() = 0;
    // `host`: which one it is about; 0 where it is about none.
    virtual void log(LogEvent event, std::uint32_t host, const std::string& line) = 0;
    // How often each, since it was last told; every few latency goals.
    virtual void decided(const Decided& often) = 0;
    // What the counter holds of a name by all we know, for whoever tells other gateways: told with each
    // answer.
    virtual void total_known(std::uint64_t, double) {}
    // What two other gateways at least were told of it, or more; 0: nothing.
    virtual double others_total(std::uint64_t) const { return 0; }
    // That part did not hold so many units of a request, and the counter was not asked.
    virtual void lacks(const PartOf&, double) {}
};

// One gateway's decisions. Each method is one thing that can happen; `now` never goes back.
class Decisions {
  public:
    // Throws errors::BadSetting (src/errors) naming the setting that is missing or unreadable.
    Decisions(Gateway& gateway, const Settings& settings, std::uint64_t seed, Time now);
    ~Decisions();

    // News of the host list: begins, a call for each entry, ends. A whole list replaces the one before.
    void list_begins(Time now, bool whole);
    void host_listed(Time now, std::uint32_t host, HostState state, Time up_since, int zone, int cell);
    void list_ends(Time now);
    void list_failed(Time now);
    // In place of what was heard of it before. Hosts that no list has named are passed over.
    void others_found(Time now, std::uint32_t host, const HostReport& said);

    // Another gateway lacks units of such a part: how many ours spares, at most so many. They have left it.
    double spare(Time now, const PartOf& of, double units);
    // Units that another gateway's part spared: ours to use until then, and never more than once.
    void lent(Time now, std::uint64_t tenant, double units, Time until);

    void request_received(Time now, std::uint32_t request, int route_class, int plan, std::uint64_t tenant,
                          double units, int tenant_gateways, Time patience_left);
    void attempt_ended(Time now, std::uint32_t request, int attempt, std::uint32_t host,
                       AttemptOutcome outcome, Time took, bool settled, double billed_units);
    void stream_started(Time now, std::uint32_t request, int attempt);
    void client_gone(Time now, std::uint32_t request);
    void counted(Time now, std::uint64_t name, AttemptOutcome outcome, double total, Time took);
    void timer(Time now, std::uint64_t token);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace dewweir

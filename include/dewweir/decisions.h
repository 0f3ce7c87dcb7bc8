// Interface of the decision module. The owner of a Decisions object reports every event to it, in the order
// in which the events happen; the module acts through the Gateway that it was given. It reads no clock, does
// no I/O and starts no threads.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace dewweir {

// A moment or a duration, in tenths of a millisecond.
using Time = std::int64_t;

// Settings by name, as text; times are written in milliseconds.
using Settings = std::map<std::string, std::string>;

// How an attempt at a host, or a call to the quota counter, ended.
enum class AttemptOutcome {
    ok,
    error,           // answered with an error
    overloaded,      // turned away because of load; the request was not executed
    timeout,         // no complete answer within the time limit
    connect_failed,  // no connection; the request was not executed
    broken,          // the connection broke, or the answer could not be read
    cancelled,       // cancelled by Gateway::cancel
    not_sent,        // withdrawn before it was sent; says nothing about the host
};

enum class HostState { removed, ready, draining };

// What a log line is about.
enum class LogEvent { breaker_open, breaker_closed, host_ejected, host_restored };

// How requests were decided and how attempts ended. The values from `served` on are the values of
// AttemptOutcome, in the same order.
enum class Decision {
    admitted_by_counter,    // within the quota by the counter's total
    over_quota_by_counter,  // beyond the quota by the counter's total
    admitted_locally,       // within this gateway's local quota share
    over_quota_locally,     // beyond this gateway's local quota share
    still_over_quota,       // refused without a call: the counter found the tenant over its quota lately
    queue_too_long,         // refused on arrival: the queue would take too much of the latency goal
    expired_in_queue,       // refused in the queue: the latency goal could no longer be met
    sent_to_warm_host,
    sent_to_cold_host,  // to a host in slow start
    sent_as_probe,      // to an ejected host, to see whether it has recovered
    served,
    errors,
    overloaded,
    timed_out,
    not_connected,
    broken_off,
    cancelled,
    not_sent
};

// Number of occurrences of each Decision.
using DecisionCounts = std::array<std::int64_t, static_cast<std::size_t>(Decision::not_sent) + 1>;

// What other gateways report about a host, weighted by the caller (src/verdicts). It is evidence for the
// decisions, not an order.
struct HostReport {
    // Sum of the weights (0 to 1) of the gateways that found the host failing and have not seen it well
    // since, less the weights of those that find it well.
    double suspicion = 0;
    // Most recent failure among these observations; 0: none.
    Time last_failure = 0;
    // When the last of these observations expires; the report is ignored after that.
    Time expires_at = 0;
    // The host drains according to a host list newer than this gateway's.
    bool draining = false;
    // When the host started, according to such a list; 0: no restart is known.
    Time up_since = 0;
};

// Identifies one gateway's share of a tenant's quota.
struct QuotaShare {
    std::uint64_t tenant = 0;
    int plan = 0;      // index of the quota plan
    int gateways = 1;  // number of gateways that share the quota
    // Of the complete quota: units per tenth of a millisecond, and units.
    double rate = 0;
    double burst = 0;

    bool operator==(const QuotaShare&) const = default;
};

// The actions that the module can take. Requests, hosts and counters go by the ids under which they were
// reported.
class Gateway {
  public:
    virtual ~Gateway() = default;

    virtual void start_attempt(std::uint32_t request, std::uint32_t host, Time timeout) = 0;
    // Answers that the request was not executed; `retry_after` 0: without advice.
    virtual void refuse(std::uint32_t request, Time retry_after) = 0;
    // Answers that the request failed and may have been executed.
    virtual void fail(std::uint32_t request) = 0;
    // `attempt` counts the attempts of the request from 0.
    virtual void cancel(std::uint32_t request, int attempt) = 0;
    // Adds units to the counter of this name, or gives them back if `amount` is negative; 0 only reads it.
    // The counter may forget the name after `keep_for`. Answered by Decisions::counter_replied.
    virtual void add_to_counter(std::uint64_t name, double amount, Time keep_for) = 0;
    // Calls Decisions::timer_expired with the token after this time.
    virtual void start_timer(Time from_now, std::uint64_t token) = 0;
    // May do nothing: timers that expire late have no effect.
    virtual void cancel_timer(std::uint64_t token) = 0;
    // Asks for the host list and for its changes from then on.
    virtual void watch_host_list() = 0;
    // `host`: the host concerned, 0 if there is none.
    virtual void log(LogEvent event, std::uint32_t host, const std::string& line) = 0;
    // Counts since the previous call; called every few latency goals.
    virtual void report_decisions(const DecisionCounts& counts) = 0;
    // Best known total of a counter, to be sent to other gateways; called with each answer of the counter.
    virtual void publish_total(std::uint64_t /*name*/, double /*total*/) {}
    // A total of this counter that at least two other gateways have been told, or more; 0: unknown.
    virtual double corroborated_total(std::uint64_t /*name*/) const { return 0; }
    // A request needed that many units, this gateway's share did not hold them, and the counter was not
    // asked.
    virtual void report_shortage(const QuotaShare& /*share*/, double /*units*/) {}
};

// The decisions of one gateway. Each method reports one event; `now` never decreases.
class Decisions {
  public:
    // Throws errors::BadSetting (src/errors) that names the missing or unreadable setting.
    Decisions(Gateway& gateway, const Settings& settings, std::uint64_t seed, Time now);
    ~Decisions();

    // An update of the host list: list_begins, host_listed for each entry, list_ends. A complete list
    // replaces the previous one; other updates only change the hosts that they name.
    void list_begins(Time now, bool complete);
    // `up_since`: when the host process started, 0 if unknown.
    void host_listed(Time now, std::uint32_t host, HostState state, Time up_since, int zone, int cell);
    void list_ends(Time now);
    // A request for the host list failed, or the watch ended.
    void list_failed(Time now);
    // Replaces the previous report about the host. Hosts that no list has named are ignored.
    void host_reported(Time now, std::uint32_t host, const HostReport& report);

    // Another gateway asks for units of this share. Returns how many of them are lent, from 0 to `units`;
    // they have left this gateway's share.
    double lend_tokens(Time now, const QuotaShare& share, double units);
    // Units lent by another gateway, to be used here until `expires_at`. Each loan is reported once at most.
    void receive_loan(Time now, std::uint64_t tenant, double units, Time expires_at);

    // `tenant_gateways`: how many gateways share the tenant's quota. `time_left`: until the client gives up.
    void request_received(Time now, std::uint32_t request, int route_class, int plan, std::uint64_t tenant,
                          double units, int tenant_gateways, Time time_left);
    // `took`: duration of the attempt. `settled`: no answer is owed to the request's client any more.
    // `billed_units`: what the request cost according to the host; 0: as much as its units.
    void attempt_ended(Time now, std::uint32_t request, int attempt, std::uint32_t host,
                       AttemptOutcome outcome, Time took, bool settled, double billed_units);
    // The answer's first bytes have reached the client: the attempt can't be replaced any more.
    void stream_started(Time now, std::uint32_t request, int attempt);
    void client_disconnected(Time now, std::uint32_t request);
    // `total`: the counter's total after the call; meaningful with AttemptOutcome::ok only.
    void counter_replied(Time now, std::uint64_t name, AttemptOutcome outcome, double total, Time took);
    void timer_expired(Time now, std::uint64_t token);

  private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace dewweir

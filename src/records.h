// The records that decisions are made from: of each host, tenant, request and call to the quota counter, and
// what is known over all of them. Data only; what is decided from them is under src/policy. Amounts are units
// of a quota; times are tenths of a millisecond, and a moment of 0 means "never".
#pragma once

#include <cstdint>
#include <deque>
#include <random>
#include <unordered_map>
#include <vector>

#include "limits/moved.h"
#include "readings.h"

namespace dewweir::policy {

constexpr std::uint32_t no_host = 0xffffffff;

// What a timer is for; in the lowest three bits of its token, the id of the request or host above them.
enum Timer : std::uint64_t {
    tick_timer,      // the periodic tick
    deadline_timer,  // of a request: its client's patience ends
    counter_timer,   // of a request: its call to the counter takes too long
    watch_timer,     // the host list is to be asked for
    slot_timer,      // of a host: a cancelled attempt is taken to have ended there
};

// Also of calls to the quota counter.
using Outcome = AttemptOutcome;

enum class Stage {
    awaiting_quota,  // a call to the quota counter decides
    queued,
    in_flight,  // an attempt is under way
    answered,   // the client has had its final answer or has gone; an attempt or a call is still under way
};

// Why the quota counter is called.
enum class CallPurpose {
    add_request,
    read_previous,  // reads the total of the window before
    give_back,      // takes back what was added, or corrects it
};

struct Host {
    std::uint32_t id;
    // Ready according to the host list.
    bool listed = false;
    // From its ejection until an attempt succeeds; once `ejected_until` has passed, probes go there one at a
    // time (half-open).
    bool ejected = false;
    // Ejected because of what other gateways report, not of failures seen here. It takes a suspicion of two
    // gateways, or of one beside a failure seen here.
    bool ejected_by_peers = false;
    // Start of the host's process.
    Time up_since = 0;
    // Until then, requests of plan `overloaded_for` prefer other hosts: the host has turned one away. Guards
    // against hammering it, as what is turned away at once would come again at once, and against hosts that
    // turn away the requests of one plan while they serve others.
    Time overloaded_until = 0;
    // When the host may be probed next. A host that other gateways find failing too is probed at random, so
    // that one gateway of all does so about every four latency goals, whatever is reported: reports may be
    // wrong. A probe's failure, once reported, makes all wait anew; a report that the host is well lets all
    // probe at once.
    Time ejected_until = 0;
    // Length of the last ejection; the next one is about twice as long. 0 after a success.
    Time ejection_time = 0;
    // When the host last served an attempt here or turned one away.
    Time responded_at = 0;
    Time tokens_updated_at = 0;
    Time last_listed_at = 0;
    // Until when a connection to the host is taken to be open.
    Time connected_until = 0;
    // Receives no requests until then: it drains by another gateway's newer host list. Not set where it would
    // leave less than half of the hosts.
    Time withheld_until = 0;
    // Latest failure there that other gateways have reported; 0 once none of them reports one, and the host
    // is probed at this gateway's own pace again.
    Time peer_failure_at = 0;
    int zone = 0;
    int cell = 0;
    // Attempts of this gateway under way, and cancelled ones that may still run.
    int in_flight = 0;
    int consecutive_failures = 0;
    // Number of the last list update that named it.
    int list_update = 0;
    const QuotaPlan* overloaded_for = nullptr;
    // Concurrency limit: attempts that this gateway may have in flight there; one is allowed in any case.
    // Halved when the host turns one away, lowered while its latency is over the target, raised while it is
    // under three quarters of the target and the limit is used. The target is 1.5 times the low-load latency,
    // within 0.15 to 0.35 of the latency goal.
    double limit = 0;
    // Moving average of the latency, failures counted as a whole latency goal. Tenths of a millisecond.
    double latency = 0;
    // Slow start: attempts that may be sent to the cold host now, at most 1; one is sent when it is 1. They
    // fill at the allowed fraction of the rate of a warm host here, from a random level at the start of the
    // host, since the limit holds for all gateways together and a gateway's share of it is far under one
    // attempt.
    double slow_start_tokens = 1;
    // Slow start: in a large fleet about 32 random gateways send to a cold host for all, each enough to
    // learn its latency and to keep a connection. 0, or the number of gateways that this one sends for. Four
    // standard deviations of what these send together, 4 * sqrt(2 / 32) = 1 times its mean, stay within the
    // half of slow_start_factor that the tokens leave free.
    double slow_start_weight = 1;
};

// Units of one tenant counted in one window.
struct WindowCount {
    // Total of all gateways by the counter's last answer, `lost` included.
    double total = 0;
    // Added by this gateway's calls: a lower bound of the total.
    double own = 0;
    // What the counter has been found to have forgotten; added to each of its answers.
    double lost = 0;
};

struct Tenant {
    std::uint64_t id;
    const QuotaPlan& plan;
    // Length of the plan's windows: burst / rate.
    Time window_length;
    // Number of gateways that share the quota.
    int gateways;
    // Requests in the queue or in flight here.
    int open_requests = 0;
    // Number of the window, by the clock: the same at all gateways.
    std::int64_t window = -1;
    WindowCount current{};
    WindowCount previous{};
    // Admitted without the counter, or by a call that did not add them for certain; the next call does.
    double uncounted_units = 0;
    // The counter has told the total of the previous window.
    bool previous_known = false;
    // Requests that wait for the total of the previous window.
    std::vector<std::uint32_t> awaiting_previous{};
    // The quota's token bucket, replayed from the counter's totals; below 0 when over quota. A previous
    // window that was not known before is charged only as far as it still overlaps: the refill of its time is
    // missing from a bucket that was full when the tenant was first seen.
    double tokens = 0;
    // This gateway's share of that bucket: decides when the counter is not asked. Set to the same level as
    // the bucket by each answer of the counter, so that going over to it and back creates no tokens. Its
    // capacity is one unit at least; a share under a unit admits by chance, each for itself.
    double local_tokens = 0;
    // This gateway's share of the ceiling's bucket. It holds whatever the counter says, and is empty when the
    // gateway starts: restarts create no tokens.
    double ceiling_tokens = 0;
    // Units of the local share lent to other gateways, and borrowed from them. Half of the share is kept for
    // the tenant's next request here; shares under a unit are not lent.
    limits::LoanBalance loans{};
    Time tokens_updated_at = 0;
    Time local_updated_at = 0;
    Time ceiling_updated_at = 0;
    // Found over its quota by the counter: until then, or until the bucket has refilled, it is not asked
    // about this tenant. Saves calls for tenants far over; longer at a slow counter.
    Time over_quota_until = 0;
};

struct Request {
    const RouteClass* route;
    std::uint64_t tenant;
    double units;
    // End of the latency goal, or of the client's patience if that comes first.
    Time goal_deadline;
    // End of the client's patience.
    Time deadline;
    Stage stage = Stage::awaiting_quota;
    int attempts = 0;
    // Of the first host where it may have run; -1: none.
    int zone = -1;
    int cell = -1;
    // Of the last attempt started, and of the last one that ended.
    std::uint32_t host = no_host;
    std::uint32_t previous_host = no_host;
    // Window that its units were added to; -1: not added.
    std::int64_t window = -1;
    // The counter's total when it answered the call for this request.
    double counter_total = 0;
    // Part of its units that came from loans of other gateways.
    double borrowed = 0;
    bool call_pending = false;
    // Its units are added at the counter / taken from the local share.
    bool on_counter = false;
    bool on_local_share = false;
    bool may_have_run = false;
    // Its answer's first bytes have gone to the client.
    bool streaming = false;
    // Its attempt was cancelled because the host seemed unresponsive. Guards against hosts that accept
    // requests and answer nothing. Only a first attempt is cancelled: a long request takes as long elsewhere.
    bool abandoned = false;
    // Start of the current attempt, and of the first one that may have run.
    Time started_at = 0;
    Time first_run = 0;
};

// A call to the quota counter that is not answered yet.
struct Call {
    CallPurpose purpose;
    // 0 if the call is not made for a request.
    std::uint32_t request;
    std::uint64_t tenant;
    std::int64_t window;
    double units;
};

// What is known over all hosts and requests, and the records themselves.
struct SharedState : Readings {
    SharedState(Gateway& g, const Settings& settings, std::uint64_t seed, Time at)
        : Readings(settings), gateway(g), rng(static_cast<std::uint32_t>(seed)), now(at), started_at(at) {}

    Gateway& gateway;
    std::mt19937 rng;
    Time now;
    Time started_at;
    Time tick_interval;
    Time last_tick_at;
    // Idle tenants and unlisted hosts are dropped after this time: it bounds the memory. A tenant idle for so
    // long is like a new one, its buckets full and its windows over; a host unlisted for so long is another
    // one if it comes back.
    Time record_ttl;
    // For how long an idle connection is taken to be open: three quarters of the hosts' idle timeout.
    Time connection_ttl;
    Time last_expiry_at = 0;
    Time last_report_at = 0;
    // Latency goal of the first route class.
    double goal;
    std::map<std::uint32_t, Host> hosts;
    // By tenant; walked only to drop idle ones.
    std::unordered_map<std::uint64_t, Tenant> tenants;
    std::map<std::uint32_t, Request> requests;
    // Admitted requests that wait for a host, by id.
    std::deque<std::uint32_t> queue;
    // Since the last report.
    DecisionCounts decision_counts{};
    // Moving average of the latency of attempts that were served, at all hosts.
    double mean_latency;
    // Floor of the mean: follows it down within 16 attempts and up within 16384. Hosts held a little above it
    // keep their throughput; long queues at a host can cost it.
    double low_load_latency;
    // Moving average of the distance of a latency from the mean.
    double latency_deviation = 0;
    // Concurrency limit over all hosts, 1 at least; used in large fleets. There a gateway has under half an
    // attempt in flight at a host, so that a host's answers come too rarely to learn its limit from; this one
    // is learnt from all answers. It holds the mean latency at 1.5 times the target of a host, falls by a
    // tenth when a host turns an attempt away, and grows unused only up to the safe concurrency: the hosts'
    // summed limits and twice their square root, for chance.
    double total_limit = 1;
    int total_in_flight = 0;
};

}  // namespace dewweir::policy

// One random schedule in virtual time: gateways that share the quotas of some tenants, the holder of their
// counts, and a network that loses, duplicates and delays datagrams. All randomness comes from the seed.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "quota/admission.h"

namespace dewweir::quota::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// The faults of a schedule besides loss, duplication and delay. The bound depends on the kind.
enum class Kind : std::uint8_t {
    calm,             // none
    holder_silent,    // no gateway reaches the holder for some seconds
    holder_restart,   // the holder restarts without its data
    gateways_cut,     // some gateways don't reach the holder
    gateway_restart,  // gateways restart without their data
    all_at_once,      // all of these
};
constexpr Kind kinds[] = {Kind::calm,         Kind::holder_silent,   Kind::holder_restart,
                          Kind::gateways_cut, Kind::gateway_restart, Kind::all_at_once};
const char* name_of(Kind kind);

// How the requests of a tenant are spread over gateways and time.
enum class Demand : std::uint8_t {
    even,    // evenly
    skewed,  // by fixed weights, few of them large
    moving,  // weights drawn anew every few seconds
    bursts,  // none for a while, then many at once
};

// Faults injected into the checked code, to show that the check detects them.
enum class InjectedDefect : std::uint8_t {
    none,
    whole_bucket,   // a local bucket holds the whole quota
    never_counted,  // the holder answers that the others have admitted nothing
};

struct Span {
    TimePoint from{};
    TimePoint until{};

    bool holds(TimePoint now) const { return from <= now && now < until; }
};

struct TenantPlan {
    Quota quota;
    double demand = 1;  // multiple of the quota's rate
    Demand shape = Demand::even;
};

struct Restart {
    TimePoint at{};
    int gateway = 0;
};

struct Plan {
    Kind kind = Kind::calm;
    int gateways = 3;
    std::vector<TenantPlan> tenants;
    double loss = 0;         // fraction of datagrams
    double doubling = 0;     // fraction of datagrams
    microseconds delay{0};   // one way
    microseconds jitter{0};  // added to the delay: exponential, this much at most
    std::vector<Span> silent;
    std::vector<TimePoint> holder_restarts;
    std::vector<int> cut_gateways;
    Span cut;
    std::vector<Restart> gateway_restarts;
};

constexpr QuotaBound rules{milliseconds(5000), 0.1, 20};
constexpr std::chrono::seconds played{16};
const TimePoint began{std::chrono::hours(1)};

// The plan of a seed. `calm_demand`: every tenant stays well inside its quota, without faults.
Plan draw_plan(std::uint64_t seed, bool calm_demand = false);

struct TenantResult {
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::vector<TimePoint> admitted;  // in order of time
};

struct ScheduleResult {
    Plan plan;
    std::vector<TenantResult> tenants;  // as in the plan
};

ScheduleResult play(const Plan& plan, std::uint64_t seed, InjectedDefect defect = InjectedDefect::none);

// The most requests admitted in any span of the rules' length.
std::size_t most_in_a_span(const std::vector<TimePoint>& admitted);
// What the rules allow in any such span.
double allowed(const Quota& quota);

}  // namespace dewweir::quota::testing

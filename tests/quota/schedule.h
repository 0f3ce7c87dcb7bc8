// One random schedule in virtual time: gateways that share the quotas of some tenants, the one holder of
// their counts, and a network that loses, doubles and delays datagrams. All chance comes from the seed.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "quota/admission.h"

namespace dewweir::quota::testing {

using std::chrono::microseconds;
using std::chrono::milliseconds;

// What befalls a schedule besides loss, doubling and delay. Kinds differ in what may pass the bound.
enum class Kind : std::uint8_t {
    calm,             // nothing
    holder_silent,    // nobody reaches the holder for some seconds
    holder_restart,   // the holder comes back with nothing
    gateways_cut,     // some gateways don't reach the holder, the others do
    gateway_restart,  // gateways come back with nothing
    all_at_once,      // each of these
};
constexpr Kind kinds[] = {Kind::calm,         Kind::holder_silent,   Kind::holder_restart,
                          Kind::gateways_cut, Kind::gateway_restart, Kind::all_at_once};
const char* name_of(Kind kind);

// How the requests of a tenant come to the gateways.
enum class Demand : std::uint8_t {
    even,    // to all alike
    skewed,  // by fixed weights, few of them large
    moving,  // weights drawn anew every few seconds
    bursts,  // nothing for a while, then much at once
};

// Faults put in on purpose, to see that the checker finds them.
enum class Sabotage : std::uint8_t {
    none,
    whole_bucket,   // a local bucket holds the whole quota
    never_counted,  // the holder answers that the others have let nothing in
};

struct Span {
    TimePoint from{};
    TimePoint until{};

    bool holds(TimePoint now) const { return from <= now && now < until; }
};

struct TenantPlan {
    Quota quota;
    double demand = 1;  // of the quota's rate
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
    double loss = 0;         // share of datagrams
    double doubling = 0;     // share of datagrams
    microseconds delay{0};   // one way
    microseconds jitter{0};  // on top, at most; exponential
    std::vector<Span> silent;
    std::vector<TimePoint> holder_restarts;
    std::vector<int> cut_gateways;
    Span cut;
    std::vector<Restart> gateway_restarts;
};

constexpr QuotaBound rules{milliseconds(5000), 0.1, 20};
constexpr std::chrono::seconds played{16};
const TimePoint began{std::chrono::hours(1)};

// The plan of a seed. `calm_demand`: every tenant asks well inside its quota and nothing befalls.
Plan draw_plan(std::uint64_t seed, bool calm_demand = false);

struct TenantResult {
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::vector<TimePoint> admitted;  // in order
};

struct ScheduleResult {
    Plan plan;
    std::vector<TenantResult> tenants;  // as in the plan
};

ScheduleResult play(const Plan& plan, std::uint64_t seed, Sabotage sabotage = Sabotage::none);

// The most requests admitted in any span as long as the rules' one.
std::size_t most_in_a_span(const std::vector<TimePoint>& admitted);
// What the rules allow in any such span.
double allowed(const Quota& quota);

}  // namespace dewweir::quota::testing

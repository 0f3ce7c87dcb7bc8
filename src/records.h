// The records that decisions are made from: one of each host, tenant, request and call. Data alone: what
// is made of them is decided under src/policy.
#pragma once

#include <cstdint>
#include <vector>

#include "limits/moved.h"
#include "readings.h"

namespace dewweir::policy {

constexpr std::uint32_t nobody = 0xffffffff;

using Outcome = AttemptOutcome;  // of a call to the counter as well

enum class Stage { counting, waiting, out, over };
enum class Asked { add, previous, back };

struct Host {
    std::uint32_t id;
    bool listed = false, trial = false, by_word = false;  // shut by word of others, not by us
    Time up_since = 0, full_until = 0, shut_until = 0, shut_for = 0, last_word = 0, budget_at = 0,
         listed_at = 0, connected = 0, kept_off_until = 0, found_failing = 0;
    int zone = 0, cell = 0, out = 0, failures = 0, list_round = 0;
    const QuotaPlan* full_for = nullptr;
    double places = 0, slowness = 0, budget = 1, adopted = 1;
};

// What the counter is told to hold of one window; what is known to be ours; what it was found to have lost.
struct Tally {
    double total = 0, own = 0, lost = 0;
};

struct Tenant {
    std::uint64_t id;
    const QuotaPlan& plan;
    Time window_long;
    int gateways, open = 0;
    std::int64_t window = -1;
    Tally current{}, before{};
    double owed = 0;  // let in while the counter was away, to be added with the next call
    bool previous_known = false;
    std::vector<std::uint32_t> readers{};
    double tokens = 0, local_tokens = 0, ceiling = 0;  // the bucket replayed; our part of it; of the ceiling
    limits::LoanBalance moved{};                       // of our part to other gateways, and of theirs to us
    Time tokens_at = 0, local_at = 0, ceiling_at = 0, over_until = 0;
};

struct Request {
    const RouteClass* route;
    std::uint64_t tenant;
    double units;
    Time goal_at, limit_at;
    Stage stage = Stage::counting;
    int attempts = 0, zone = -1, cell = -1;
    std::uint32_t host = nobody, last_host = nobody;
    std::int64_t window = -1;
    double reading = 0, borrowed = 0;  // borrowed: let in by what others' parts spared
    bool call_out = false, on_counter = false, on_bucket = false;
    bool may_have_run = false, stream = false, given_up = false;
    Time sent = 0, first_ran = 0;
};

struct Call {
    Asked asked;
    std::uint32_t request;
    std::uint64_t tenant;
    std::int64_t window;
    double amount;
};

}  // namespace dewweir::policy

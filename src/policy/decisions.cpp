// All decisions of the gateway: quotas, the line, which host, health, further attempts, the five rules.
// Here is what can happen, each told to the part that decides on it; the parts are the headers beside this
// file. Callers own one Decisions a gateway, tell it what happens in the order it happens, and do what it
// calls on the Gateway handed to it; the interface is in include/dewweir/decisions.h, the reasons are in
// docs/design.md.
#include "dewweir/decisions.h"

#include "policy/quota.h"

namespace dewweir {

struct Decisions::State : policy::Quota {
    using Quota::Quota;
    State& at(Time moment) { return now = moment, *this; }
};

Decisions::Decisions(Gateway& gateway, const Settings& settings, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(gateway, settings, seed, now)) {}
Decisions::~Decisions() = default;

void Decisions::list_begins(Time now, bool whole) {
    state_->at(now).list_whole = whole;
    ++state_->list_round;
}

void Decisions::host_listed(Time, std::uint32_t id, HostState state, Time up_since, int zone, int cell) {
    state_->listed(id, state, up_since, zone, cell);
}

void Decisions::list_ends(Time now) {
    State& s = state_->at(now);
    for (auto& [id, h] : s.hosts) h.listed &= !s.list_whole || h.list_round == s.list_round;
    s.list_failures = 0;
    s.place();
}

void Decisions::list_failed(Time now) {
    state_->at(now).follow_later();
    ++state_->list_failures;
}

void Decisions::host_reported(Time now, std::uint32_t id, const HostReport& said) {
    State& s = state_->at(now);
    if (const auto known = s.hosts.find(id); known != s.hosts.end()) s.host_reported(known->second, said);
    s.place();
}

double Decisions::lend_tokens(Time now, const QuotaShare& of, double units) {
    return state_->at(now).lend_tokens(of, units);
}

void Decisions::receive_loan(Time now, std::uint64_t tenant, double units, Time until) {
    auto& all = state_->at(now).tenants;
    if (const auto at = all.find(tenant); at != all.end()) at->second.moved.borrow(now, units, until);
}

void Decisions::request_received(Time now, std::uint32_t id, int route_class, int plan, std::uint64_t tenant,
                                 double units, int tenant_gateways, Time patience_left) {
    state_->at(now).request_received(id, route_class, plan, tenant, units, tenant_gateways, patience_left);
}

void Decisions::attempt_ended(Time now, std::uint32_t id, int, std::uint32_t host, AttemptOutcome outcome,
                              Time took, bool settled, double billed) {
    State& s = state_->at(now);
    const auto known = s.hosts.find(host);
    if (known != s.hosts.end()) s.attempt_ended(id, known->second, outcome, took, settled, billed);
}

void Decisions::stream_started(Time now, std::uint32_t id, int) {
    if (policy::Request* const s = state_->at(now).open_one(id)) s->stream = true;
}

void Decisions::client_disconnected(Time now, std::uint32_t id) { state_->at(now).end_early(id, true); }

void Decisions::counter_replied(Time now, std::uint64_t name, AttemptOutcome outcome, double total,
                                Time took) {
    state_->at(now).counted(name, outcome, total, took);
}

void Decisions::timer_expired(Time now, std::uint64_t token) {
    State& s = state_->at(now);
    const auto id = static_cast<std::uint32_t>(token >> 3);
    switch (token & 7) {
        case policy::beat: return s.on_beat();
        case policy::limit: return s.end_early(id, false);
        case policy::follow: return s.gateway.watch_host_list();
        case policy::place_free: return s.free_place(s.hosts.at(id)), s.place();
        case policy::count_late: return s.on_count_late(id);
    }
}

}  // namespace dewweir

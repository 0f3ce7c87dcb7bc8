// Hands each event to the part that decides on it: the headers beside this file. Reasons: docs/design.md.
#include "dewweir/decisions.h"

#include "policy/quota.h"

namespace dewweir {

struct Decisions::State : policy::Quota {
    using Quota::Quota;
    State& at(Time moment) {
        now = moment;
        return *this;
    }
};

Decisions::Decisions(Gateway& gateway, const Settings& settings, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(gateway, settings, seed, now)) {}
Decisions::~Decisions() = default;

void Decisions::list_begins(Time now, bool complete) {
    state_->at(now).list_complete = complete;
    ++state_->list_update;
}

void Decisions::host_listed(Time, std::uint32_t id, HostState state, Time up_since, int zone, int cell) {
    state_->host_listed(id, state, up_since, zone, cell);
}

void Decisions::list_ends(Time now) {
    State& s = state_->at(now);
    for (auto& [id, h] : s.hosts) h.listed &= !s.list_complete || h.list_update == s.list_update;
    s.list_failures = 0;
    s.dispatch_queue();
}

void Decisions::list_failed(Time now) {
    state_->at(now).schedule_watch();
    ++state_->list_failures;
}

void Decisions::host_reported(Time now, std::uint32_t id, const HostReport& report) {
    State& s = state_->at(now);
    if (const auto known = s.hosts.find(id); known != s.hosts.end()) s.host_reported(known->second, report);
    s.dispatch_queue();
}

double Decisions::lend_tokens(Time now, const QuotaShare& share, double units) {
    return state_->at(now).lend_tokens(share, units);
}

void Decisions::receive_loan(Time now, std::uint64_t tenant, double units, Time expires_at) {
    auto& all = state_->at(now).tenants;
    if (const auto at = all.find(tenant); at != all.end()) at->second.loans.borrow(now, units, expires_at);
}

void Decisions::request_received(Time now, std::uint32_t id, int route_class, int plan, std::uint64_t tenant,
                                 double units, int tenant_gateways, Time time_left) {
    state_->at(now).request_received(id, route_class, plan, tenant, units, tenant_gateways, time_left);
}

void Decisions::attempt_ended(Time now, std::uint32_t id, int, std::uint32_t host, AttemptOutcome outcome,
                              Time took, bool settled, double billed) {
    State& s = state_->at(now);
    const auto known = s.hosts.find(host);
    if (known != s.hosts.end()) s.attempt_ended(id, known->second, outcome, took, settled, billed);
}

void Decisions::stream_started(Time now, std::uint32_t id, int) {
    if (policy::Request* const r = state_->at(now).find_open(id)) r->streaming = true;
}

void Decisions::client_disconnected(Time now, std::uint32_t id) { state_->at(now).end_early(id, true); }

void Decisions::counter_replied(Time now, std::uint64_t name, AttemptOutcome outcome, double total,
                                Time took) {
    state_->at(now).counter_replied(name, outcome, total, took);
}

void Decisions::timer_expired(Time now, std::uint64_t token) {
    State& s = state_->at(now);
    const auto id = static_cast<std::uint32_t>(token >> 3);
    switch (token & 7) {
        case policy::tick_timer: return s.on_tick();
        case policy::deadline_timer: return s.end_early(id, false);
        case policy::watch_timer: return s.gateway.watch_host_list();
        case policy::slot_timer: s.release_slot(s.hosts.at(id)); return s.dispatch_queue();
        case policy::counter_timer: return s.on_counter_late(id);
    }
}

}  // namespace dewweir

// Hosts: what is learnt of each from its answers and failures, the places at it, what a cold one may be sent,
// which one a request goes to, and when their list is asked for.
#pragma once

#include "policy/beliefs.h"

namespace dewweir::policy {

struct Hosts : Beliefs {
    bool follows = asks, list_whole = false;
    int list_round = 0, list_failures = 0, served_lately = 0, hosts_listed = 0, hosts_open = 0;
    // Parts of attempts: failing, without end. Attempts served a warm host and tenth; places here.
    double failing = 0, mute = 0, flow = 0, places_all = 0;

    using Beliefs::Beliefs;

    // Guards against asking for the list all at once: gateways start, or lose their watch, in the same
    // moment. Calls are served in turn, and one come to too late has cost its turn, so that none may be
    // answered. The more of us, and the more failures, the longer the stretch over which chance spreads the
    // next ones; with no host known there is nothing to wait with. Not asking is held against us after
    // ask_within, and only after four times that once a call has failed; where news comes by itself, it is so
    // at once.
    void follow_later() {
        const double within = ask_within ? static_cast<double>(*ask_within) : 10 * goal;
        const double together = within / 2 * gateways / (gateways + 16);
        const double first = !asks ? within / 128 : hosts.empty() ? within / 64 : together;
        const double most = asks ? 2 * within : within / 8;
        arm(whole(std::min(most, std::ldexp(first, std::min(list_failures, 6))) * draw()), follow);
    }

    void listed(std::uint32_t id, HostState state, Time up_since, int zone_, int cell) {
        const auto [at, fresh] = hosts.try_emplace(id, Host{id});
        Host& h = at->second;
        if (fresh) {
            h.slowness = typical;
            places_all += h.places = first_places / gateways;
            reach = ample();
        }
        if (up_since > h.up_since) started_again(h, up_since);
        h.list_round = list_round;
        h.listed = state == HostState::ready;
        h.zone = zone_;
        h.cell = cell;
    }

    void started_again(Host& h, Time up_since) {  // nothing learnt of its last life counts
        h.up_since = up_since;
        h.failures = 0;
        h.connected = 0;
        h.budget_at = now;
        h.budget = draw();
        // Some gateways by chance stand for all, so that each sends it enough to know it and keep a
        // connection. Four swings of what they send together, each about as uneven as it is much, stay
        // within the half of the fall multiple that the budget leaves: 4 * sqrt(2 / 32) = 1.
        const double part = std::min(1.0, 32.0 / gateways);
        h.adopted = draw() < part ? 1 / part : 0;
    }

    // Two others that hold it shut, or one beside a failure of our own, shut it here; a list that is later
    // than ours and says that it drains keeps work off. Guards against words that are wrong: half of the
    // hosts stay open to us whatever is said, and one gateway of all, by chance, tries it every four goals or
    // so, whatever they hold; all wait anew when it was in vain, and try at once when it is well again.
    void host_reported(Host& h, const HostReport& said) {
        // One that lies ahead of our clock is nonsense, and would stay cold for good.
        if (said.up_since > h.up_since && said.up_since <= now + fall) started_again(h, said.up_since);
        int closed = 1, all = 0;
        for (const auto& [id, one] : hosts)
            if (one.listed && one.id != h.id) ++all, closed += one.trial || now < one.kept_off_until;
        const bool may = 2 * closed <= all + 1;
        h.kept_off_until = said.draining && may ? said.expires_at : 0;
        const bool fails = said.suspicion + (h.failures > 0) >= 1.5;
        if (h.by_word && !fails) {
            h.trial = h.by_word = false;
            h.shut_until = 0;
        } else if (h.trial && said.suspicion < 0) {
            h.shut_until = now;
        } else if (h.trial && said.last_failure > h.found_failing) {
            h.shut_until = said.last_failure + fleets_turn();
        } else if (h.trial && said.last_failure == 0 && std::exchange(h.found_failing, 0) > 0) {
            // Nobody says anything of it any more: our own clock again.
            h.shut_until = std::min(h.shut_until, now + jittered(h.shut_for));
        } else if (!h.trial && fails && may) {
            h.trial = h.by_word = true;
            h.shut_until = now + fleets_turn();
        }
        h.found_failing = std::max(h.found_failing, said.last_failure);
    }

    // Others found it failing as well, and lately: one of all tries it, by chance, about every four goals.
    bool held_by_others(const Host& h) const {
        return h.trial && h.found_failing > 0 && since(h.found_failing) < 16 * goal;
    }
    Time fleets_turn() { return whole(draw() * 4 * goal * gateways); }

    // With so many gateways that each has under half a place at a host, one host's answers come too rarely to
    // learn its places from: what may be out in all is learnt from all answers.
    bool few_places() const { return gateways > 8; }
    double ample() const { return 1 + places_all + 2 * std::sqrt(places_all); }
    double room() const { return few_places() ? reach : ample(); }

    double warmth(const Host& h) const {
        const double age = std::max(0.0, since(h.up_since)) / static_cast<double>(warm_after);
        return h.up_since <= 0 || age >= 1 ? 1 : cold_from + (1 - cold_from) * age;
    }

    // A cold host's budget runs over any window and for all gateways together: this one sends no faster than
    // the part, by age, of what it has a warm host do, from a chance level: parts are far under one request.
    // Of many gateways some send for all.
    bool budget_left(Host& h, double warm) {
        if (warm >= 1) return true;
        const double rate =
            std::max(warm * flow * fall_multiple / 2, fall_multiple / (fall * gateways)) * h.adopted;
        h.budget = std::min(1.0, h.budget + rate * since(h.budget_at));
        h.budget_at = now;
        return h.budget >= 1;
    }

    Host* pick_host(const Request& r, double part) {
        Host* best = nullptr;
        double least = 0;
        if (out_all + 1 > room() * part) return best;
        const bool grouped = r.may_have_run && r.route->repeats == "fingerprinted";
        for (auto& [host, h] : hosts) {
            if (!h.listed || now < std::max(h.shut_until, h.kept_off_until) || (h.trial && h.out > 0))
                continue;
            if (grouped && r.route->scope == "zone" && h.zone != r.zone) continue;
            if (grouped && r.route->scope == "cell" && h.cell != r.cell) continue;
            const double warm = warmth(h);
            if (h.out + 1 > std::max(1.0, h.places * warm * part) || !budget_left(h, warm)) continue;
            double score = std::max(h.slowness, typical / 4) * (h.out + 1) / (few_places() ? 1 : warm);
            // With few places each request would go to another host, over a new connection, and none would be
            // met often enough to be known: all those without a connection standing open weigh as much as one
            // with. Cold hosts have their budget, and are needed most when many have been replaced.
            if (few_places() && connection_kept > 0 && now >= h.connected && warm >= 1)
                score = (h.last_word ? std::max(h.slowness, ease) : ease) * std::max(1, hosts_open);
            if (h.zone != zone) score *= h.zone == zone + 1 ? next_zone : other_zone;
            // Guards against hosts that turn away what one plan sends, though others still get in.
            const bool full = now < h.full_until && h.full_for == &tenant_of(r).plan;
            if (host == r.last_host || full) score *= 8;
            // While many fail, a host that has answered here is worth more than one not met yet.
            if (h.last_word == 0) score *= 1 + 8 * failing;
            // With few places, requests out here tell no load, and all would find the same host best.
            if (few_places()) score *= std::exponential_distribution<>()(chance);
            // Whose turn it is tries it with the next request that loses nothing by it: a host that failed
            // looks like the worst, so that one that is well again would wait for many turns.
            if (held_by_others(h) && r.attempts == 0 && r.route->repeats == "retriable") score = 0;
            if (!best || score < least) best = &h, least = score;
        }
        return best;
    }

    Time between_pieces() const {
        return std::clamp(whole(1 / std::max(flow, 1e-9)), route_classes[0].goal, 16 * route_classes[0].goal);
    }
    void told_of(LogEvent event, const Host& h, const char* what) {
        gateway.log(event, h.id, "host " + std::to_string(h.id) + what);
    }

    void host_failed(Host& h, Outcome outcome) {
        ++h.failures;
        move(failing, 1, 16);
        move(h.slowness, goal, 4);
        // With few places the next request there may be a minute off: one failure is a row.
        if (h.failures < (few_places() ? 1 : outcome == Outcome::connect_failed ? 2 : 3) && !h.trial) return;
        if (2 * hosts_open < hosts_listed + 2 && !h.trial) return;  // when all fail at once none is to blame
        hosts_open -= !h.trial;
        if (std::exchange(h.by_word, false) || !h.trial)
            told_of(LogEvent::host_ejected, h, " shut: failures in a row");
        h.shut_for = std::clamp(2 * h.shut_for, between_pieces(), 8 * between_pieces());
        h.shut_until = now + (held_by_others(h) ? fleets_turn() : jittered(h.shut_for));
        h.trial = true;
    }

    void host_full(Host& h, const QuotaPlan* plan) {
        // Guards against hammering: what is turned away at once would come again at once.
        reach = std::max(1.0, reach * 0.9);
        cut_places(h, 0.5);
        h.last_word = now, h.full_until = now + jittered(between_pieces());
        if (plan) h.full_for = plan;
    }

    void cut_places(Host& h, double to) { h.places = std::max(2.0 / gateways, h.places * to); }

    // Of a host's smoothed time; half as much again, of the mean of all answers.
    double aim() const { return std::clamp(1.5 * ease, 0.15 * goal, 0.35 * goal); }

    void host_served(Host& h, Time time) {
        const auto took = static_cast<double>(time);
        h.by_word = false;
        if (std::exchange(h.trial, false)) told_of(LogEvent::host_restored, h, " back");
        move(failing, 0, 16), move(mute, 0, 64);
        h.shut_for = h.failures = 0;
        h.last_word = now;
        move(h.slowness, took, few_places() ? 3 : 8);
        move(swing, std::abs(took - typical), 64);
        move(typical, took, 64);
        if (warmth(h) >= 1) ++served_lately;
        // Hosts held at a little over their easy time keep their pace; long queues at a host can cost it.
        move(ease, typical, typical < ease ? 16 : 16384);
        const double most = aim();
        // The mean of the answers steers the reach, not how many are slow: requests differ, and a tenth may
        // take thrice the mean at hosts at ease. What all gateways may have out without harm it gets back
        // unused.
        if (const double over = std::min(took / (1.5 * most), 4.0) - 1;
            over > 0 || reach < ample() || out_all + 2 > reach)
            reach = std::max(1.0, reach * (1 - over / 16));
        if (h.slowness < 0.75 * most && h.out + 2 > h.places)
            h.places += std::min(h.places, 1 / (h.places * gateways));
        if (h.slowness > most) cut_places(h, 1 - std::min(0.5, 1 - most / h.slowness) / (h.out + 1));
    }

    // Takes stock of all hosts, once a beat.
    void look_round() {
        if (std::exchange(follows, false)) follow_later();  // what was held from before has been told by now
        const double passed = static_cast<double>(std::max<Time>(1, now - beat_at));
        int warm = 0;
        places_all = hosts_listed = hosts_open = 0;
        for (auto& [id, h] : hosts) {
            hosts_listed += h.listed;
            if (h.listed) h.listed_at = now;
            if (!h.listed || h.trial) continue;
            ++hosts_open;
            places_all += h.places;
            warm += warmth(h) >= 1;
        }
        if (warm > 0) flow += (served_lately / passed / warm - flow) * std::min(1.0, passed / fall);
        served_lately = 0;
        beat_at = now;
    }
};

}  // namespace dewweir::policy

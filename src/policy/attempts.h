// Requests let in: the line, attempts and their ends, further attempts, and the one final answer.
#pragma once

#include "policy/buckets.h"

namespace dewweir::policy {

struct Attempts : Buckets {
    using Buckets::Buckets;

    double wait_in_line() const { return static_cast<double>(line.size()) * typical / room(); }

    void take_in(std::uint32_t id, Request& r) {
        ++tenant_of(r).open;
        r.stage = Stage::waiting;
        line.push_back(id);
        place();
    }

    void place() {
        for (std::size_t n = 0; n < line.size();) {
            const std::uint32_t id = line[n];
            Request& r = requests.at(id);
            Host* const host = pick_host(r, 1);
            if (!host && !r.may_have_run) break;  // no room for any; one bound to a group may lack its own
            if (!host) ++n;
            else line.erase(line.begin() + static_cast<std::ptrdiff_t>(n)), start_attempt(id, r, *host);
        }
    }

    void start_attempt(std::uint32_t id, Request& r, Host& h) {
        if (r.attempts == 0 && !ceiling_holds(tenant_of(r), r.units)) return reject(id, r, 0);
        count(h.trial         ? Decision::sent_as_probe
              : warmth(h) < 1 ? Decision::sent_to_cold_host
                              : Decision::sent_to_warm_host);
        r.stage = Stage::out;
        r.host = h.id;
        r.sent = now;
        ++r.attempts;
        ++h.out, ++out_all;
        h.budget -= 1;
        gateway.start_attempt(id, h.id, std::max<Time>(step, r.limit_at - now));
    }

    void close(std::uint32_t id, Request& r) {
        disarm(limit, id);
        if (r.stage == Stage::waiting) {
            --tenant_of(r).open;
            std::erase(line, id);
        }
        // An attempt that is out, or a call that may yet add, needs the record until its end is told, and
        // no longer: records left behind would be walked by every beat.
        if (r.stage != Stage::out && !(r.stage == Stage::counting && r.call_out)) requests.erase(id);
        else r.stage = Stage::over;
    }

    void reject(std::uint32_t id, Request& r, Time advice) {
        const RouteClass& route = *r.route;
        if (r.attempts == 0) give_back(r);
        if (!r.may_have_run || route.repeats == "retriable" ||
            (route.repeats == "fingerprinted" && route.scope == "all"))
            gateway.refuse(id, std::min(advice, longest_advice));
        else gateway.fail(id);
        close(id, r);
    }

    bool may_run_again(const Request& r) const {
        if (r.attempts >= most_attempts) return false;
        if (!r.may_have_run || r.route->repeats == "retriable") return true;
        return r.route->repeats == "fingerprinted" && now + 4 * step < r.first_ran + r.route->remembered;
    }

    void call_off(std::uint32_t id, const Request& r) {
        if (r.stage == Stage::out && may_cancel && !r.stream) gateway.cancel(id, r.attempts - 1);
    }
    void free_place(Host& h) { --h.out, --out_all; }

    void attempt_ended(std::uint32_t id, Host& h, Outcome outcome, Time took, bool settled, double billed) {
        // Work that is called off may run on unseen: its place is not free before a usual time has passed.
        if (outcome == Outcome::cancelled) arm(whole(h.slowness), place_free, h.id);
        else free_place(h);
        count(static_cast<Decision>(static_cast<int>(Decision::served) + static_cast<int>(outcome)));
        const auto found = requests.find(id);
        const bool moot = outcome == Outcome::not_sent;
        const bool ran = outcome != Outcome::overloaded && outcome != Outcome::connect_failed && !moot;
        const bool answered =
            outcome == Outcome::ok || outcome == Outcome::overloaded || outcome == Outcome::error;
        h.connected = answered ? now + connection_kept : 0;
        if (outcome == Outcome::ok) host_served(h, took);
        else if (outcome == Outcome::overloaded)
            host_full(h, found != requests.end() ? &tenant_of(found->second).plan : nullptr);
        else if (outcome != Outcome::cancelled && !moot) host_failed(h, outcome);
        // Guards against answers that never count since their clients left first: an overloaded host would be
        // known by its quick ones alone. It took that long at least.
        else if (!moot && few_places() && took > std::max(h.slowness, 2 * aim()))
            move(h.slowness, static_cast<double>(took), 3);
        // Of no attempt that is out?
        if (found == requests.end() || found->second.stage == Stage::waiting) return place();
        Request& r = found->second;
        // Units settled afterwards: the difference goes to the same name.
        if (outcome == Outcome::ok && billed > 0 && r.on_counter && billed != r.units)
            call(Asked::back, 0, tenant_of(r), r.window, billed - r.units);
        const bool over = r.stage != Stage::out || settled;
        r.stage = Stage::waiting;
        if (over) return close(id, r), place();
        if (ran && !r.may_have_run) {
            r.may_have_run = true;
            r.first_ran = r.sent;
            r.zone = h.zone;
            r.cell = h.cell;
        }
        r.last_host = h.id;
        if (now + 2 * step >= r.limit_at) gateway.fail(id), close(id, r);
        else if (!may_run_again(r)) reject(id, r, whole(typical));
        else line.push_front(id);
        place();
    }

    // Guards against hosts that take work and answer nothing: no word since this request went there (with few
    // places none is due, but where others hold the host failing). A long request is as long elsewhere, so
    // only its first is called off; while requests are lost for good on connections gone silent, so is one on
    // a host that speaks.
    bool lost(const Request& r) const {
        return r.stage == Stage::out && (!few_places() || held_by_others(hosts.at(r.host))) && !r.stream &&
               !r.given_up && r.attempts == 1 && most_attempts > 1 && may_cancel &&
               r.route->repeats == "retriable" && (hosts.at(r.host).last_word < r.sent || mute > 1.0 / 256) &&
               now - r.sent > std::max(r.route->goal * 2 / 5, whole(typical + 4 * swing));
    }

    void on_beat() {
        look_round();
        std::vector<std::uint32_t> late;
        for (auto& [id, r] : requests) {
            if (r.stage == Stage::waiting && now + needed(r) > r.goal_at) late.push_back(id);
            if (!lost(r)) continue;
            r.given_up = true;
            call_off(id, r);
            if (Host& h = hosts.at(r.host); h.last_word < r.sent) host_failed(h, Outcome::timeout);
        }
        for (const std::uint32_t id : late)
            count(Decision::expired_in_queue), reject(id, requests.at(id), whole(typical));
        place();
        if (since(told_at) > 5 * goal) {
            gateway.report_decisions(std::exchange(decided, {}));
            told_at = now;
        }
        if (since(forgot_at) > kept) forget_idle();
        arm(beat_every, beat);
    }

    // Guards against records without end: a tenant seen so long ago is no other than a new one, its buckets
    // are full and its windows over; a host not listed for so long is another one if it comes back.
    void forget_idle() {
        std::erase_if(tenants, [&](auto& e) { return !e.second.open && since(e.second.tokens_at) > kept; });
        std::erase_if(hosts, [&](auto& e) { return !e.second.out && since(e.second.listed_at) > kept; });
        forgot_at = now;
    }

    // Its time is up, or its client has gone, who is owed no answer.
    void end_early(std::uint32_t id, bool gone) {
        Request* const r = open_one(id);
        if (!r || (r->stream && !gone)) return;
        call_off(id, *r);
        if (!gone && r->stage == Stage::out) move(mute, 1, 64);  // no answer in all its time
        if (!gone && r->attempts == 0) return reject(id, *r, 0);
        if (!gone) gateway.fail(id);
        if (r->attempts == 0) give_back(*r);
        close(id, *r);
    }
};

}  // namespace dewweir::policy

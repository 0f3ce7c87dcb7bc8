// Submissions let in: the line, executions and their ends, further executions, and the one final answer.
#pragma once

#include "policy/stores.h"

namespace dewweir::policy {

struct Executions : Stores {
    using Stores::Stores;

    double wait_in_line() const { return static_cast<double>(line.size()) * typical / room(); }

    void take_in(std::uint32_t id, Submission& s) {
        ++customer_of(s).open;
        s.stage = Stage::waiting;
        line.push_back(id);
        place();
    }

    void place() {
        for (std::size_t n = 0; n < line.size();) {
            const std::uint32_t id = line[n];
            Submission& s = submissions.at(id);
            Host* const host = pick_host(s, 1);
            if (!host && !s.may_have_run) break;  // no room for any; one bound to a group may lack its own
            if (!host) ++n;
            else line.erase(line.begin() + static_cast<std::ptrdiff_t>(n)), execute(id, s, *host);
        }
    }

    void execute(std::uint32_t id, Submission& s, Host& h) {
        if (s.executions == 0 && !ceiling_holds(customer_of(s), s.units)) return turn_down(id, s, 0);
        count(h.trial ? Decision::trial_piece : warmth(h) < 1 ? Decision::to_cold : Decision::to_warm);
        s.stage = Stage::out;
        s.host = h.id;
        s.sent = now;
        ++s.executions;
        ++h.out, ++out_all;
        h.budget -= 1;
        gateway.execute(id, h.id, std::max<Time>(step, s.limit_at - now));
    }

    void close(std::uint32_t id, Submission& s) {
        disarm(limit, id);
        if (s.stage == Stage::waiting) {
            --customer_of(s).open;
            std::erase(line, id);
        }
        // An execution that is out, or a call that may yet add, needs the record until its end is told, and
        // no longer: records left behind would be walked by every beat.
        if (s.stage != Stage::out && !(s.stage == Stage::counting && s.call_out)) submissions.erase(id);
        else s.stage = Stage::over;
    }

    void turn_down(std::uint32_t id, Submission& s, Time advice) {
        const Track& track = *s.track;
        if (s.executions == 0) give_back(s);
        if (!s.may_have_run || track.repeats == "retriable" ||
            (track.repeats == "fingerprinted" && track.scope == "all"))
            gateway.bounce(id, std::min(advice, longest_advice));
        else gateway.write_off(id);
        close(id, s);
    }

    bool may_run_again(const Submission& s) const {
        if (s.executions >= most_executions) return false;
        if (!s.may_have_run || s.track->repeats == "retriable") return true;
        return s.track->repeats == "fingerprinted" && now + 4 * step < s.first_ran + s.track->remembered;
    }

    void call_off(std::uint32_t id, const Submission& s) {
        if (s.stage == Stage::out && may_cancel && !s.stream) gateway.cancel(id, s.executions - 1);
    }
    void free_place(Host& h) { --h.out, --out_all; }

    void execution_ended(std::uint32_t id, Host& h, Verdict verdict, Time took, bool settled, double billed) {
        // Work that is called off may run on unseen: its place is not free before a usual time has passed.
        if (verdict == Verdict::called_off) arm(whole(h.slowness), place_free, h.id);
        else free_place(h);
        count(static_cast<Decision>(static_cast<int>(Decision::delivered) + static_cast<int>(verdict)));
        const auto found = submissions.find(id);
        const bool moot = verdict == Verdict::not_sent;
        const bool ran = verdict != Verdict::full && verdict != Verdict::connect_failed && !moot;
        const bool answered = verdict == Verdict::ok || verdict == Verdict::full || verdict == Verdict::error;
        h.connected = answered ? now + connection_kept : 0;
        if (verdict == Verdict::ok) host_delivered(h, took);
        else if (verdict == Verdict::full)
            host_full(h, found != submissions.end() ? &customer_of(found->second).plan : nullptr);
        else if (verdict != Verdict::called_off && !moot) host_failed(h, verdict);
        // Guards against answers that never count since their clients left first: an overloaded host would be
        // known by its quick ones alone. It took that long at least.
        else if (!moot && few_places() && took > std::max(h.slowness, 2 * aim()))
            move(h.slowness, static_cast<double>(took), 3);
        // Of no execution that is out?
        if (found == submissions.end() || found->second.stage == Stage::waiting) return place();
        Submission& s = found->second;
        // Units settled afterwards: the difference goes to the same name.
        if (verdict == Verdict::ok && billed > 0 && s.on_counter && billed != s.units)
            call(Asked::back, 0, customer_of(s), s.window, billed - s.units);
        const bool over = s.stage != Stage::out || settled;
        s.stage = Stage::waiting;
        if (over) return close(id, s), place();
        if (ran && !s.may_have_run) {
            s.may_have_run = true;
            s.first_ran = s.sent;
            s.zone = h.zone;
            s.cell = h.cell;
        }
        s.last_host = h.id;
        if (now + 2 * step >= s.limit_at) gateway.write_off(id), close(id, s);
        else if (!may_run_again(s)) turn_down(id, s, whole(typical));
        else line.push_front(id);
        place();
    }

    // Guards against hosts that take work and answer nothing: no word since this piece went there (with few
    // places none is due, but where others hold the host failing). A long piece is as long elsewhere, so only
    // its first is called off; while pieces are lost for good on connections gone silent, so is one on a host
    // that speaks.
    bool lost(const Submission& s) const {
        return s.stage == Stage::out && (!few_places() || held_by_others(hosts.at(s.host))) && !s.stream &&
               !s.given_up && s.executions == 1 && most_executions > 1 && may_cancel &&
               s.track->repeats == "retriable" && (hosts.at(s.host).last_word < s.sent || mute > 1.0 / 256) &&
               now - s.sent > std::max(s.track->goal * 2 / 5, whole(typical + 4 * swing));
    }

    void on_beat() {
        look_round();
        std::vector<std::uint32_t> late;
        for (auto& [id, s] : submissions) {
            if (s.stage == Stage::waiting && now + needed(s) > s.goal_at) late.push_back(id);
            if (!lost(s)) continue;
            s.given_up = true;
            call_off(id, s);
            if (Host& h = hosts.at(s.host); h.last_word < s.sent) host_failed(h, Verdict::timeout);
        }
        for (const std::uint32_t id : late)
            count(Decision::late), turn_down(id, submissions.at(id), whole(typical));
        place();
        if (since(told_at) > 5 * goal) {
            gateway.decided(std::exchange(decided, {}));
            told_at = now;
        }
        if (since(forgot_at) > kept) forget_idle();
        arm(beat_every, beat);
    }

    // Guards against records without end: a customer seen so long ago is no other than a new one, its stores
    // are full and its windows over; a host not listed for so long is another one if it comes back.
    void forget_idle() {
        std::erase_if(customers, [&](auto& e) { return !e.second.open && since(e.second.level_at) > kept; });
        std::erase_if(hosts, [&](auto& e) { return !e.second.out && since(e.second.listed_at) > kept; });
        forgot_at = now;
    }

    // Its time is up, or its client has gone, who is owed no answer.
    void end_early(std::uint32_t id, bool gone) {
        Submission* const s = open_one(id);
        if (!s || (s->stream && !gone)) return;
        call_off(id, *s);
        if (!gone && s->stage == Stage::out) move(mute, 1, 64);  // no answer in all its time
        if (!gone && s->executions == 0) return turn_down(id, *s, 0);
        if (!gone) gateway.write_off(id);
        if (s->executions == 0) give_back(*s);
        close(id, *s);
    }
};

}  // namespace dewweir::policy

// Admitted requests: the queue, attempts and their ends, retries, and the one final answer.
#pragma once

#include "policy/buckets.h"

namespace dewweir::policy {

struct Attempts : Buckets {
    using Buckets::Buckets;

    double queue_wait() const { return static_cast<double>(queue.size()) * mean_latency / capacity(); }

    void admit(std::uint32_t id, Request& r) {
        ++tenant_of(r).open_requests;
        r.stage = Stage::queued;
        queue.push_back(id);
        dispatch_queue();
    }

    void dispatch_queue() {
        for (std::size_t n = 0; n < queue.size();) {
            const std::uint32_t id = queue[n];
            Request& r = requests.at(id);
            Host* const host = pick_host(r, 1);
            if (!host && !r.may_have_run) break;  // no capacity; others may be bound to a zone or cell
            if (!host) ++n;
            else {
                queue.erase(queue.begin() + static_cast<std::ptrdiff_t>(n));
                start_attempt(id, r, *host);
            }
        }
    }

    void start_attempt(std::uint32_t id, Request& r, Host& h) {
        if (r.attempts == 0 && !take_from_ceiling(tenant_of(r), r.units)) return reject(id, r, 0);
        count(h.ejected       ? Decision::sent_as_probe
              : warmth(h) < 1 ? Decision::sent_to_cold_host
                              : Decision::sent_to_warm_host);
        r.stage = Stage::in_flight;
        r.host = h.id;
        r.started_at = now;
        ++r.attempts;
        ++h.in_flight;
        ++total_in_flight;
        h.slow_start_tokens -= 1;
        gateway.start_attempt(id, h.id, std::max<Time>(timer_step, r.deadline - now));
    }

    void close(std::uint32_t id, Request& r) {
        cancel_timer(deadline_timer, id);
        if (r.stage == Stage::queued) {
            --tenant_of(r).open_requests;
            std::erase(queue, id);
        }
        // An attempt or a call under way needs the record until it ends; each tick walks what is left.
        if (r.stage != Stage::in_flight && !(r.stage == Stage::awaiting_quota && r.call_pending))
            requests.erase(id);
        else r.stage = Stage::answered;
    }

    void reject(std::uint32_t id, Request& r, Time retry_after) {  // fails it if a repeat may do harm
        const RouteClass& route = *r.route;
        if (r.attempts == 0) give_back(r);
        if (!r.may_have_run || route.idempotency == "retriable" ||
            (route.idempotency == "fingerprinted" && route.dedup_scope == "all"))
            gateway.refuse(id, std::min(retry_after, max_retry_after));
        else gateway.fail(id);
        close(id, r);
    }

    bool may_retry(const Request& r) const {
        if (r.attempts >= r.route->max_attempts) return false;
        if (!r.may_have_run || r.route->idempotency == "retriable") return true;
        return r.route->idempotency == "fingerprinted" &&
               now + 4 * timer_step < r.first_run + r.route->dedup_window;
    }

    void cancel_attempt(std::uint32_t id, const Request& r) {
        if (r.stage == Stage::in_flight && may_cancel && !r.streaming) gateway.cancel(id, r.attempts - 1);
    }
    void release_slot(Host& h) {
        --h.in_flight;
        --total_in_flight;
    }

    void attempt_ended(std::uint32_t id, Host& h, Outcome outcome, Time took, bool settled, double billed) {
        // A cancelled attempt may still run at the host: its slot is held for an average latency.
        if (outcome == Outcome::cancelled) start_timer(rounded(h.latency), slot_timer, h.id);
        else release_slot(h);
        count(static_cast<Decision>(static_cast<int>(Decision::served) + static_cast<int>(outcome)));
        const auto found = requests.find(id);
        const bool not_sent = outcome == Outcome::not_sent;
        const bool ran = outcome != Outcome::overloaded && outcome != Outcome::connect_failed && !not_sent;
        const bool replied =
            outcome == Outcome::ok || outcome == Outcome::overloaded || outcome == Outcome::error;
        h.connected_until = replied ? now + connection_ttl : 0;
        if (outcome == Outcome::ok) host_served(h, took);
        else if (outcome == Outcome::overloaded)
            host_overloaded(h, found != requests.end() ? &tenant_of(found->second).plan : nullptr);
        else if (outcome != Outcome::cancelled && !not_sent) host_failed(h, outcome);
        // It took that long at least. Without these, overloaded hosts would be known by quick answers only.
        else if (!not_sent && large_fleet() && took > std::max(h.latency, 2 * target_latency()))
            update(h.latency, static_cast<double>(took), 3);
        if (found == requests.end() || found->second.stage == Stage::queued) return dispatch_queue();
        Request& r = found->second;
        if (outcome == Outcome::ok && billed > 0 && r.on_counter && billed != r.units)
            call(CallPurpose::give_back, 0, tenant_of(r), r.window, billed - r.units);
        const bool over = r.stage != Stage::in_flight || settled;
        r.stage = Stage::queued;
        if (over) close(id, r);
        if (over) return dispatch_queue();
        if (ran && !r.may_have_run) {
            r.may_have_run = true;
            r.first_run = r.started_at;
            r.zone = h.zone;
            r.cell = h.cell;
        }
        r.previous_host = h.id;
        if (now + 2 * timer_step >= r.deadline) {
            gateway.fail(id);
            close(id, r);
        } else if (!may_retry(r)) reject(id, r, rounded(mean_latency));
        else queue.push_front(id);
        dispatch_queue();
    }

    // No response since the attempt started: in a large fleet a sign only where others see the host fail too.
    // While requests end unanswered on dead connections, attempts at hosts that answer others count as well.
    bool seems_lost(const Request& r) const {
        return r.stage == Stage::in_flight && (!large_fleet() || probed_in_turn(hosts.at(r.host))) &&
               !r.streaming && !r.abandoned && r.attempts == 1 && r.route->max_attempts > 1 && may_cancel &&
               r.route->idempotency == "retriable" &&
               (hosts.at(r.host).responded_at < r.started_at || unanswered_rate > 1.0 / 256) &&
               now - r.started_at >
                   std::max(r.route->latency_goal * 2 / 5, rounded(mean_latency + 4 * latency_deviation));
    }

    void on_tick() {
        update_totals();
        std::vector<std::uint32_t> late;
        for (auto& [id, r] : requests) {
            if (r.stage == Stage::queued && now + expected_time(r) > r.goal_deadline) late.push_back(id);
            if (!seems_lost(r)) continue;
            r.abandoned = true;
            cancel_attempt(id, r);
            if (Host& h = hosts.at(r.host); h.responded_at < r.started_at) host_failed(h, Outcome::timeout);
        }
        for (const std::uint32_t id : late) {
            count(Decision::expired_in_queue);
            reject(id, requests.at(id), rounded(mean_latency));
        }
        dispatch_queue();
        if (since(last_report_at) > 5 * goal) {
            gateway.report_decisions(std::exchange(decision_counts, {}));
            last_report_at = now;
        }
        if (since(last_expiry_at) > record_ttl) expire_records();
        start_timer(tick_interval, tick_timer);
    }

    void expire_records() {
        std::erase_if(tenants, [&](auto& e) {
            return !e.second.open_requests && since(e.second.tokens_updated_at) > record_ttl;
        });
        std::erase_if(hosts, [&](auto& e) {
            return !e.second.in_flight && since(e.second.last_listed_at) > record_ttl;
        });
        last_expiry_at = now;
    }

    void end_early(std::uint32_t id, bool client_gone) {  // or else the deadline has passed
        Request* const r = find_open(id);
        if (!r || (r->streaming && !client_gone)) return;
        cancel_attempt(id, *r);
        if (!client_gone && r->stage == Stage::in_flight) update(unanswered_rate, 1, 64);
        if (!client_gone && r->attempts == 0) return reject(id, *r, 0);
        if (!client_gone) gateway.fail(id);
        if (r->attempts == 0) give_back(*r);
        close(id, *r);
    }
};

}  // namespace dewweir::policy

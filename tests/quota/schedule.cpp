#include "quota/schedule.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <queue>

#include "quota/breaker.h"

namespace dewweir::quota::testing {
namespace {

// The same values as in src/gateway/quota_client.cpp.
constexpr microseconds min_call_timeout{50'000};
constexpr microseconds max_call_timeout{250'000};
constexpr int timeout_round_trips = 3;
constexpr int round_trip_smoothing = 8;
// Demand::bursts: no requests, then for a moment all that were held back.
constexpr milliseconds burst_period{2'500};
constexpr milliseconds burst_length{250};
constexpr milliseconds weights_last{1'500};

// Events in order of time, those of equal time in the order in which they were added.
class Agenda {
  public:
    void at(TimePoint when, std::function<void()> what) { events_.push({when, ++added_, std::move(what)}); }
    TimePoint now() const { return now_; }
    void run_until(TimePoint end) {
        while (!events_.empty() && events_.top().when < end) {
            const Event next = events_.top();
            events_.pop();
            now_ = next.when;
            next.what();
        }
    }

  private:
    struct Event {
        TimePoint when;
        std::uint64_t number;
        std::function<void()> what;

        bool operator<(const Event& other) const {
            return when != other.when ? when > other.when : number > other.number;
        }
    };
    std::priority_queue<Event> events_;
    std::uint64_t added_ = 0;
    TimePoint now_ = began;
};

struct Call {
    std::size_t tenant = 0;
    bool waits = false;  // its request has not been decided yet
    TimePoint sent{};
};

// One gateway, with what its quota client knows about the holder.
struct Gateway {
    explicit Gateway(GatewayIncarnation own_incarnation)
        : incarnation(own_incarnation), admission(own_incarnation, rules) {}

    GatewayIncarnation incarnation;
    Admission admission;
    Breaker breaker;
    microseconds round_trip{0};
    std::map<std::pair<TenantId, std::uint64_t>, Call> calls;  // by tenant and sequence
};

class Schedule {
  public:
    Schedule(const Plan& plan, std::uint64_t seed, InjectedDefect defect)
        : plan_(plan), random_(seed ^ 0x9e3779b97f4a7c15), defect_(defect) {
        for (int index = 0; index < plan.gateways; ++index) gateways_.emplace_back(++incarnations_);
        result_.plan = plan;
        result_.tenants.resize(plan.tenants.size());
        weights_.resize(plan.tenants.size());
    }

    ScheduleResult run() {
        for (const TimePoint at : plan_.holder_restarts) agenda_.at(at, [this] { holder_ = CountHolder(); });
        for (const Restart& restart : plan_.gateway_restarts) {
            agenda_.at(restart.at, [this, restart] { gateway(restart.gateway) = Gateway(++incarnations_); });
        }
        for (std::size_t tenant = 0; tenant < plan_.tenants.size(); ++tenant) {
            draw_weights(tenant);
            plan_next_request(tenant);
        }
        agenda_.run_until(began + played);
        return std::move(result_);
    }

  private:
    Gateway& gateway(int index) { return gateways_[static_cast<std::size_t>(index)]; }
    double draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
    double exponential(double mean) { return std::exponential_distribution<>(1 / mean)(random_); }

    void draw_weights(std::size_t tenant) {
        const Demand shape = plan_.tenants[tenant].shape;
        std::vector<double> weights(gateways_.size(), 1);
        if (shape == Demand::skewed || shape == Demand::moving) {
            for (double& weight : weights) weight = std::pow(draw(), 6);
        }
        weights_[tenant] = std::discrete_distribution<>(weights.begin(), weights.end());
        if (shape == Demand::moving) {
            agenda_.at(agenda_.now() + weights_last, [this, tenant] { draw_weights(tenant); });
        }
    }

    void plan_next_request(std::size_t tenant) {
        const TenantPlan& asked = plan_.tenants[tenant];
        double per_s = asked.quota.rate_per_s * asked.demand;
        const bool bursts = asked.shape == Demand::bursts;
        if (bursts) per_s *= static_cast<double>(burst_period / burst_length);
        TimePoint next = agenda_.now() + microseconds(static_cast<std::int64_t>(exponential(1e6 / per_s)));
        const Duration within = (next - began) % burst_period;
        if (bursts && within >= burst_length) next += burst_period - within;
        agenda_.at(next, [this, tenant] {
            request(tenant, weights_[tenant](random_));
            plan_next_request(tenant);
        });
    }

    bool cut(int index) const {
        const bool chosen = std::ranges::find(plan_.cut_gateways, index) != plan_.cut_gateways.end();
        return chosen && plan_.cut.holds(agenda_.now());
    }
    bool silent() const {
        return std::ranges::any_of(plan_.silent, [&](const Span& span) { return span.holds(agenda_.now()); });
    }

    // Calls `arrives` for every copy of a datagram that is delivered.
    void send(int index, const std::function<void()>& arrives) {
        if (cut(index)) return;
        const int copies = draw() < plan_.doubling ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (draw() < plan_.loss) continue;
            const double jitter =
                std::min(8.0, exponential(1)) * static_cast<double>(plan_.jitter.count()) / 8;
            agenda_.at(agenda_.now() + plan_.delay + microseconds(static_cast<std::int64_t>(jitter)),
                       arrives);
        }
    }

    void request(std::size_t tenant, int index) {
        Gateway& here = gateway(index);
        ++result_.tenants[tenant].asked;
        const bool reachable = here.breaker.allows(agenda_.now());
        const int sharing = defect_ == InjectedDefect::whole_bucket ? 1 : plan_.gateways;
        const Decision decision =
            here.admission.request(agenda_.now(), tenant, plan_.tenants[tenant].quota, sharing, reachable);
        const bool waits = decision.result == Admitted::pending;
        if (!waits) conclude(tenant, decision);
        if (!decision.statement) return;
        if (decision.wants_answer) call(index, *decision.statement, waits);
        else state(index, *decision.statement, false);
    }

    void conclude(std::size_t tenant, const Decision& decision) {
        TenantResult& result = result_.tenants[tenant];
        if (decision.result == Admitted::passed) result.admitted.push_back(agenda_.now());
        if (decision.result == Admitted::refused) ++result.refused;
    }

    void call(int index, const Statement& statement, bool waits) {
        Gateway& here = gateway(index);
        here.calls[{statement.tenant, statement.sequence}] = {statement.tenant, waits, agenda_.now()};
        const microseconds usual = timeout_round_trips * here.round_trip;
        const bool known = here.round_trip.count() > 0;
        const microseconds wait =
            known ? std::clamp(usual, min_call_timeout, max_call_timeout) : max_call_timeout;
        agenda_.at(agenda_.now() + wait, [this, index, statement] { timed_out(index, statement); });
        state(index, statement, true);
    }

    void state(int index, const Statement& statement, bool answer) {
        send(index, [this, index, statement, answer] {
            if (silent()) return;
            HeldCount held = holder_.state(agenda_.now(), statement);
            if (defect_ == InjectedDefect::never_counted) held.others = 0;
            if (answer) send(index, [this, index, statement, held] { answered(index, statement, held); });
        });
    }

    void answered(int index, const Statement& statement, const HeldCount& held) {
        Gateway& here = gateway(index);
        if (here.incarnation != statement.gateway) return;
        const auto found = here.calls.extract({statement.tenant, statement.sequence});
        if (!found) return;
        const Call& call = found.mapped();
        here.breaker.succeeded();
        const auto took = std::chrono::duration_cast<microseconds>(agenda_.now() - call.sent);
        const bool first = here.round_trip.count() == 0;
        here.round_trip += first ? took : (took - here.round_trip) / round_trip_smoothing;
        const Decision decision =
            here.admission.answered(agenda_.now(), statement.tenant, statement.sequence, held);
        if (decision.statement) state(index, *decision.statement, false);
        if (call.waits) conclude(call.tenant, decision);
    }

    void timed_out(int index, const Statement& statement) {
        Gateway& here = gateway(index);
        if (here.incarnation != statement.gateway) return;
        const auto found = here.calls.extract({statement.tenant, statement.sequence});
        if (!found) return;
        here.breaker.failed(agenda_.now());
        const Decision decision =
            here.admission.unanswered(agenda_.now(), statement.tenant, statement.sequence);
        if (found.mapped().waits) conclude(found.mapped().tenant, decision);
    }

    const Plan& plan_;
    std::mt19937_64 random_;
    InjectedDefect defect_;
    Agenda agenda_;
    CountHolder holder_;
    std::vector<Gateway> gateways_;
    std::vector<std::discrete_distribution<>> weights_;
    GatewayIncarnation incarnations_ = 0;
    ScheduleResult result_;
};

}  // namespace

ScheduleResult play(const Plan& plan, std::uint64_t seed, InjectedDefect defect) {
    return Schedule(plan, seed, defect).run();
}

std::size_t most_in_a_span(const std::vector<TimePoint>& admitted) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] > rules.span) ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

double allowed(const Quota& quota) {
    const double span = std::chrono::duration<double>(rules.span).count();
    return (quota.rate_per_s * span + quota.burst) * (1 + rules.overshoot) + rules.slack;
}

}  // namespace dewweir::quota::testing

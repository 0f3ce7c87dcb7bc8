#include "gateway/quota_client.h"

#include <algorithm>
#include <random>

#include "gateway/count_messages.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

// A call's time-out: so many of the holder's usual round trips, within bounds.
constexpr double round_trips_waited = 3;
constexpr runtime::Time shortest_wait = 50 * runtime::tenths_per_millisecond;
constexpr runtime::Time longest_wait = 250 * runtime::tenths_per_millisecond;
constexpr double round_trip_smoothing = 8;
constexpr runtime::Time forget_interval = 10 * runtime::tenths_per_second;

std::uint64_t drawn_life() {
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

runtime::Time tenths_of(quota::Duration duration) {
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count() / 100;
}

}  // namespace

QuotaClient::QuotaClient(runtime::EventLoop& loop, std::string self, const quota::QuotaBound& bound)
    : loop_(loop),
      self_(std::move(self)),
      life_(drawn_life()),
      datagrams_(loop, [this](const asio::ip::udp::endpoint& from,
                              const wire::Message& message) { received(from, message); }),
      admission_(life_, bound) {}

std::optional<std::string> QuotaClient::bind(const asio::ip::udp::endpoint& address) {
    return datagrams_.bind(address);
}

void QuotaClient::members_changed(const std::map<std::string, wire::Member>& members) {
    placement_.update(members, loop_.now());
}

void QuotaClient::request(quota::TenantId tenant, const quota::Quota& quota, Decided decided) {
    if (!quota.limits()) return decided({});
    forget_idle();
    const wire::Member* const holder = placement_.holder_of(tenant);
    const quota::TimePoint now = loop_.steady_now();
    const bool reachable = holder && (holder->node == self_ || holders_[holder->node].breaker.allows(now));
    const quota::Decision decision = admission_.request(now, tenant, quota, placement_.gateways(), reachable);
    if (decision.result != quota::Admitted::pending) conclude(decided, decision);
    if (!decision.statement || !holder) return;
    if (!decision.wants_answer) return tell(*holder, *decision.statement, false);
    const bool waits = decision.result == quota::Admitted::pending;
    state(*holder, *decision.statement, waits ? std::move(decided) : Decided());
}

void QuotaClient::conclude(const Decided& decided, const quota::Decision& decision) const {
    if (!decided) return;
    decided({decision.result == quota::Admitted::passed, tenths_of(decision.retry_after)});
}

void QuotaClient::state(const wire::Member& holder, const quota::Statement& statement, Decided decided) {
    Call call{statement.tenant, holder.node, std::move(decided), loop_.now(), {}};
    if (holder.node == self_) {
        const quota::HeldCount held = held_.state(loop_.steady_now(), statement);
        calls_[{statement.tenant, statement.sequence}] = std::move(call);
        return answered(statement.sequence, statement.tenant, held);
    }
    call.deadline = loop_.deadlines().after(
        limit_of(holders_[holder.node]),
        [this, sequence = statement.sequence, tenant = statement.tenant] { timed_out(sequence, tenant); });
    calls_[{statement.tenant, statement.sequence}] = std::move(call);
    tell(holder, statement, true);
}

void QuotaClient::tell(const wire::Member& holder, const quota::Statement& statement, bool answer) {
    if (holder.node == self_) {
        held_.state(loop_.steady_now(), statement);
        return;
    }
    const auto endpoint = settings::parse_endpoint(holder.internal);
    if (endpoint) datagrams_.send(transport::udp_endpoint(*endpoint), to_wire(statement, answer));
}

runtime::Time QuotaClient::limit_of(const Holder& holder) const {
    if (holder.round_trip <= 0) return longest_wait;
    return std::clamp(static_cast<runtime::Time>(round_trips_waited * holder.round_trip), shortest_wait,
                      longest_wait);
}

void QuotaClient::received(const asio::ip::udp::endpoint& from, const wire::Message& message) {
    if (const auto* const statement = std::get_if<wire::CountStatement>(&message)) {
        const StatementResult read = from_wire(*statement);
        const auto* const stated = std::get_if<quota::Statement>(&read);
        if (!stated) return;  // as if it had been lost
        const quota::HeldCount held = held_.state(loop_.steady_now(), *stated);
        if (!statement->answer) return;
        datagrams_.send(from, to_wire(*stated, held));
        return;
    }
    const auto* const answer = std::get_if<wire::CountAnswer>(&message);
    if (!answer || fault_of(*answer)) return;
    if (answer->gateway == life_) answered(answer->sequence, answer->tenant, from_wire(*answer));
}

void QuotaClient::answered(std::uint64_t sequence, quota::TenantId tenant, const quota::HeldCount& held) {
    const auto found = calls_.extract({tenant, sequence});
    if (!found) return;  // too late: the bucket has decided
    Call& call = found.mapped();
    loop_.deadlines().cancel(call.deadline);
    if (call.holder != self_) {
        answered_at_ = loop_.now();
        Holder& holder = holders_[call.holder];
        if (holder.breaker.state() == quota::Breaker::State::probing) {
            logging::log(logging::Level::info, logging::Event::breaker_closed,
                         {{"holder", std::string_view(call.holder)}});
        }
        holder.breaker.succeeded();
        const auto took = static_cast<double>(std::max<runtime::Time>(1, loop_.now() - call.sent));
        holder.round_trip +=
            holder.round_trip <= 0 ? took : (took - holder.round_trip) / round_trip_smoothing;
    }
    const quota::Decision decision = admission_.answered(loop_.steady_now(), tenant, sequence, held);
    const wire::Member* const holder = placement_.holder_of(tenant);
    if (decision.statement && holder) tell(*holder, *decision.statement, false);
    conclude(call.decided, decision);
}

void QuotaClient::timed_out(std::uint64_t sequence, quota::TenantId tenant) {
    const auto found = calls_.extract({tenant, sequence});
    if (!found) return;
    const Call& call = found.mapped();
    quota::Breaker& breaker = holders_[call.holder].breaker;
    const bool was_open = breaker.state() != quota::Breaker::State::closed;
    breaker.failed(loop_.steady_now());
    if (!was_open && breaker.state() == quota::Breaker::State::open) {
        logging::log(logging::Level::warning, logging::Event::breaker_opened,
                     {{"holder", std::string_view(call.holder)}});
    }
    conclude(call.decided, admission_.unanswered(loop_.steady_now(), tenant, sequence));
}

void QuotaClient::forget_idle() {
    if (loop_.now() - forgot_at_ < forget_interval) return;
    forgot_at_ = loop_.now();
    held_.forget_idle(loop_.steady_now());
    admission_.forget_idle(loop_.steady_now());
}

}  // namespace dewweir::gateway

#include "gateway/quota_client.h"

#include <algorithm>
#include <random>

#include "gateway/count_messages.h"
#include "logging/log.h"
#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

// Time-out of a call: a multiple of the average round trip to the holder, clamped to the two bounds.
constexpr double timeout_round_trips = 3;
constexpr runtime::Time min_call_timeout = 50 * runtime::tenths_per_millisecond;
constexpr runtime::Time max_call_timeout = 250 * runtime::tenths_per_millisecond;
// Each round trip moves the exponentially weighted moving average by its difference divided by this.
constexpr double round_trip_smoothing_divisor = 8;
// How often idle tenants are removed from the counts.
constexpr runtime::Time idle_removal_interval = 10 * runtime::tenths_per_second;

std::uint64_t random_incarnation() {
    std::random_device device;
    return static_cast<std::uint64_t>(device()) << 32 | device();
}

runtime::Time to_runtime_time(quota::Duration duration) {
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count() / 100;
}

}  // namespace

QuotaClient::QuotaClient(runtime::EventLoop& loop, std::string self, const quota::QuotaBound& bound)
    : loop_(loop),
      self_(std::move(self)),
      incarnation_(random_incarnation()),
      datagrams_(loop, [this](const asio::ip::udp::endpoint& from,
                              const wire::Message& message) { received(from, message); }),
      admission_(incarnation_, bound) {}

std::optional<std::string> QuotaClient::bind(const asio::ip::udp::endpoint& address) {
    return datagrams_.bind(address);
}

void QuotaClient::members_changed(const std::map<std::string, wire::Member>& members) {
    placement_.update(members, loop_.now());
}

void QuotaClient::check(quota::TenantId tenant, const quota::Quota& quota, ResultCallback on_result) {
    if (!quota.limits()) return on_result({});
    remove_idle();
    const wire::Member* const holder = placement_.holder_of(tenant);
    const quota::TimePoint now = loop_.steady_now();
    const bool reachable = holder && (holder->node == self_ || holders_[holder->node].breaker.allows(now));
    const quota::Decision decision = admission_.request(now, tenant, quota, placement_.gateways(), reachable);
    if (decision.result != quota::Admitted::pending) deliver(on_result, decision);
    if (!decision.statement || !holder) return;
    if (!decision.wants_answer) return send_statement(*holder, *decision.statement, false);
    const bool request_waits = decision.result == quota::Admitted::pending;
    ask_holder(*holder, *decision.statement, request_waits ? std::move(on_result) : ResultCallback());
}

void QuotaClient::deliver(const ResultCallback& on_result, const quota::Decision& decision) const {
    if (!on_result) return;
    on_result({decision.result == quota::Admitted::passed, to_runtime_time(decision.retry_after)});
}

void QuotaClient::ask_holder(const wire::Member& holder, const quota::Statement& statement,
                             ResultCallback on_result) {
    Call call{statement.tenant, holder.node, std::move(on_result), loop_.now(), {}};
    if (holder.node == self_) {
        const quota::HeldCount held = held_.state(loop_.steady_now(), statement);
        calls_[{statement.tenant, statement.sequence}] = std::move(call);
        return answer_received(statement.sequence, statement.tenant, held);
    }
    call.deadline = loop_.deadlines().after(call_timeout(holders_[holder.node]),
                                            [this, sequence = statement.sequence, tenant = statement.tenant] {
                                                call_timed_out(sequence, tenant);
                                            });
    calls_[{statement.tenant, statement.sequence}] = std::move(call);
    send_statement(holder, statement, true);
}

void QuotaClient::send_statement(const wire::Member& holder, const quota::Statement& statement,
                                 bool wants_answer) {
    if (holder.node == self_) {
        held_.state(loop_.steady_now(), statement);
        return;
    }
    const auto endpoint = settings::parse_endpoint(holder.internal);
    if (endpoint) datagrams_.send(transport::udp_endpoint(*endpoint), to_wire(statement, wants_answer));
}

runtime::Time QuotaClient::call_timeout(const Holder& holder) const {
    if (holder.round_trip <= 0) return max_call_timeout;
    return std::clamp(static_cast<runtime::Time>(timeout_round_trips * holder.round_trip), min_call_timeout,
                      max_call_timeout);
}

void QuotaClient::received(const asio::ip::udp::endpoint& from, const wire::Message& message) {
    if (const auto* const statement = std::get_if<wire::CountStatement>(&message)) {
        const StatementResult parsed = from_wire(*statement);
        const auto* const stated = std::get_if<quota::Statement>(&parsed);
        if (!stated) return;  // an invalid statement is treated as lost
        const quota::HeldCount held = held_.state(loop_.steady_now(), *stated);
        if (!statement->answer) return;
        datagrams_.send(from, to_wire(*stated, held));
        return;
    }
    const auto* const answer = std::get_if<wire::CountAnswer>(&message);
    if (!answer || validate(*answer)) return;
    if (answer->gateway == incarnation_)
        answer_received(answer->sequence, answer->tenant, from_wire(*answer));
}

void QuotaClient::answer_received(std::uint64_t sequence, quota::TenantId tenant,
                                  const quota::HeldCount& held) {
    const auto found = calls_.extract({tenant, sequence});
    if (!found) return;  // the call has timed out, and the local bucket has decided
    Call& call = found.mapped();
    loop_.deadlines().cancel(call.deadline);
    if (call.holder != self_) {
        last_answer_at_ = loop_.now();
        Holder& holder = holders_[call.holder];
        if (holder.breaker.state() == quota::Breaker::State::probing) {
            logging::log(logging::Level::info, logging::Event::breaker_closed,
                         {{"holder", std::string_view(call.holder)}});
        }
        holder.breaker.succeeded();
        const auto round_trip = static_cast<double>(std::max<runtime::Time>(1, loop_.now() - call.sent_at));
        holder.round_trip += holder.round_trip <= 0
                                 ? round_trip
                                 : (round_trip - holder.round_trip) / round_trip_smoothing_divisor;
    }
    const quota::Decision decision = admission_.answered(loop_.steady_now(), tenant, sequence, held);
    const wire::Member* const holder = placement_.holder_of(tenant);
    if (decision.statement && holder) send_statement(*holder, *decision.statement, false);
    deliver(call.on_result, decision);
}

void QuotaClient::call_timed_out(std::uint64_t sequence, quota::TenantId tenant) {
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
    deliver(call.on_result, admission_.unanswered(loop_.steady_now(), tenant, sequence));
}

void QuotaClient::remove_idle() {
    if (loop_.now() - idle_removed_at_ < idle_removal_interval) return;
    idle_removed_at_ = loop_.now();
    held_.drop_idle(loop_.steady_now());
    admission_.drop_idle(loop_.steady_now());
}

}  // namespace dewweir::gateway

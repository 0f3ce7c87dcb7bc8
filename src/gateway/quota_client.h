// Checks requests of tenants with a quota. States this gateway's counts to the gateways that hold the
// tenants' counts by datagrams, answers the statements of other gateways from the counts held here, and owns
// the time-outs and circuit breakers of these calls. The decisions are taken by the quota package.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "gateway/placement.h"
#include "quota/admission.h"
#include "quota/breaker.h"
#include "transport/datagrams.h"

namespace dewweir::gateway {

struct QuotaResult {
    bool admitted = true;
    runtime::Time retry_after = 0;  // for a rejected request: when it may be admitted
};

class QuotaClient {
  public:
    using ResultCallback = std::function<void(const QuotaResult&)>;

    // `self`: node name of this gateway.
    QuotaClient(runtime::EventLoop& loop, std::string self, const quota::QuotaBound& bound);

    // Returns the reason if the address cannot be bound.
    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    void members_changed(const std::map<std::string, wire::Member>& members);
    // Checks one request. `on_result` is called exactly once, from within this call or later.
    void check(quota::TenantId tenant, const quota::Quota& quota, ResultCallback on_result);

    // Whether another gateway has answered a call within its time-out since the given time.
    bool answered_since(runtime::Time moment) const { return last_answer_at_ && *last_answer_at_ >= moment; }

    // Returns the quota of an admitted request that has not been executed and never will be.
    void give_back(quota::TenantId tenant) { admission_.give_back(loop_.steady_now(), tenant); }

  private:
    // A statement whose answer is awaited.
    struct Call {
        quota::TenantId tenant = 0;
        std::string holder;        // node name
        ResultCallback on_result;  // empty: the request was admitted before the answer
        runtime::Time sent_at = 0;
        net::Deadlines::Key deadline{};
    };
    // State of the calls to one gateway.
    struct Holder {
        quota::Breaker breaker;
        double round_trip = 0;  // moving average in tenths of a millisecond; 0: not known yet
    };

    void received(const asio::ip::udp::endpoint& from, const wire::Message& message);
    void ask_holder(const wire::Member& holder, const quota::Statement& statement, ResultCallback on_result);
    void send_statement(const wire::Member& holder, const quota::Statement& statement, bool wants_answer);
    void answer_received(std::uint64_t sequence, quota::TenantId tenant, const quota::HeldCount& held);
    void call_timed_out(std::uint64_t sequence, quota::TenantId tenant);
    void deliver(const ResultCallback& on_result, const quota::Decision& decision) const;
    runtime::Time call_timeout(const Holder& holder) const;
    void remove_idle();

    runtime::EventLoop& loop_;
    std::string self_;
    quota::GatewayIncarnation incarnation_;
    transport::Datagrams datagrams_;
    quota::CountHolder held_;  // counts that this gateway holds for all
    quota::Admission admission_;
    Placement placement_;
    std::map<std::string, Holder> holders_;                            // by node name
    std::map<std::pair<quota::TenantId, std::uint64_t>, Call> calls_;  // by tenant and sequence number
    std::optional<runtime::Time> last_answer_at_;                      // of another gateway
    runtime::Time idle_removed_at_ = 0;
};

}  // namespace dewweir::gateway

// Brings requests of tenants with a quota before the quota package: states counts to their holders by
// datagrams, answers the statements of others from the counts held here, and minds time-outs and breakers. It
// decides nothing itself.
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

struct QuotaVerdict {
    bool passed = true;
    runtime::Time retry_after = 0;  // of a refused request
};

class QuotaClient {
  public:
    using Decided = std::function<void(const QuotaVerdict&)>;

    QuotaClient(runtime::EventLoop& loop, std::string self, const quota::QuotaBound& bound);

    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    void members_changed(const std::map<std::string, wire::Member>& members);
    // `decided` is called once, at once or later.
    void request(quota::TenantId tenant, const quota::Quota& quota, Decided decided);

    // Whether another gateway has answered in time since this moment.
    bool answered_since(runtime::Time moment) const { return answered_at_ && *answered_at_ >= moment; }

    // A request that had passed has not run and never will.
    void give_back(quota::TenantId tenant) { admission_.give_back(loop_.steady_now(), tenant); }

  private:
    struct Call {
        quota::TenantId tenant = 0;
        std::string holder;
        Decided decided;  // empty: the request has passed ahead of the answer
        runtime::Time sent = 0;
        net::Deadlines::Key deadline{};
    };
    struct Holder {
        quota::Breaker breaker;
        double round_trip = 0;  // smoothed, tenths of a millisecond; 0: not known
    };

    void received(const asio::ip::udp::endpoint& from, const wire::Message& message);
    void state(const wire::Member& holder, const quota::Statement& statement, Decided decided);
    void tell(const wire::Member& holder, const quota::Statement& statement, bool answer);
    void answered(std::uint64_t sequence, quota::TenantId tenant, const quota::HeldCount& held);
    void timed_out(std::uint64_t sequence, quota::TenantId tenant);
    void conclude(const Decided& decided, const quota::Decision& decision) const;
    runtime::Time limit_of(const Holder& holder) const;
    void forget_idle();

    runtime::EventLoop& loop_;
    std::string self_;
    quota::GatewayIncarnation life_;
    transport::Datagrams datagrams_;
    quota::CountHolder held_;
    quota::Admission admission_;
    Placement placement_;
    std::map<std::string, Holder> holders_;                            // by node
    std::map<std::pair<quota::TenantId, std::uint64_t>, Call> calls_;  // by tenant and sequence
    std::optional<runtime::Time> answered_at_;                         // by another gateway
    runtime::Time forgot_at_ = 0;
};

}  // namespace dewweir::gateway

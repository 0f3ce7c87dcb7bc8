// Whether a tenant's request may pass here: the two-window check against the count of all gateways, with a
// local token bucket of this gateway's part of the quota while the count's holder cannot be asked. Pure: what
// is to be stated to the holder is handed out, answers and time-outs are handed in.
//
// Bound. Let L be the quota's limit in one window and n the number of gateways. While the holder answers, a
// request passes when own + others <= L by an answer that counts it, or ahead of the answer while this
// gateway's unanswered ones are at most (L - own - others) / n, so that all gateways together pass no more
// than what an answer leaves. While it does not answer, each gateway passes at most its bucket's tokens and
// rate / n. docs/limits-over-all-gateways.md derives the sum.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>

#include "quota/count_holder.h"
#include "quota/window_check.h"

namespace dewweir::quota {

enum class Admitted : std::uint8_t {
    passed,
    refused,  // beyond the quota by all that is known
    asked,    // the statement is to be sent; `answered` or `unanswered` decides
};

struct Decision {
    Admitted result = Admitted::passed;
    Duration retry_after{};                // of a refused one: when it may pass, by what is known
    std::optional<Statement> statement{};  // to be sent to the holder
    bool wants_answer = false;  // of the statement; one that is only told has none, and no time-out
};

class Admission {
  public:
    Admission(GatewayIncarnation self, const QuotaBound& bound) : self_(self), bound_(bound) {}

    // `holder_reachable`: calls to the tenant's holder are worth making now. `gateways`: how many share the
    // quota.
    Decision request(TimePoint now, TenantId tenant, const Quota& quota, int gateways, bool holder_reachable);
    // The holder's answer to a statement. Decides on the request that asked, if any did.
    Decision answered(TimePoint now, TenantId tenant, std::uint64_t sequence, const HeldCount& held);
    // No answer came in time: the local bucket decides.
    Decision unanswered(TimePoint now, TenantId tenant, std::uint64_t sequence);

    // A request that had passed has not run and never will.
    void give_back(TimePoint now, TenantId tenant);

    void forget_idle(TimePoint now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct Tenant {
        Quota quota;
        WindowCheck check;
        int gateways = 1;
        SlidingCount own;
        SlidingCount refused;  // by this gateway
        double others = 0;
        std::optional<TimePoint> answered_at;
        std::uint64_t sequence = 0;
        std::deque<std::uint64_t> ahead;  // sequences of requests that passed before their answer
        double tokens = 0;                // of the local bucket
        TimePoint refilled_at{};
        TimePoint used_at{};
    };

    Tenant& tenant_of(TimePoint now, TenantId id, const Quota& quota, int gateways);
    Statement state(TimePoint now, TenantId id, Tenant& tenant) const;
    Decision decide_locally(TimePoint now, Tenant& tenant, bool counted);
    Decision refuse(TimePoint now, Tenant& tenant) const;
    Duration time_until_served(TimePoint now, Tenant& tenant) const;
    void refill(TimePoint now, Tenant& tenant) const;

    GatewayIncarnation self_;
    QuotaBound bound_;
    std::unordered_map<TenantId, Tenant> tenants_;
};

}  // namespace dewweir::quota

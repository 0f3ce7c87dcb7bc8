// Decides whether a tenant's request is admitted here: the sliding window check against the count of all
// gateways, or a local token bucket with this gateway's share of the quota while the holder of the count is
// unreachable. Pure: statements for the holder are handed out, its answers and time-outs are handed in.
//
// Bound. Let L be the quota's limit in one window and n the number of gateways. While the holder answers, a
// request passes when own + others <= L by an answer that counts it, or ahead of the answer while this
// gateway's unanswered requests are at most (L - own - others) / n, so that all gateways together pass no
// more than an answer leaves. While the holder does not answer, each gateway passes at most its bucket's
// tokens and rate / n. docs/limits-over-all-gateways.md derives the sum.
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
    refused,  // over the quota by all that is known
    pending,  // decided by `answered` or `unanswered`, once the statement has been sent
};

struct Decision {
    Admitted result = Admitted::passed;
    // If refused: when the request may pass, as far as is known.
    Duration retry_after{};
    // To be sent to the holder.
    std::optional<Statement> statement{};
    // Whether the holder is to answer the statement; if not, there is no time-out either.
    bool wants_answer = false;
};

class Admission {
  public:
    Admission(GatewayIncarnation self, const QuotaBound& bound) : self_(self), bound_(bound) {}

    // `holder_reachable`: whether a call to the tenant's holder is worth making now. `gateways`: how many
    // gateways share the quota.
    Decision request(TimePoint now, TenantId tenant, const Quota& quota, int gateways, bool holder_reachable);
    // The holder's answer to a statement. Decides the request of that statement, if it is pending.
    Decision answered(TimePoint now, TenantId tenant, std::uint64_t sequence, const HeldCount& held);
    // No answer came in time: the local bucket decides.
    Decision unanswered(TimePoint now, TenantId tenant, std::uint64_t sequence);

    // A request that passed was not executed and never will be.
    void give_back(TimePoint now, TenantId tenant);

    // Drops tenants without a request for 30 s.
    void drop_idle(TimePoint now);
    std::size_t tenants() const { return tenants_.size(); }

  private:
    struct Tenant {
        Quota quota;
        WindowCheck check;
        int gateways = 1;
        // Requests admitted and refused by this gateway.
        SlidingCount own;
        SlidingCount refused;
        // Requests of the other gateways, by the last answer.
        double others = 0;
        std::optional<TimePoint> answered_at;
        // Sequence numbers of the requests that passed before their answer.
        std::deque<std::uint64_t> ahead;
        // In the local bucket.
        double tokens = 0;
        TimePoint refilled_at{};
        TimePoint used_at{};
    };

    Tenant& tenant_of(TimePoint now, TenantId id, const Quota& quota, int gateways);
    Statement make_statement(TimePoint now, TenantId id, Tenant& tenant);
    Decision decide_locally(TimePoint now, Tenant& tenant, bool counted);
    Decision refuse(TimePoint now, Tenant& tenant) const;
    Duration time_until_admitted(TimePoint now, Tenant& tenant) const;
    void refill(TimePoint now, Tenant& tenant) const;

    GatewayIncarnation self_;
    QuotaBound bound_;
    std::unordered_map<TenantId, Tenant> tenants_;
    // Of the last statement of any tenant. Never starts again: holders keep the last one of each tenant that
    // this gateway has dropped.
    std::uint64_t sequence_ = 0;
};

}  // namespace dewweir::quota

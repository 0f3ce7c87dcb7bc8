#include "explain/bounds.h"

#include <algorithm>
#include <cstdio>

#include "distribution/intervals.h"
#include "gateway/cold_budget.h"
#include "gateway/control_session.h"
#include "gateway/identity.h"
#include "quota/window_check.h"

namespace dewweir::explain {
namespace {

using Seconds = std::chrono::duration<double>;

// Formats one line. Callers keep it below 256 characters: names, which have no limit, are put before it.
template <class... Values> std::string format_line(const char* format, Values... values) {
    char text[256];
    std::snprintf(text, sizeof text, format, values...);
    return std::string(text) + "\n";
}

// Fills the name up with spaces; a longer name is not truncated.
std::string padded(const std::string& name, std::size_t width) {
    return name + std::string(width - std::min(width, name.size()), ' ');
}

// Width of a column that fits all names of the list, at least `width`.
template <class Named> std::size_t name_column_width(const std::vector<Named>& list, std::size_t width) {
    for (const Named& named : list) width = std::max(width, named.name.size());
    return width;
}

// Token bucket that one gateway holds locally for a tenant's quota.
struct LocalBucket {
    double capacity = 0;      // requests, at least 1
    double refill_per_s = 0;  // this gateway's share of the tenant's rate, in requests a second
};

LocalBucket local_bucket(const quota::Quota& quota, const quota::WindowCheck& check, int gateways) {
    return {std::max(1.0, check.limit / gateways), quota.rate_per_s / gateways};
}

std::string tenant_line(const configuration::Tenant& tenant, const quota::QuotaBound& bound, int gateways) {
    if (!tenant.has_quota()) return "  no limit\n";
    const quota::Quota quota{tenant.rate_per_s, tenant.burst};
    const quota::WindowCheck check = quota::check_for(quota, bound);
    const LocalBucket bucket = local_bucket(quota, check, gateways);
    const double span_s = Seconds(bound.span).count();
    const double window_s = Seconds(check.window).count();
    const double worst_case = (span_s / window_s + 1) * check.limit;
    const double worst_with_one_cut_off = worst_case + bucket.capacity + bucket.refill_per_s * span_s;
    const double allowed = (quota.rate_per_s * span_s + quota.burst) * (1 + bound.overshoot) + bound.slack;
    return format_line("  %8.2f  %9.1f  %8.1f  %8.1f  %8.1f  %8.1f  %8.2f", window_s, check.limit, allowed,
                       worst_case, worst_with_one_cut_off, bucket.capacity, bucket.refill_per_s);
}

std::string tenants_table(const std::vector<configuration::Tenant>& tenants, const quota::QuotaBound& bound,
                          int gateways) {
    const std::size_t width = name_column_width(tenants, std::string("tenant").size());
    const double span_s = Seconds(bound.span).count();
    std::string text = "Quotas over " + std::to_string(gateways) + " gateways, requests in any ";
    text += format_line("%.1f s:", span_s);
    text +=
        padded("tenant", width) + "  window s  in window  the rule     worst   one cut    bucket  bucket/s\n";
    for (const configuration::Tenant& tenant : tenants) {
        text += padded(tenant.name, width) + tenant_line(tenant, bound, gateways);
    }
    return text;
}

std::string service_line(const configuration::Service& service, const gateway::ColdBound& bound) {
    if (!service.cold_per_s) return "  not told: as if 0\n";
    const gateway::ColdRate rate = gateway::owner_rate(*service.cold_per_s, bound);
    const double allowed = *service.cold_per_s * bound.overshoot + bound.slack;
    const double one_owner = rate.per_s + rate.burst;
    return format_line("  %8.2f  %8.2f  %9.2f  %10.2f", allowed, rate.per_s, one_owner, 2 * one_owner);
}

std::string services_table(const std::vector<configuration::Service>& services,
                           const gateway::ColdBound& bound) {
    const std::size_t width = name_column_width(services, std::string("service").size());
    std::string text = "Cold hosts, requests to each in any second:\n";
    text += padded("service", width) + "  the rule  owner /s  one owner  two owners\n";
    for (const configuration::Service& service : services) {
        text += padded(service.name, width) + service_line(service, bound);
    }
    return text;
}

// Retries in one window: what the retry budget's bucket holds at its begin, plus what the requests within it
// add. docs/system.md derives the figures.
std::string retries_table(const settings::Bounds& bounds, const gateway::RetryBound& bound, int gateways) {
    const gateway::RetryBucketLimits share =
        gateway::retry_bucket_limits(bound, static_cast<std::size_t>(gateways));
    std::string text =
        "Further attempts to one service, over " + std::to_string(gateways) + " gateways, in any ";
    text += format_line("%.1f s:", Seconds(bounds.retry_window).count());
    const auto row = [](const std::string& name, double ratio, double constant) {
        constexpr std::size_t width = 40;
        return padded("  " + name, width) + format_line("%5.2f x requests + %8.1f", ratio, constant);
    };
    text += row("the rule", bound.ratio, bound.slack);
    text += row("worst", share.tokens_per_request, share.capacity * gateways);
    text += row("one gateway", share.tokens_per_request, share.capacity);
    return text;
}

double milliseconds_of(runtime::Time time) {
    return static_cast<double>(time) / runtime::tenths_per_millisecond;
}

// Time from an acknowledged change until a gateway applies it. docs/control-safety.md derives the figures.
std::string freshness_table(const settings::Settings& settings) {
    const distribution::SearchIntervals intervals = gateway::search_intervals(settings);
    const unsigned unresponsive = settings.invariants.fault_budget.machines + 1;
    const auto allowed = static_cast<double>(settings.invariants.bounds.config_apply.count());
    std::string text = "From an acknowledged change to a gateway, ms:\n";
    const auto row = [](const std::string& name, double value) {
        constexpr std::size_t width = 54;
        return padded("  " + name, width) + format_line("%8.0f", value);
    };
    text += row("the rule (config_apply)", allowed);
    text += row("worst case with " + std::to_string(unresponsive) + " control planes silent",
                milliseconds_of(intervals.max_propagation));
    text += row("a control plane whose proof is older is left", milliseconds_of(intervals.max_staleness));
    text +=
        row("with an older proof nobody is given the whole view", milliseconds_of(intervals.max_staleness));
    text += row("a read (GET /v1/config) lacks what is older than", 0.0);
    return text;
}

}  // namespace

std::string explain_bounds(const settings::Settings& settings,
                           const configuration::Configuration& configuration, int gateways) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    const gateway::ColdBound cold_bound{bounds.cold_overshoot, bounds.cold_slack};
    const int sharing_gateways = std::max(1, gateways);
    return tenants_table(configuration.tenants, gateway::quota_bound(settings), sharing_gateways) + "\n" +
           services_table(configuration.services, cold_bound) + "\n" +
           retries_table(bounds, gateway::retry_bound(settings), sharing_gateways) + "\n" +
           freshness_table(settings);
}

}  // namespace dewweir::explain

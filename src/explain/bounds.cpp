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

// Columns are as wide as their heads; names stand first and are not cut.
template <class... Values> std::string line(const char* format, Values... values) {
    char text[256];
    std::snprintf(text, sizeof text, format, values...);
    return std::string(text) + "\n";
}

std::string padded(const std::string& name, std::size_t width) {
    return name + std::string(width - std::min(width, name.size()), ' ');
}

template <class Named> std::size_t width_of(const std::vector<Named>& list, std::size_t least) {
    for (const Named& named : list) least = std::max(least, named.name.size());
    return least;
}

// One gateway's local bucket: a request at least, and what its part of the rate brings within the span.
struct GatewayPart {
    double bucket = 0;
    double per_s = 0;
};

GatewayPart part_of(const quota::Quota& quota, const quota::WindowCheck& check, int gateways) {
    return {std::max(1.0, check.limit / gateways), quota.rate_per_s / gateways};
}

std::string tenant_line(const configuration::Tenant& tenant, const quota::QuotaBound& bound, int gateways) {
    if (!tenant.has_quota()) return "  no limit\n";
    const quota::Quota quota{tenant.rate_per_s, tenant.burst};
    const quota::WindowCheck check = quota::check_for(quota, bound);
    const GatewayPart part = part_of(quota, check, gateways);
    const double span = Seconds(bound.span).count();
    const double window = Seconds(check.window).count();
    const double worst = (span / window + 1) * check.limit;
    const double with_one_cut = worst + part.bucket + part.per_s * span;
    const double rule = (quota.rate_per_s * span + quota.burst) * (1 + bound.overshoot) + bound.slack;
    return line("  %8.2f  %9.1f  %8.1f  %8.1f  %8.1f  %8.1f  %8.2f", window, check.limit, rule, worst,
                with_one_cut, part.bucket, part.per_s);
}

std::string tenants_table(const std::vector<configuration::Tenant>& tenants, const quota::QuotaBound& bound,
                          int gateways) {
    const std::size_t width = width_of(tenants, std::string("tenant").size());
    const double span = Seconds(bound.span).count();
    std::string text = "Quotas over " + std::to_string(gateways) + " gateways, requests in any ";
    text += line("%.1f s:", span);
    text +=
        padded("tenant", width) + "  window s  in window  the rule     worst   one cut    bucket  bucket/s\n";
    for (const configuration::Tenant& tenant : tenants) {
        text += padded(tenant.name, width) + tenant_line(tenant, bound, gateways);
    }
    return text;
}

std::string service_line(const configuration::Service& service, const gateway::ColdBound& bound) {
    if (!service.cold_per_s) return "  not told: as if 0\n";
    const gateway::ColdRate owner = gateway::owner_rate(*service.cold_per_s, bound);
    const double rule = *service.cold_per_s * bound.overshoot + bound.slack;
    const double one = owner.per_s + owner.burst;
    return line("  %8.2f  %8.2f  %9.2f  %10.2f", rule, owner.per_s, one, 2 * one);
}

std::string services_table(const std::vector<configuration::Service>& services,
                           const gateway::ColdBound& bound) {
    const std::size_t width = width_of(services, std::string("service").size());
    std::string text = "Cold hosts, requests to each in any second:\n";
    text += padded("service", width) + "  the rule  owner /s  one owner  two owners\n";
    for (const configuration::Service& service : services) {
        text += padded(service.name, width) + service_line(service, bound);
    }
    return text;
}

// docs/system.md derives it: what a bucket holds at a window's begin, and what requests bring within it.
std::string retries_table(const settings::Bounds& bounds, const gateway::RetryBound& bound, int gateways) {
    const gateway::RetryBucketLimits share =
        gateway::retry_bucket_limits(bound, static_cast<std::size_t>(gateways));
    std::string text =
        "Further attempts to one service, over " + std::to_string(gateways) + " gateways, in any ";
    text += line("%.1f s:", Seconds(bounds.retry_window).count());
    const auto row = [](const std::string& name, double ratio, double beyond) {
        constexpr std::size_t width = 40;
        return padded("  " + name, width) + line("%5.2f x requests + %8.1f", ratio, beyond);
    };
    text += row("the rule", bound.ratio, bound.slack);
    text += row("worst", share.tokens_per_request, share.capacity * gateways);
    text += row("one gateway", share.tokens_per_request, share.capacity);
    return text;
}

double milliseconds_of(runtime::Time time) {
    return static_cast<double>(time) / runtime::tenths_per_millisecond;
}

// docs/control-safety.md derives these.
std::string freshness_table(const settings::Settings& settings) {
    const distribution::SearchIntervals intervals = gateway::search_intervals(settings);
    const unsigned silent = settings.invariants.fault_budget.machines + 1;
    const auto rule = static_cast<double>(settings.invariants.bounds.config_apply.count());
    std::string text = "From an acknowledged change to a gateway, ms:\n";
    const auto row = [](const std::string& name, double value) {
        constexpr std::size_t width = 54;
        return padded("  " + name, width) + line("%8.0f", value);
    };
    text += row("the rule (config_apply)", rule);
    text += row("worst case with " + std::to_string(silent) + " control planes silent",
                milliseconds_of(intervals.worst_case));
    text += row("a control plane whose proof is older is left", milliseconds_of(intervals.freshness_limit));
    text +=
        row("with an older proof nobody is given the whole view", milliseconds_of(intervals.freshness_limit));
    text += row("a read (GET /v1/config) lacks what is older than", 0.0);
    return text;
}

}  // namespace

std::string explain_bounds(const settings::Settings& settings,
                           const configuration::Configuration& configuration, int gateways) {
    const settings::Bounds& bounds = settings.invariants.bounds;
    const gateway::ColdBound cold_bound{bounds.cold_overshoot, bounds.cold_slack};
    const int sharing = std::max(1, gateways);
    return tenants_table(configuration.tenants, gateway::quota_bound(settings), sharing) + "\n" +
           services_table(configuration.services, cold_bound) + "\n" +
           retries_table(bounds, gateway::retry_bound(settings), sharing) + "\n" + freshness_table(settings);
}

}  // namespace dewweir::explain

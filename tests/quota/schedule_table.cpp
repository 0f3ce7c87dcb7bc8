#include "quota/schedule_table.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace dewweir::quota::testing {

double derived_bound(const Plan& plan, const Quota& quota) {
    const double limit = check_for(quota, rules).limit;
    const double span = std::chrono::duration<double>(rules.span).count();
    const double bucket = std::max(1.0, limit / plan.gateways);
    const double cut = static_cast<double>(plan.cut_gateways.size());
    // What the gateways that are cut off admit on their own, and a window's limit when they are connected
    // again.
    double beyond = cut * (bucket + quota.rate_per_s / plan.gateways * span);
    if (cut > 0) beyond += limit;
    // Until all gateways have stated their counts again.
    beyond += limit * static_cast<double>(plan.holder_restarts.size() + plan.silent.size());
    // Buckets that start full matter only where the holder is unreachable.
    const bool unreachable = cut > 0 || !plan.silent.empty();
    if (unreachable) beyond += bucket * static_cast<double>(plan.gateway_restarts.size());
    return std::max(allowed(quota), bound_used * allowed(quota) + beyond);
}

Measured measure(const ScheduleResult& result, std::size_t tenant) {
    const Quota& quota = result.plan.tenants[tenant].quota;
    const auto most = static_cast<double>(most_in_a_span(result.tenants[tenant].admitted));
    return {most / allowed(quota), most / derived_bound(result.plan, quota)};
}

void ScheduleTable::add(const ScheduleResult& result) {
    Row& row = by_kind_[result.plan.kind];
    for (std::size_t tenant = 0; tenant < result.tenants.size(); ++tenant) {
        const Measured measured = measure(result, tenant);
        ++row.tenants;
        if (measured.of_rule > 1) ++row.over_rule;
        if (measured.of_derived > 1) ++row.over_derived;
        row.worst.of_rule = std::max(row.worst.of_rule, measured.of_rule);
        row.worst.of_derived = std::max(row.worst.of_derived, measured.of_derived);
        row.asked += result.tenants[tenant].asked;
        row.admitted += result.tenants[tenant].admitted.size();
    }
}

void ScheduleTable::write(const std::string& path, const std::string& command,
                          std::uint64_t schedules) const {
    std::ofstream file(path);
    file << "{\n \"what\": \"random schedules of quotas over all gateways in virtual time; most in any 5 "
            "s\",\n";
    file << " \"command\": \"" << command << "\",\n";
    file << " \"schedules\": " << schedules << ", \"first_seed\": 0, \"seconds_each\": " << played.count();
    file << ",\n \"rows\": [";
    const char* separator = "\n";
    for (const auto& [kind, row] : by_kind_) {
        file << separator << "  {\"kind\": \"" << name_of(kind) << "\"";
        file << ", \"tenants\": " << row.tenants;
        file << ", \"over_rule\": " << row.over_rule;
        file << ", \"worst_of_rule\": " << row.worst.of_rule;
        file << ", \"over_derived\": " << row.over_derived;
        file << ", \"worst_of_derived\": " << row.worst.of_derived;
        file << ", \"asked\": " << row.asked;
        file << ", \"admitted\": " << row.admitted << "}";
        separator = ",\n";
    }
    file << "\n ]\n}\n";
    file.close();
    if (!file) throw std::runtime_error("cannot write " + path);
}

}  // namespace dewweir::quota::testing

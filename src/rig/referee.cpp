#include "referee.h"

#include <algorithm>

namespace dewweir::rig {

void Referee::broken(Time now, int rule, const std::string& what) { breaks_.push_back({now, rule, what}); }

void Referee::executed(Time now, const std::string& submission, const std::string& host, bool binding,
                       int plan, const std::string& customer, double units) {
    ++executions_;
    Seen& seen = seen_[submission];
    seen.binding = binding;
    if (seen.out > 0) broken(now, 2, submission + " has a second execution out, at " + host);
    if (binding && seen.ran > 0) broken(now, 2, submission + " is binding and comes again, to " + host);
    ++seen.out;
    if (const auto drains = drains_.find(host); drains != drains_.end() && now > drains->second + grace_)
        broken(now, 3, host + " drains and is sent " + submission);
    if (++seen.executions > 1 || plan < 0 || plan >= static_cast<int>(plans_.size())) return;
    // The first execution takes its units from the quota and from the ceiling.
    const Quota& quota = plans_[static_cast<std::size_t>(plan)];
    const auto [at, fresh] = stores_.try_emplace(customer, Store{quota.burst, quota.ceiling_burst, now});
    Store& store = at->second;
    const auto passed = static_cast<double>(now - store.at);
    store.at = now;
    store.level = std::min(quota.burst, store.level + quota.rate * passed);
    store.ceiling = std::min(quota.ceiling_burst, store.ceiling + quota.ceiling_rate * passed);
    if (quota.rate > 0) {
        units_ += units;
        if (store.level >= units) store.level -= units;
        else units_beyond_ += units;
    }
    if (quota.ceiling_rate > 0 && (store.ceiling -= units) < -quota.ceiling_slack)
        broken(now, 5, "customer " + customer + " is past its ceiling");
}

void Referee::execution_over(const std::string& submission, bool ran) {
    const auto seen = seen_.find(submission);
    if (seen == seen_.end() || seen->second.out == 0) return;
    --seen->second.out;
    seen->second.ran += ran;
}

void Referee::draining(Time now, const std::string& host) { drains_.try_emplace(host, now); }

void Referee::fell_over(Time now, const std::string& host) {
    broken(now, 4, host + " was pushed over while cold");
}

void Referee::unanswered(Time now, const std::string& submission) {
    broken(now, 1, submission + " has no final answer within its time");
}

void Referee::answered_twice(Time now, const std::string& submission) {
    broken(now, 1, submission + " has more than one answer");
}

}  // namespace dewweir::rig

#include "gateway/control_plane_search.h"

#include <algorithm>

namespace dewweir::gateway {
namespace {

// Beside the current one.
constexpr std::size_t most_attempts = 4;
// One that answers, but is not in step either, is kept for so long: it may be the first to be in step again.
constexpr runtime::Time patience = 3 * runtime::tenths_per_second;

}  // namespace

ControlPlaneSearch::ControlPlaneSearch(const distribution::SearchIntervals& intervals, std::size_t start)
    : intervals_(intervals), next_(start) {}

bool ControlPlaneSearch::fresh(const Session& session, runtime::Time now) const {
    return session.fresh_at && now - *session.fresh_at < intervals_.max_staleness;
}

bool ControlPlaneSearch::settled(runtime::Time now) const {
    const auto current = sessions_.find(current_);
    return current != sessions_.end() && !in_doubt_ && fresh(current->second, now);
}

bool ControlPlaneSearch::is_in_use(const std::string& address) const {
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [&](const auto& item) { return item.second.address == address; });
}

std::optional<std::string> ControlPlaneSearch::next_address(const std::vector<std::string>& addresses) {
    for (std::size_t tried = 0; tried < addresses.size(); ++tried) {
        const std::string& address = addresses[next_++ % addresses.size()];
        if (!is_in_use(address)) return address;
    }
    return std::nullopt;
}

SearchSession ControlPlaneSearch::freshest_attempt(runtime::Time now) const {
    SearchSession best = 0;
    for (const auto& [id, session] : sessions_) {
        if (id == current_ || !fresh(session, now)) continue;
        if (!best || *session.fresh_at > *sessions_.at(best).fresh_at) best = id;
    }
    return best;
}

void ControlPlaneSearch::give_up_late(runtime::Time now, Step& step) {
    for (const auto& [id, session] : sessions_) {
        const runtime::Time limit = session.answered ? patience : intervals_.attempt_timeout;
        if (id != current_ && now - session.opened_at >= limit) step.close.push_back(id);
    }
}

ControlPlaneSearch::Step ControlPlaneSearch::review(runtime::Time now,
                                                    const std::vector<std::string>& addresses) {
    Step step;
    const bool settled = this->settled(now);
    if (!settled) step.adopt = freshest_attempt(now);
    if (settled || step.adopt) {
        const SearchSession kept = settled ? current_ : step.adopt;
        for (const auto& [id, session] : sessions_) {
            if (id != kept) step.close.push_back(id);
        }
        if (step.adopt) in_doubt_ = false;
        current_ = kept;
    } else {
        give_up_late(now, step);
    }
    for (const SearchSession id : step.close) sessions_.erase(id);
    if (settled || step.adopt) return step;
    const bool due = !last_attempt_at_ || now - *last_attempt_at_ >= intervals_.attempt_interval;
    if (!due || attempts() >= most_attempts) return step;
    step.open = next_address(addresses);
    if (step.open) last_attempt_at_ = now;
    return step;
}

runtime::Time ControlPlaneSearch::next_review(runtime::Time now) const {
    if (!settled(now)) return now + intervals_.attempt_interval;
    return *sessions_.at(current_).fresh_at + intervals_.max_staleness;
}

void ControlPlaneSearch::opened(SearchSession session, const std::string& address, runtime::Time now) {
    sessions_[session] = {address, now};
}

void ControlPlaneSearch::closed(SearchSession session) {
    sessions_.erase(session);
    if (session != current_) return;
    current_ = 0;
    last_attempt_at_.reset();
}

void ControlPlaneSearch::told(SearchSession session, std::optional<runtime::Time> staleness,
                              runtime::Time now) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    found->second.answered = true;
    if (!staleness) return;
    const runtime::Time fresh_at = now - *staleness;
    found->second.fresh_at = std::max(found->second.fresh_at.value_or(fresh_at), fresh_at);
}

}  // namespace dewweir::gateway

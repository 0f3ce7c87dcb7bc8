#include "gateway/control_plane_search.h"

#include <algorithm>

namespace dewweir::gateway {
namespace {

// Sessions besides the current one.
constexpr std::size_t max_candidates = 4;
// How long a candidate that answers but is not in sync is kept: it may be the first one to be in sync again.
constexpr runtime::Time unsynced_candidate_limit = 3 * runtime::tenths_per_second;
// Longest time that an adopted session may take to transfer its view, after any number of failures.
constexpr runtime::Time max_loading_time = 12 * runtime::tenths_per_second;
constexpr runtime::Time max_attempt_timeout = 6 * runtime::tenths_per_second;

}  // namespace

ControlPlaneSearch::ControlPlaneSearch(const distribution::SearchIntervals& intervals, std::size_t start)
    : intervals_(intervals),
      next_index_(start),
      loading_limit_(intervals.max_staleness),
      attempt_timeout_(intervals.attempt_timeout) {}

bool ControlPlaneSearch::in_sync(const Session& session, runtime::Time now) const {
    return session.in_sync_at && now - *session.in_sync_at < intervals_.max_staleness;
}

bool ControlPlaneSearch::loading(const Session& session, runtime::Time now) const {
    return session.adopted_at && !session.proved_since_adopted && now - *session.adopted_at < loading_limit_;
}

bool ControlPlaneSearch::current_in_sync(runtime::Time now) const {
    const auto current = sessions_.find(current_);
    if (current == sessions_.end() || suspected_) return false;
    return in_sync(current->second, now) || loading(current->second, now);
}

// While all of this gateway's messages take long, a candidate's proof is hardly younger than the current one,
// and a change would only transfer the view again.
bool ControlPlaneSearch::much_fresher(const Session& candidate) const {
    const auto current = sessions_.find(current_);
    if (current == sessions_.end() || suspected_ || !current->second.in_sync_at) return true;
    return *candidate.in_sync_at - *current->second.in_sync_at >= intervals_.max_staleness / 2;
}

// A control plane that states to be in sync, but whose proof has been under way for long, is still better
// than one whose proof is much older, and than none.
bool ControlPlaneSearch::adoptable(const Session& candidate, runtime::Time now) const {
    if (!candidate.in_sync_at) return false;
    return (candidate.states_in_sync || in_sync(candidate, now)) && much_fresher(candidate);
}

void ControlPlaneSearch::adopt(SearchSession session, runtime::Time now) {
    const auto left = sessions_.find(current_);
    if (left != sessions_.end() && !left->second.proved_since_adopted)
        loading_limit_ = std::min(2 * loading_limit_, max_loading_time);
    sessions_.at(session).adopted_at = now;
    current_ = session;
    suspected_ = false;
}

bool ControlPlaneSearch::has_session_to(const std::string& address) const {
    return std::any_of(sessions_.begin(), sessions_.end(),
                       [&](const auto& item) { return item.second.address == address; });
}

std::optional<std::string> ControlPlaneSearch::next_address(const std::vector<std::string>& addresses) {
    for (std::size_t tried = 0; tried < addresses.size(); ++tried) {
        const std::string& address = addresses[next_index_++ % addresses.size()];
        if (!has_session_to(address)) return address;
    }
    return std::nullopt;
}

SearchSession ControlPlaneSearch::freshest_candidate(runtime::Time now) const {
    SearchSession best = 0;
    for (const auto& [id, session] : sessions_) {
        if (id == current_ || !adoptable(session, now)) continue;
        if (!best || *session.in_sync_at > *sessions_.at(best).in_sync_at) best = id;
    }
    return best;
}

void ControlPlaneSearch::close_timed_out(runtime::Time now, Actions& actions) {
    for (const auto& [id, session] : sessions_) {
        const runtime::Time limit = session.answered ? unsynced_candidate_limit : attempt_timeout_;
        if (id != current_ && now - session.opened_at >= limit) actions.close.push_back(id);
    }
    for (const SearchSession id : actions.close) attempt_failed(sessions_.at(id), now);
}

// Only an attempt that has used its whole time shows that the time is too short; a refused one does not.
void ControlPlaneSearch::attempt_failed(const Session& session, runtime::Time now) {
    if (session.answered || now - session.opened_at < attempt_timeout_) return;
    if (now - attempt_timeout_raised_at_ < attempt_timeout_) return;  // one of several opened side by side
    attempt_timeout_raised_at_ = now;
    attempt_timeout_ = std::min(attempt_timeout_ * 2, max_attempt_timeout);
}

ControlPlaneSearch::Actions ControlPlaneSearch::review(runtime::Time now,
                                                       const std::vector<std::string>& addresses) {
    Actions actions;
    const bool keep_current = current_in_sync(now);
    if (!keep_current) actions.adopt = freshest_candidate(now);
    if (keep_current || actions.adopt) {
        const SearchSession kept = keep_current ? current_ : actions.adopt;
        for (const auto& [id, session] : sessions_) {
            if (id != kept) actions.close.push_back(id);
        }
        if (actions.adopt) adopt(actions.adopt, now);
    } else {
        close_timed_out(now, actions);
    }
    for (const SearchSession id : actions.close) sessions_.erase(id);
    if (keep_current || actions.adopt) return actions;
    const bool due = !last_candidate_at_ || now - *last_candidate_at_ >= intervals_.attempt_interval;
    if (!due || candidates() >= max_candidates) return actions;
    actions.open = next_address(addresses);
    if (actions.open) last_candidate_at_ = now;
    return actions;
}

runtime::Time ControlPlaneSearch::next_review(runtime::Time now) const {
    if (!current_in_sync(now)) return now + intervals_.attempt_interval;
    const Session& current = sessions_.at(current_);
    const runtime::Time in_sync_until = *current.in_sync_at + intervals_.max_staleness;
    if (!loading(current, now)) return in_sync_until;
    return std::max(in_sync_until, *current.adopted_at + loading_limit_);
}

void ControlPlaneSearch::add_session(SearchSession session, const std::string& address, runtime::Time now) {
    sessions_[session] = {address, now};
}

void ControlPlaneSearch::remove_session(SearchSession session, runtime::Time now) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    if (session != current_) attempt_failed(found->second, now);
    sessions_.erase(found);
    if (session != current_) return;
    current_ = 0;
    last_candidate_at_.reset();
}

void ControlPlaneSearch::report_staleness(SearchSession session, std::optional<runtime::Time> staleness,
                                          std::optional<runtime::Time> asked_at) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end()) return;
    Session& answering = found->second;
    answering.answered = true;
    answering.states_in_sync = staleness && *staleness < intervals_.max_staleness;
    if (answering.adopted_at && asked_at) {
        attempt_timeout_ = intervals_.attempt_timeout;
        answering.proved_since_adopted = true;
        loading_limit_ = intervals_.max_staleness;
    }
    if (!staleness) return;
    const runtime::Time in_sync_at = asked_at.value_or(answering.opened_at) - *staleness;
    answering.in_sync_at = std::max(answering.in_sync_at.value_or(in_sync_at), in_sync_at);
}

bool ControlPlaneSearch::should_probe_again(SearchSession session, runtime::Time now) {
    const auto found = sessions_.find(session);
    if (found == sessions_.end() || session == current_) return false;
    if (now - found->second.probed_at < distribution::heartbeat_interval) return false;
    found->second.probed_at = now;
    return true;
}

}  // namespace dewweir::gateway

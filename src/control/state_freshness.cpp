#include "control/state_freshness.h"

#include <algorithm>

namespace dewweir::control {
namespace {

// Requests that have not been confirmed by the time this many later ones were sent never will be.
constexpr std::size_t max_pending_requests = 32;

}  // namespace

void StateFreshness::request_sent(std::uint64_t token, FreshnessTime now) {
    requests_.push_back({token, now});
    if (requests_.size() > max_pending_requests) requests_.pop_front();
}

void StateFreshness::request_confirmed(std::uint64_t token, std::uint64_t index) {
    for (Request& request : requests_) {
        if (request.token == token) request.index = index;
    }
    update_in_sync_time();
}

void StateFreshness::entries_applied(std::uint64_t index) {
    applied_ = index;
    update_in_sync_time();
}

// The newest confirmed request whose index has been applied gives the latest proof; it and all earlier
// requests can then be dropped.
void StateFreshness::update_in_sync_time() {
    const auto proves = [this](const Request& request) {
        return request.index && *request.index <= applied_;
    };
    const auto newest = std::find_if(requests_.rbegin(), requests_.rend(), proves);
    if (newest == requests_.rend()) return;
    in_sync_at_ = std::max(in_sync_at_.value_or(newest->sent_at), newest->sent_at);
    requests_.erase(requests_.begin(), newest.base());
}

}  // namespace dewweir::control

#include "consensus/write_tracker.h"

#include <algorithm>
#include <utility>

namespace dewweir::consensus {

void WriteTracker::entries_changed(Index from) {
    entries_from_ = std::min(entries_from_.value_or(from), from);
    stable_index_ = std::min(stable_index_, from - 1);
    for (Batch& batch : in_flight_) batch.last_index = std::min(batch.last_index, from - 1);
}

void WriteTracker::log_replaced(Index from) {
    entries_from_ = from;
    stable_index_ = 0;
    for (Batch& batch : in_flight_) batch.last_index = 0;
}

WriteSequence WriteTracker::begin_batch(Index last_index) {
    ++last_sequence_;
    in_flight_.push_back({last_sequence_, last_index});
    hard_state_pending_ = false;
    snapshot_pending_ = false;
    entries_from_.reset();
    return last_sequence_;
}

void WriteTracker::persisted(WriteSequence sequence) {
    while (!in_flight_.empty() && in_flight_.front().sequence <= sequence) {
        stable_index_ = std::max(stable_index_, in_flight_.front().last_index);
        persisted_sequence_ = in_flight_.front().sequence;
        in_flight_.pop_front();
    }
}

void WriteTracker::hold(Envelope envelope) { held_.push_back({covering_sequence(), std::move(envelope)}); }

std::vector<Envelope> WriteTracker::release() {
    std::vector<Envelope> released;
    std::vector<Held> kept;
    for (Held& held : held_) {
        if (is_persisted(held.sequence)) {
            released.push_back(std::move(held.envelope));
        } else {
            kept.push_back(std::move(held));
        }
    }
    held_ = std::move(kept);
    return released;
}

}  // namespace dewweir::consensus

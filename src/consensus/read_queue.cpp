#include "consensus/read_queue.h"

namespace dewweir::consensus {

void ReadQueue::add(const WaitingRead& read, ReadUrgency urgency) {
    unassigned_.push_back(read);
    if (urgency == ReadUrgency::immediate) urgent_ = true;
}

void ReadQueue::assign(HeartbeatRound round, Index commit) {
    for (const WaitingRead& read : unassigned_) waiting_.push_back({round, {read, commit}});
    unassigned_.clear();
    urgent_ = false;
}

std::vector<ConfirmedRead> ReadQueue::confirmed(HeartbeatRound round) {
    std::vector<ConfirmedRead> safe;
    while (!waiting_.empty() && waiting_.front().round <= round) {
        safe.push_back(waiting_.front().read);
        waiting_.pop_front();
    }
    return safe;
}

std::vector<WaitingRead> ReadQueue::clear() {
    std::vector<WaitingRead> reads = unassigned_;
    for (const Assigned& waiting : waiting_) reads.push_back(waiting.read.read);
    unassigned_.clear();
    waiting_.clear();
    urgent_ = false;
    return reads;
}

}  // namespace dewweir::consensus

#include "consensus/read_queue.h"

namespace dewweir::consensus {

void ReadQueue::assign(HeartbeatRound round, Index commit) {
    for (const ReadToken token : unassigned_) waiting_.push_back({round, {token, commit}});
    unassigned_.clear();
}

std::vector<SafeRead> ReadQueue::confirmed(HeartbeatRound round) {
    std::vector<SafeRead> safe;
    while (!waiting_.empty() && waiting_.front().round <= round) {
        safe.push_back(waiting_.front().read);
        waiting_.pop_front();
    }
    return safe;
}

std::vector<ReadToken> ReadQueue::clear() {
    std::vector<ReadToken> tokens = unassigned_;
    for (const Waiting& waiting : waiting_) tokens.push_back(waiting.read.token);
    unassigned_.clear();
    waiting_.clear();
    return tokens;
}

}  // namespace dewweir::consensus

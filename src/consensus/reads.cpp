// Linearizable reads confirmed by a majority (read index, thesis 6.4), for the leader's own callers and for
// followers.
#include "consensus/raft.h"

namespace dewweir::consensus {

std::optional<Refused> Raft::read_index(TimePoint now, ReadToken token) {
    advance_clock(now);
    if (role_ != Role::leader) return refused(RefusalReason::not_leader);
    read_queue_.add({self_.id, token}, ReadUrgency::immediate);
    return std::nullopt;
}

void Raft::read_index_via_leader(TimePoint now, ReadToken token) {
    advance_clock(now);
    if (role_ == Role::leader) {
        read_queue_.add({self_.id, token}, ReadUrgency::next_round);
    } else if (leader_) {
        send(*leader_, ReadIndexRequest{term_, token ^ life_});
    }
}

void Raft::confirm_reads() {
    if (read_queue_.empty()) return;
    auto answered = [this](ReplicaId id) {
        if (id == self_.id) return round_;
        auto found = progress_.find(id);
        return found == progress_.end() ? HeartbeatRound{0} : found->second.acknowledged_round();
    };
    const HeartbeatRound round = majority_index(log_.membership(), answered);
    for (const ConfirmedRead& confirmed : read_queue_.confirmed(round)) {
        const auto& [requester, token] = confirmed.read;
        if (requester == self_.id) {
            safe_reads_.push_back({token, confirmed.index});
            continue;
        }
        const auto found = progress_.find(requester);
        if (found == progress_.end()) continue;
        send(found->second.replica(), ReadIndexResponse{term_, token, confirmed.index});
    }
}

void Raft::fail_reads() {
    for (const WaitingRead& read : read_queue_.clear()) {
        if (read.requester == self_.id) failed_reads_.push_back(read.token);
    }
}

void Raft::on(const Replica& from, const ReadIndexRequest& request) {
    if (!progress_of(from, request.term)) return;
    read_queue_.add({from.id, request.token}, ReadUrgency::next_round);
}

// The index stays valid for the read even if the sender is no longer the leader: everything acknowledged
// before the request was at or below it. The owner's tokens are unique within one life of the process alone:
// a late response to an earlier life yields a token that the owner does not know.
void Raft::on(const Replica&, const ReadIndexResponse& response) {
    safe_reads_.push_back({response.token ^ life_, response.index});
}

}  // namespace dewweir::consensus

// Unit tests of one replica: which messages it sends before and after its writes are synced, votes, commits
// and reads.
#include "consensus/raft.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace dewweir::consensus::testing {
namespace {

const Replica self{1, "10.0.0.1:7000"};
const Replica second{2, "10.0.0.2:7000"};
const Replica third{3, "10.0.0.3:7000"};
const Membership three{{self, second, third}, {}};
constexpr Index start_index = 1;  // of the snapshot that a new group starts from
constexpr Term start_term = 1;
constexpr Term term = 5;

// A follower whose writes so far are all synced. Another seed stands for another start of the process.
Raft synced_follower(std::uint64_t seed = 1) {
    PersistentState state;
    state.self = self;
    Raft raft(Options{}, state, three, seed, TimePoint{});
    const Ready ready = raft.take();
    REQUIRE(ready.write);
    raft.persisted(TimePoint{}, ready.write->sequence);
    raft.take();
    return raft;
}

template <typename Kind> std::optional<Kind> sent(const Ready& ready) {
    for (const Envelope& envelope : ready.messages) {
        if (const auto* message = std::get_if<Kind>(&envelope.message)) return *message;
    }
    return std::nullopt;
}

Entry command(Index index) {
    Entry entry;
    entry.term = term;
    entry.index = index;
    entry.kind = EntryKind::command;
    return entry;
}

AppendRequest append_of(Index index) {
    return {term, index - 1, index == start_index + 1 ? start_term : term, start_index, {command(index)}};
}

TEST_CASE("a vote is sent only after it is synced, and only once per term") {
    Raft raft = synced_follower();
    raft.receive(TimePoint{}, {second, self, VoteRequest{term, start_index, start_term, false}});
    const Ready before = raft.take();
    REQUIRE(before.write);
    CHECK(before.write->hard_state->vote == second.id);
    CHECK_FALSE(sent<VoteResponse>(before));
    raft.persisted(TimePoint{}, before.write->sequence);
    const std::optional<VoteResponse> vote = sent<VoteResponse>(raft.take());
    REQUIRE(vote);
    CHECK(vote->granted);
    raft.receive(TimePoint{}, {third, self, VoteRequest{term, start_index, start_term, false}});
    const std::optional<VoteResponse> other = sent<VoteResponse>(raft.take());
    REQUIRE(other);
    CHECK_FALSE(other->granted);
}

TEST_CASE("entries are acknowledged only up to the synced index") {
    Raft raft = synced_follower();
    raft.receive(TimePoint{}, {second, self, append_of(2)});
    const Ready first = raft.take();
    CHECK_FALSE(sent<AppendResponse>(first));
    raft.receive(TimePoint{}, {second, self, append_of(3)});
    const Ready next = raft.take();
    CHECK_FALSE(sent<AppendResponse>(next));
    raft.persisted(TimePoint{}, first.write->sequence);
    CHECK(sent<AppendResponse>(raft.take())->index == 2);
    raft.receive(TimePoint{}, {second, self, HeartbeatRequest{term, 1, start_index, microseconds(0)}});
    const std::optional<HeartbeatResponse> heartbeat = sent<HeartbeatResponse>(raft.take());
    CHECK(heartbeat->received == 3);
    CHECK(heartbeat->synced == 2);
    raft.persisted(TimePoint{}, next.write->sequence);
    CHECK(sent<AppendResponse>(raft.take())->index == 3);
}

TEST_CASE("a candidate requests votes only after its own vote is synced") {
    Raft raft = synced_follower();
    const TimePoint due = raft.next_deadline();
    raft.tick(due);
    CHECK(sent<PreVoteRequest>(raft.take()));
    raft.receive(due, {second, self, PreVoteResponse{start_term, start_term + 1, true}});
    const Ready candidate = raft.take();
    CHECK(raft.role() == Role::candidate);
    CHECK_FALSE(sent<VoteRequest>(candidate));
    raft.persisted(due, candidate.write->sequence);
    CHECK(sent<VoteRequest>(raft.take()));
}

TEST_CASE("a message to an earlier replica at the same address is ignored") {
    Raft raft = synced_follower();
    const Replica previous_replica{99, self.address};
    raft.receive(TimePoint{}, {second, previous_replica, VoteRequest{term, start_index, start_term, false}});
    CHECK(raft.take().messages.empty());
    CHECK(raft.term() == start_term);
}

TEST_CASE("voters with a live leader ignore candidates, except in a leadership transfer") {
    Raft raft = synced_follower();
    raft.receive(TimePoint{}, {second, self, HeartbeatRequest{term, 1, start_index, microseconds(0)}});
    raft.take();
    raft.receive(TimePoint{}, {third, self, PreVoteRequest{term, term + 1, start_index, start_term}});
    CHECK_FALSE(sent<PreVoteResponse>(raft.take())->granted);
    raft.receive(TimePoint{}, {third, self, VoteRequest{term + 1, start_index, start_term, false}});
    CHECK(raft.term() == term);
    raft.receive(TimePoint{}, {third, self, VoteRequest{term + 1, start_index, start_term, true}});
    CHECK(raft.term() == term + 1);
}

// Regression: a replica was removed and added again, and a voter that had received only the removal rejected
// its pre-vote, so that the two never formed a majority (history with seed 22170).
TEST_CASE("a removed replica gets a vote if its log shows that it was added again") {
    Raft raft = synced_follower();
    Entry removal = command(2);
    removal.kind = EntryKind::membership;
    removal.membership = Membership{{self, second}, {}};
    raft.receive(TimePoint{}, {second, self, AppendRequest{term, start_index, start_term, 2, {removal}}});
    raft.persisted(TimePoint{}, raft.take().write->sequence);
    raft.take();
    REQUIRE(raft.commit_index() == 2);
    const TimePoint later = TimePoint{} + std::chrono::seconds(5);
    raft.receive(later, {third, self, PreVoteRequest{term, term + 1, 4, term}});
    const std::optional<PreVoteResponse> newer = sent<PreVoteResponse>(raft.take());
    REQUIRE(newer);
    CHECK(newer->granted);
    raft.receive(later, {third, self, PreVoteRequest{term, term + 1, start_index, start_term}});
    const std::optional<PreVoteResponse> older = sent<PreVoteResponse>(raft.take());
    REQUIRE(older);
    CHECK_FALSE(older->granted);
}

// A leader in the term after that of its last entry; its own disk lacks only its first entry as a leader.
Raft elected_leader(const std::vector<Entry>& entries) {
    PersistentState state;
    state.self = self;
    state.hard_state.term = entries.empty() ? start_term : entries.back().term;
    state.snapshot = Snapshot{start_index, start_term, three, {}};
    state.entries = entries;
    Raft raft(Options{}, state, {}, 1, TimePoint{});
    const TimePoint due = raft.next_deadline();
    const Term before = raft.term();
    raft.tick(due);
    raft.receive(due, {second, self, PreVoteResponse{before, before + 1, true}});
    raft.persisted(due, raft.take().write->sequence);
    raft.receive(due, {second, self, VoteResponse{before + 1, true}});
    REQUIRE(raft.role() == Role::leader);
    return raft;
}

TEST_CASE("a candidate with an outdated log gets no vote") {
    Raft raft = synced_follower();
    raft.receive(TimePoint{}, {second, self, append_of(2)});
    raft.persisted(TimePoint{}, raft.take().write->sequence);
    raft.take();
    raft.receive(TimePoint{}, {third, self, VoteRequest{term + 1, 10, start_term, true}});
    const Ready ready = raft.take();
    REQUIRE(sent<VoteResponse>(ready));
    CHECK_FALSE(sent<VoteResponse>(ready)->granted);
    CHECK(ready.write->hard_state->vote == 0);
}

TEST_CASE("entries of earlier terms are committed only with an entry of the leader's own term") {
    Raft raft = elected_leader({command(2)});
    const TimePoint now = raft.next_deadline();
    raft.receive(now, {second, self, AppendResponse{term + 1, true, 2, 0}});
    CHECK(raft.commit_index() == start_index);
    const ProposeResult change = raft.propose_membership(now, AddLearner{{4, "10.0.0.4:7000"}});
    REQUIRE(std::get_if<Refused>(&change));
    CHECK(std::get<Refused>(change).reason == RefusalReason::membership_change_pending);
    raft.receive(now, {second, self, AppendResponse{term + 1, true, 3, 0}});
    CHECK(raft.commit_index() == start_index);
    raft.receive(now, {third, self, AppendResponse{term + 1, true, 3, 0}});
    CHECK(raft.commit_index() == 3);
    CHECK(raft.take().write->hard_state->commit == 2);  // its own disk lacks entry 3
}

TEST_CASE("a read is confirmed once a majority has answered a later heartbeat") {
    Raft raft = elected_leader({});
    const TimePoint now = raft.next_deadline();
    raft.persisted(now, raft.take().write->sequence);
    raft.receive(now, {second, self, AppendResponse{start_term + 1, true, 2, 0}});
    REQUIRE(raft.commit_index() == 2);
    raft.take();
    CHECK_FALSE(raft.read_index(now, 7));
    const Ready asked = raft.take();
    CHECK(asked.reads.empty());
    const HeartbeatRound round = sent<HeartbeatRequest>(asked)->round;
    raft.receive(now, {second, self, HeartbeatResponse{start_term + 1, round - 1, 2, 2}});
    CHECK(raft.take().reads.empty());
    raft.receive(now, {second, self, HeartbeatResponse{start_term + 1, round, 2, 2}});
    const Ready answered = raft.take();
    REQUIRE(answered.reads.size() == 1);
    CHECK(answered.reads.front().index == 2);
}

// A follower that has heard of its leader, `second`.
Raft following(std::uint64_t seed) {
    Raft raft = synced_follower(seed);
    raft.receive(TimePoint{}, {second, self, HeartbeatRequest{term, 1, start_index, microseconds(0)}});
    const Ready ready = raft.take();
    REQUIRE(ready.write);
    raft.persisted(TimePoint{}, ready.write->sequence);
    raft.take();
    return raft;
}

// Guards against a control plane that counts as in sync by an answer to a read of its previous process.
TEST_CASE("a late response to a read of an earlier life does not confirm a read of this one") {
    Raft earlier = following(1);
    Raft now = following(2);
    constexpr ReadToken token = 1;
    earlier.read_index_via_leader(TimePoint{}, token);
    now.read_index_via_leader(TimePoint{}, token);
    const std::optional<ReadIndexRequest> earlier_request = sent<ReadIndexRequest>(earlier.take());
    const std::optional<ReadIndexRequest> request = sent<ReadIndexRequest>(now.take());
    REQUIRE(earlier_request);
    REQUIRE(request);
    now.receive(TimePoint{}, {second, self, ReadIndexResponse{term, earlier_request->token, 3}});
    for (const SafeRead& read : now.take().reads) CHECK(read.token != token);
    now.receive(TimePoint{}, {second, self, ReadIndexResponse{term, request->token, 4}});
    const Ready confirmed = now.take();
    REQUIRE(confirmed.reads.size() == 1);
    CHECK(confirmed.reads.front().token == token);
    CHECK(confirmed.reads.front().index == 4);
}

// Guards against a replica that ends by a permission of long ago and takes the only copy of an entry with it.
TEST_CASE("a late permission for an earlier life does not let this one leave") {
    Raft earlier = following(1);
    Raft now = following(2);
    earlier.prepare_to_leave(TimePoint{});
    now.prepare_to_leave(TimePoint{});
    const std::optional<LeaveRequest> earlier_request = sent<LeaveRequest>(earlier.take());
    const std::optional<LeaveRequest> request = sent<LeaveRequest>(now.take());
    REQUIRE(earlier_request);
    REQUIRE(request);
    now.receive(TimePoint{}, {second, self, LeaveResponse{term, true, earlier_request->life}});
    CHECK_FALSE(now.may_leave());
    now.receive(TimePoint{}, {second, self, LeaveResponse{term, true, request->life}});
    CHECK(now.may_leave());
    // A leader of an earlier build does not state the life.
    Raft beside_earlier_build = following(3);
    beside_earlier_build.receive(TimePoint{}, {second, self, LeaveResponse{term, true}});
    CHECK(beside_earlier_build.may_leave());
}

TEST_CASE("a membership change that affects two voters at once is refused") {
    const Membership membership{{self, second, third}, {{4, third.address}}};
    const auto result = membership_after(membership, PromoteLearner{4});
    REQUIRE(std::get_if<RefusalReason>(&result));
    CHECK(std::get<RefusalReason>(result) == RefusalReason::voter_at_same_address);
}

}  // namespace
}  // namespace dewweir::consensus::testing

// What a replica says before and after its writes are synced.
#include <algorithm>
#include <catch2/catch.hpp>

#include "consensus/raft.h"

namespace dewweir::consensus::testing {
namespace {

const Replica self{1, "10.0.0.1:7000"};
const Replica second{2, "10.0.0.2:7000"};
const Replica third{3, "10.0.0.3:7000"};
const Membership three{{self, second, third}, {}};
constexpr Index start_index = 1;  // of the snapshot that a new group starts from
constexpr Term start_term = 1;
constexpr Term term = 5;

// A follower whose disk has everything it was given so far.
Raft settled_follower() {
    PersistentState state;
    state.self = self;
    Raft raft(Options{}, state, three, 1, TimePoint{});
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

TEST_CASE("a vote is said only once it is synced, and once a term") {
    Raft raft = settled_follower();
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

TEST_CASE("entries are acknowledged only as far as they are synced") {
    Raft raft = settled_follower();
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

TEST_CASE("a candidate asks for votes only once its own is synced") {
    Raft raft = settled_follower();
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

TEST_CASE("a message to an earlier life of the machine is not taken") {
    Raft raft = settled_follower();
    const Replica old_life{99, self.address};
    raft.receive(TimePoint{}, {second, old_life, VoteRequest{term, start_index, start_term, false}});
    CHECK(raft.take().messages.empty());
    CHECK(raft.term() == start_term);
}

TEST_CASE("voters that hear a leader ignore candidates, but not those the leader asked to stand") {
    Raft raft = settled_follower();
    raft.receive(TimePoint{}, {second, self, HeartbeatRequest{term, 1, start_index, microseconds(0)}});
    raft.take();
    raft.receive(TimePoint{}, {third, self, PreVoteRequest{term, term + 1, start_index, start_term}});
    CHECK_FALSE(sent<PreVoteResponse>(raft.take())->granted);
    raft.receive(TimePoint{}, {third, self, VoteRequest{term + 1, start_index, start_term, false}});
    CHECK(raft.term() == term);
    raft.receive(TimePoint{}, {third, self, VoteRequest{term + 1, start_index, start_term, true}});
    CHECK(raft.term() == term + 1);
}

TEST_CASE("a change of two voters at once is refused") {
    const Membership membership{{self, second, third}, {{4, third.address}}};
    const auto result = changed(membership, PromoteLearner{4});
    REQUIRE(std::get_if<Refusal>(&result));
    CHECK(std::get<Refusal>(result) == Refusal::old_life_is_voter);
}

}  // namespace
}  // namespace dewweir::consensus::testing

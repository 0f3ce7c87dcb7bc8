// The calls of a world's clients, and the register that the replicas apply them to.
#include <algorithm>
#include <sstream>

#include "consensus/world.h"

namespace dewweir::consensus::testing {
namespace {

std::string encode_change(Version expected, Value value) {
    return std::to_string(expected) + " " + std::to_string(value);
}

Change decode_change(const std::string& text) {
    Change result;
    std::istringstream(text) >> result.expected >> result.value;
    return result;
}

bool made(const Register& state, const Change& change) {
    const AcceptedChange wanted{change.expected + 1, change.value};
    return std::find(state.recent.begin(), state.recent.end(), wanted) != state.recent.end();
}

// Whether the change has, now or before, brought a version.
bool apply_change(Register& state, const Change& change) {
    if (made(state, change)) return true;
    if (change.expected != state.version) return false;
    state.version = change.expected + 1;
    state.value = change.value;
    state.recent.push_back({state.version, state.value});
    if (state.recent.size() > remembered_changes) state.recent.erase(state.recent.begin());
    return true;
}

}  // namespace

std::string encode(const Register& state) {
    std::ostringstream text;
    text << state.version << ' ' << state.value;
    for (const AcceptedChange& change : state.recent) text << ' ' << change.version << ' ' << change.value;
    return text.str();
}

Register decode_register(const std::string& text) {
    Register result;
    std::istringstream fields(text);
    fields >> result.version >> result.value;
    AcceptedChange change;
    while (fields >> change.version >> change.value) result.recent.push_back(change);
    return result;
}

void World::apply(Machine& machine, const Entry& entry) {
    machine.applied = entry.index;
    bool accepted = false;
    Version brought = 0;
    if (entry.kind == EntryKind::command) {
        const Change change = decode_change(entry.payload);
        accepted = apply_change(machine.state, change);
        brought = change.expected + 1;
    }
    const auto pending = machine.changes.find(entry.index);
    if (pending == machine.changes.end()) return;
    const PendingChange change = pending->second;
    machine.changes.erase(pending);
    const bool own = entry.term == change.term;
    if (!own) return;
    if (change.repeat) {
        if (!accepted) checker_.repeat_refused(brought, change.value, change.known_at_start);
    } else if (accepted) {
        checker_.change_acknowledged(brought, change.value, change.known_at_start);
    } else {
        checker_.read_answered(machine.state.version, machine.state.value, change.known_at_start);
    }
}

void World::answer_reads(Machine& machine) {
    auto answer = [this, &machine](const auto& item) {
        const PendingRead& read = item.second;
        if (!read.safe || machine.applied < read.index) return false;
        checker_.read_answered(machine.state.version, machine.state.value, read.known_at_start);
        return true;
    };
    std::erase_if(machine.reads, answer);
}

bool World::propose(MachineIndex index) {
    return propose(index, std::max(checker_.known(), machines_[index].state.version));
}

bool World::propose(MachineIndex index, Version expected) {
    const Change change{expected, next_value_++};
    if (!send_change(index, change, false)) return false;
    sent_.push_back(change);
    if (sent_.size() > remembered_changes) sent_.erase(sent_.begin());
    return true;
}

bool World::repeat(MachineIndex index) {
    return !sent_.empty() && send_change(index, sent_[draw(sent_.size())], true);
}

bool World::send_change(MachineIndex index, const Change& change, bool repeat) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return false;
    bool taken = false;
    with(index, [&](Raft& raft) {
        const ProposeResult result = raft.propose(now_, encode_change(change.expected, change.value));
        const auto* accepted = std::get_if<Accepted>(&result);
        if (!accepted) return;
        machine.changes[accepted->index] = {accepted->term, change.value, checker_.known(), repeat};
        taken = true;
    });
    return taken;
}

// A control plane shows what it holds once that is proved to be in step with a majority.
void World::serve_state(MachineIndex index) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return;
    if (sabotage_ == Sabotage::serve_while_leader_is_heard) {
        const bool hears = machine.raft->leader().has_value();
        if (hears) checker_.read_answered(machine.state.version, machine.state.value, checker_.known());
        return;
    }
    const ReadToken token = next_token_++;
    machine.reads[token].known_at_start = checker_.known();
    with(index, [&](Raft& raft) { raft.read_index_via_leader(now_, token); });
}

bool World::read(MachineIndex index) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return false;
    if (sabotage_ == Sabotage::read_without_quorum && machine.raft->role() == Role::leader) {
        checker_.read_answered(machine.state.version, machine.state.value, checker_.known());
        return true;
    }
    const ReadToken token = next_token_++;
    machine.reads[token].known_at_start = checker_.known();
    bool taken = false;
    with(index, [&](Raft& raft) {
        const std::optional<Refused> refused = raft.read_index(now_, token);
        if (refused) machine.reads.erase(token);
        taken = !refused;
    });
    return taken;
}

}  // namespace dewweir::consensus::testing

// Requests of the simulated clients, and the replicated register.
#include <algorithm>
#include <sstream>

#include "consensus/simulation.h"

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

bool was_applied(const Register& state, const Change& change) {
    const AcceptedChange sought{change.expected + 1, change.value};
    return std::find(state.recent.begin(), state.recent.end(), sought) != state.recent.end();
}

// Applies the change. Returns whether it is or was applied, which includes repeats of a remembered change.
bool apply_change(Register& state, const Change& change) {
    if (was_applied(state, change)) return true;
    if (change.expected != state.version) return false;
    state.version = change.expected + 1;
    state.value = change.value;
    state.recent.push_back({state.version, state.value});
    if (state.recent.size() > max_remembered_changes) state.recent.erase(state.recent.begin());
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

void Simulation::apply(Machine& machine, const Entry& entry) {
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

void Simulation::answer_reads(Machine& machine) {
    auto answer = [this, &machine](const auto& item) {
        const PendingRead& read = item.second;
        if (!read.safe || machine.applied < read.index) return false;
        checker_.read_answered(machine.state.version, machine.state.value, read.known_at_start);
        return true;
    };
    std::erase_if(machine.reads, answer);
}

bool Simulation::propose(MachineIndex index) {
    return propose(index, std::max(checker_.newest_known(), machines_[index].state.version));
}

bool Simulation::propose(MachineIndex index, Version expected) {
    const Change change{expected, next_value_++};
    if (!send_change(index, change, false)) return false;
    sent_.push_back(change);
    if (sent_.size() > max_remembered_changes) sent_.erase(sent_.begin());
    return true;
}

bool Simulation::repeat(MachineIndex index) {
    return !sent_.empty() && send_change(index, sent_[draw(sent_.size())], true);
}

bool Simulation::send_change(MachineIndex index, const Change& change, bool repeat) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return false;
    bool accepted_request = false;
    call_raft(index, [&](Raft& raft) {
        const ProposeResult result = raft.propose(now_, encode_change(change.expected, change.value));
        const auto* accepted = std::get_if<Accepted>(&result);
        if (!accepted) return;
        machine.changes[accepted->index] = {accepted->term, change.value, checker_.newest_known(), repeat};
        accepted_request = true;
    });
    return accepted_request;
}

// Reads the replica's local state once a read index from the leader has confirmed that it is current.
void Simulation::serve_confirmed_state(MachineIndex index) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return;
    if (defect_ == InjectedDefect::serve_unconfirmed_state) {
        const bool knows_leader = machine.raft->leader().has_value();
        if (knows_leader)
            checker_.read_answered(machine.state.version, machine.state.value, checker_.newest_known());
        return;
    }
    const ReadToken token = ++machine.last_read;
    machine.reads[token].known_at_start = checker_.newest_known();
    call_raft(index, [&](Raft& raft) { raft.read_index_via_leader(now_, token); });
}

bool Simulation::read(MachineIndex index) {
    Machine& machine = machines_[index];
    if (!machine.raft || now_ < machine.frozen_until) return false;
    if (defect_ == InjectedDefect::read_without_quorum && machine.raft->role() == Role::leader) {
        checker_.read_answered(machine.state.version, machine.state.value, checker_.newest_known());
        return true;
    }
    const ReadToken token = ++machine.last_read;
    machine.reads[token].known_at_start = checker_.newest_known();
    bool accepted_request = false;
    call_raft(index, [&](Raft& raft) {
        const std::optional<Refused> refused = raft.read_index(now_, token);
        if (refused) machine.reads.erase(token);
        accepted_request = !refused;
    });
    return accepted_request;
}

}  // namespace dewweir::consensus::testing

#include "consensus/checker.h"

#include <algorithm>

namespace dewweir::consensus::testing {

void Checker::leader_elected(Term term, ReplicaId leader) {
    const auto [found, added] = leaders_.try_emplace(term, leader);
    if (!added && found->second != leader) {
        report(Property::election_safety, "two leaders in term " + std::to_string(term));
    }
}

void Checker::leader_elected(const Raft& raft) {
    leader_elected(raft.term(), raft.self().id);
    for (const auto& [index, committed] : committed_) {
        const bool must_have =
            committed.first_applied_in < raft.term() && index > raft.log().snapshot_index();
        if (!must_have || raft.log().matches(index, committed.entry.term)) continue;
        report(Property::leader_completeness, "a leader lacks entry " + std::to_string(index));
        return;
    }
}

void Checker::entry_written(const Entry& entry, Term previous_term) {
    const auto [found, added] =
        written_.try_emplace({entry.index, entry.term}, Written{entry, previous_term});
    if (added) return;
    const bool same = found->second.entry == entry && found->second.previous_term == previous_term;
    if (!same) report(Property::log_matching, "two entries at " + std::to_string(entry.index));
}

void Checker::entry_applied(const Entry& entry, Term term) {
    const auto [found, added] = committed_.try_emplace(entry.index, Committed{entry, term});
    if (added && entry.kind == EntryKind::membership) membership_ = entry.membership;
    if (!added && found->second.entry != entry) {
        report(Property::state_machine_safety, "two entries applied at " + std::to_string(entry.index));
    }
}

void Checker::change_acknowledged(Version version, Value value, Version known_at_start) {
    const auto [found, added] = acknowledged_.try_emplace(version, value);
    if (!added && found->second != value) {
        report(Property::one_change_per_version, "two changes to version " + std::to_string(version));
    }
    if (version <= known_at_start) {
        report(Property::no_stale_read, "a change on top of an old version " + std::to_string(version));
    }
    record_value(version, value);
}

// The register recognizes repeats only of its newest changes, so only the newest one is checked.
void Checker::repeat_refused(Version version, Value value, Version known_at_start) {
    const auto found = acknowledged_.find(version);
    const bool acknowledged = found != acknowledged_.end() && found->second == value;
    const bool newest = version == known_at_start && version == newest_known_;
    if (acknowledged && newest) {
        report(Property::repeat_not_refused, "a repeat of version " + std::to_string(version));
    }
}

void Checker::read_answered(Version version, Value value, Version known_at_start) {
    ++reads_;
    if (version < known_at_start) {
        const std::string text = std::to_string(version) + " after " + std::to_string(known_at_start);
        report(Property::no_stale_read, "read " + text);
    }
    record_value(version, value);
}

void Checker::record_value(Version version, Value value) {
    newest_known_ = std::max(newest_known_, version);
    const auto [found, added] = seen_.try_emplace(version, value);
    if (!added && found->second != value) {
        report(Property::no_lost_change, "version " + std::to_string(version) + " has two values");
    }
}

}  // namespace dewweir::consensus::testing

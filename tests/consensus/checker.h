// Checks the properties that every history must have: Raft's safety properties (thesis, figure 3.2) and the
// linearizability of a register whose version only increases.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "consensus/raft.h"

namespace dewweir::consensus::testing {

using Version = std::uint64_t;
using Value = std::uint64_t;  // unique for each change

enum class Property : std::uint8_t {
    election_safety,
    log_matching,
    leader_completeness,
    state_machine_safety,
    one_change_per_version,
    no_lost_change,
    no_stale_read,
    repeat_not_refused,
};

struct Violation {
    Property property;
    std::string text;
};

class Checker {
  public:
    void leader_elected(const Raft& raft);
    void leader_elected(Term term, ReplicaId leader);
    // `previous_term` is the term of the preceding entry.
    void entry_written(const Entry& entry, Term previous_term);
    void entry_applied(const Entry& entry, Term term);

    // The newest version that any client has seen; an operation that starts now must not see an older one.
    Version newest_known() const { return newest_known_; }
    void change_acknowledged(Version version, Value value, Version known_at_start);
    // A repeated change was refused.
    void repeat_refused(Version version, Value value, Version known_at_start);
    void read_answered(Version version, Value value, Version known_at_start);

    const std::vector<Violation>& violations() const { return violations_; }
    Index last_committed() const { return committed_.empty() ? 0 : committed_.rbegin()->first; }
    const Membership& membership() const { return membership_; }  // the newest committed one
    std::size_t acknowledged() const { return acknowledged_.size(); }
    std::size_t reads() const { return reads_; }

  private:
    struct Written {
        Entry entry;
        Term previous_term = 0;
    };
    struct Committed {
        Entry entry;
        Term first_applied_in;  // term of the replica that applied it first
    };

    void report(Property property, const std::string& text) { violations_.push_back({property, text}); }
    void record_value(Version version, Value value);

    std::map<Term, ReplicaId> leaders_;
    std::map<std::pair<Index, Term>, Written> written_;
    std::map<Index, Committed> committed_;
    std::map<Version, Value> acknowledged_;
    std::map<Version, Value> seen_;
    Membership membership_;
    Version newest_known_ = 0;
    std::size_t reads_ = 0;
    std::vector<Violation> violations_;
};

}  // namespace dewweir::consensus::testing

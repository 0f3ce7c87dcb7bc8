// What must hold in every history: Raft's safety properties (thesis, figure 3.2) and the linearizability of a
// register whose versions only grow.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "consensus/raft.h"

namespace dewweir::consensus::testing {

using Version = std::uint64_t;
using Value = std::uint64_t;  // every change writes one of its own

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
    // `previous_term` is that of the entry before.
    void entry_written(const Entry& entry, Term previous_term);
    void entry_applied(const Entry& entry, Term term);

    // The newest version that some client knows; an operation that starts now must not see an older one.
    Version known() const { return known_; }
    void change_acknowledged(Version version, Value value, Version known_at_start);
    // A change that was sent again was refused.
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
        Term by;  // the term of the replica that first applied it
    };

    void violated(Property property, const std::string& text) { violations_.push_back({property, text}); }
    void value_seen(Version version, Value value);

    std::map<Term, ReplicaId> leaders_;
    std::map<std::pair<Index, Term>, Written> written_;
    std::map<Index, Committed> committed_;
    std::map<Version, Value> acknowledged_;
    std::map<Version, Value> seen_;
    Membership membership_;
    Version known_ = 0;
    std::size_t reads_ = 0;
    std::vector<Violation> violations_;
};

}  // namespace dewweir::consensus::testing

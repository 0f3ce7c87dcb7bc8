// Which processes are members, by what the control planes report of their sessions: a lease each, renewed by
// reports. Pure. The leader owns one. A member whose session ends is kept for a short time, since it may be
// opening another elsewhere.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace dewweir::control {

using Clock = std::chrono::steady_clock;

struct MemberTableOptions {
    // For how long a member that nobody reports any more is kept.
    std::chrono::milliseconds reconnect_grace{700};
    // For how long members of a control plane that is itself gone are kept: they look for another one first.
    std::chrono::milliseconds reporter_grace{5000};
    // For how long members are kept that another leader knew.
    std::chrono::milliseconds adoption_grace{5000};
};

class MemberTable {
  public:
    explicit MemberTable(const MemberTableOptions& options = {}) : options_(options) {}

    // All members that have a session with the control plane `reporter` now.
    void report(Clock::time_point now, const std::string& reporter, const std::vector<wire::Member>& members);
    void reporter_lost(Clock::time_point now, const std::string& reporter);
    // Members as another leader knew them, unless they are known here. Unless these were `all_known`, the
    // table is not whole for the grace of adoption.
    void adopt(Clock::time_point now, const std::vector<wire::Member>& members, bool all_known);
    // Whether a member that is missing here is gone, and not only unheard of yet.
    bool whole(Clock::time_point now) const;
    // Drops whose lease is over.
    void expire(Clock::time_point now);
    // When `expire` will drop the next one, or the table will be whole.
    std::optional<Clock::time_point> next_expiry() const;

    std::vector<wire::Member> members() const;

  private:
    struct Entry {
        wire::Member member;
        std::string reporter;                         // empty: nobody reports it now
        std::optional<Clock::time_point> expires_at;  // while nobody reports it
    };
    void unreport(Clock::time_point now, Entry& entry, std::chrono::milliseconds grace);

    MemberTableOptions options_;
    std::map<std::string, Entry> entries_;       // by node
    std::optional<Clock::time_point> whole_at_;  // nothing: it is whole
};

}  // namespace dewweir::control

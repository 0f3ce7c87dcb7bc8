// The leader's table of members, built from the sessions that the control planes report. Each member holds a
// lease that reports renew: while a control plane reports it, it does not expire; once none does, it expires
// after a grace period, since the member may be connecting to another control plane. Pure; times are passed
// in.
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
    // How long a member is kept after its control plane stopped reporting it.
    std::chrono::milliseconds reconnect_grace{700};
    // How long the members of an unreachable control plane are kept: they first have to find another one.
    std::chrono::milliseconds reporter_grace{5000};
    // How long members known from the previous leader are kept before somebody reports them here.
    std::chrono::milliseconds inherited_grace{5000};
};

class MemberTable {
  public:
    explicit MemberTable(const MemberTableOptions& options = {}) : options_(options) {}

    // `members` are all processes that currently have a session with the control plane `reporter`.
    void report(Clock::time_point now, const std::string& reporter, const std::vector<wire::Member>& members);
    // The session with the control plane `reporter` ended; members only it reported get `reporter_grace`.
    void reporter_lost(Clock::time_point now, const std::string& reporter);
    // Takes over the members the previous leader published; entries already in the table stay. Unless that
    // list was complete (`known_complete`), this table is incomplete for `inherited_grace`.
    void inherit(Clock::time_point now, const std::vector<wire::Member>& members, bool known_complete);
    // Whether a process missing here is really no member; otherwise it may only not have been reported yet.
    bool complete(Clock::time_point now) const;
    // Removes the members whose lease has expired.
    void expire(Clock::time_point now);
    // When `expire` is next due: a lease ends or the table becomes complete. Nothing: never, as things stand.
    std::optional<Clock::time_point> next_expiry() const;

    std::vector<wire::Member> members() const;

  private:
    struct Entry {
        wire::Member member;
        std::string reporter;                         // the control plane's node; empty: not reported now
        std::optional<Clock::time_point> expires_at;  // set while not reported
    };
    void start_expiry(Clock::time_point now, Entry& entry, std::chrono::milliseconds grace);

    MemberTableOptions options_;
    std::map<std::string, Entry> entries_;          // by node
    std::optional<Clock::time_point> complete_at_;  // nothing: already complete
};

}  // namespace dewweir::control

// Selects the gateway that holds a tenant's quota counts: the one with the highest hash of both (rendezvous
// hashing; Thaler and Ravishankar, "Using name-based mappings to increase hit rates", 1998). A gateway that
// has left the membership stays a candidate for a while: the views of different processes differ, and two
// holders of one tenant would each admit its whole quota, while an absent holder only makes the shared count
// unavailable. Performs no I/O; the caller passes the time.
#pragma once

#include <map>
#include <string>

#include "runtime/event_loop.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// How long a gateway stays a candidate after it has left the membership.
constexpr runtime::Time absence_limit = 60 * runtime::tenths_per_second;

class Placement {
  public:
    void update(const std::map<std::string, wire::Member>& members, runtime::Time now);
    // Null while no gateway is known.
    const wire::Member* holder_of(std::uint64_t tenant) const;
    // Number of gateways that share the quotas, including absent ones that are still candidates.
    int gateways() const { return static_cast<int>(gateways_.size()); }

  private:
    struct Gateway {
        std::uint64_t hash = 0;  // of its node name
        wire::Member member;
        runtime::Time seen_at = 0;  // time of the last update whose members contained it
    };
    std::map<std::string, Gateway> gateways_;  // by node name
};

}  // namespace dewweir::gateway

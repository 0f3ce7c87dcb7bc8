// Which gateway holds a tenant's counts: the one with the highest hash of both (rendezvous hashing, Thaler
// and Ravishankar, 1998). Pure. A gateway that is no member any more keeps its place for a while: views
// differ from process to process, and two holders of one tenant would each let its whole quota in, while an
// absent one costs only the shared count.
#pragma once

#include <map>
#include <string>

#include "runtime/event_loop.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// For how long an absent gateway keeps its place.
constexpr runtime::Time absence_limit = 60 * runtime::tenths_per_second;

class Placement {
  public:
    void update(const std::map<std::string, wire::Member>& members, runtime::Time now);
    // Null where no gateway is known.
    const wire::Member* holder_of(std::uint64_t tenant) const;
    // How many gateways share the quotas.
    int gateways() const { return static_cast<int>(gateways_.size()); }

  private:
    struct Gateway {
        std::uint64_t hash = 0;  // of its name
        wire::Member member;
        runtime::Time seen_at = 0;
    };
    std::map<std::string, Gateway> gateways_;  // by node
};

}  // namespace dewweir::gateway

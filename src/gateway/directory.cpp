#include "gateway/directory.h"

#include <utility>

namespace dewweir::gateway {
namespace {

// With fewer gateways than this in its zone a client is told those of its region too.
constexpr std::size_t enough_addresses = 1;

// Gateways that take new clients, by how far they are from one client.
class Candidates {
  public:
    Candidates(const ClientPlace& place, const configuration::HomeRegions& homes)
        : place_(place), homes_(homes) {}

    void add(const wire::Member& member) {
        if (member.role != wire::Role::gateway || !member.ready || member.front.empty()) return;
        if (member.zone == place_.zone) in_zone_.push_back(member.front);
        if (member.region == place_.region) {
            in_region_.push_back(member.front);
        } else if (configuration::allows(homes_, member.region)) {
            elsewhere_.push_back(member.front);
        }
    }

    Resolution nearest() {
        if (in_zone_.size() >= enough_addresses) return {Reach::zone, std::move(in_zone_)};
        if (!in_region_.empty()) return {Reach::region, std::move(in_region_)};
        return {Reach::elsewhere, std::move(elsewhere_)};
    }

  private:
    const ClientPlace& place_;
    const configuration::HomeRegions& homes_;
    std::vector<std::string> in_zone_;
    std::vector<std::string> in_region_;
    std::vector<std::string> elsewhere_;  // where the client's routes may be served
};

}  // namespace

Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const ClientPlace& place, const configuration::HomeRegions& homes) {
    Candidates candidates(place, homes);
    candidates.add(self);
    for (const auto& [node, member] : members) {
        if (node != self.node) candidates.add(member);
    }
    Resolution resolution = candidates.nearest();
    if (resolution.addresses.size() > most_addresses) resolution.addresses.resize(most_addresses);
    return resolution;
}

}  // namespace dewweir::gateway

#include "gateway/directory.h"

#include <utility>

namespace dewweir::gateway {
namespace {

// With fewer gateways than this in its zone a client is told those of its region too.
constexpr std::size_t enough_addresses = 1;

// Gateways that take new clients, by how far they are from one client.
class Candidates {
  public:
    Candidates(const Client& client, const configuration::RouteTable* table)
        : client_(client), table_(table) {}

    void add(const wire::Member& member) {
        if (member.role != wire::Role::gateway || !member.ready || member.front.empty()) return;
        if (member.zone == client_.zone) in_zone_.push_back(member.front);
        if (member.region == client_.region) {
            in_region_.push_back(member.front);
        } else if (table_ && configuration::allows(table_->home_regions(client_.hostname), member.region)) {
            add_elsewhere(member);
        }
    }

    Resolution nearest() {
        if (in_zone_.size() >= enough_addresses) return {Reach::zone, std::move(in_zone_)};
        if (!in_region_.empty()) return {Reach::region, std::move(in_region_)};
        return {Reach::elsewhere, std::move(elsewhere_)};
    }

  private:
    // Only regions that are a home to as many tenants as any are kept.
    void add_elsewhere(const wire::Member& member) {
        const std::size_t tenants = table_->tenants_with_home(member.region);
        if (tenants < most_tenants_) return;
        if (tenants > most_tenants_) elsewhere_.clear();
        most_tenants_ = tenants;
        elsewhere_.push_back(member.front);
    }

    const Client& client_;
    const configuration::RouteTable* table_;
    std::vector<std::string> in_zone_;
    std::vector<std::string> in_region_;
    std::vector<std::string> elsewhere_;  // where the client's routes may be served
    std::size_t most_tenants_ = 0;        // that have a home in a region of `elsewhere_`
};

}  // namespace

Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const Client& client, const configuration::RouteTable* table) {
    Candidates candidates(client, table);
    candidates.add(self);
    for (const auto& [node, member] : members) {
        if (node != self.node) candidates.add(member);
    }
    Resolution resolution = candidates.nearest();
    if (resolution.addresses.size() > most_addresses) resolution.addresses.resize(most_addresses);
    return resolution;
}

}  // namespace dewweir::gateway

#include "gateway/directory.h"

#include <utility>

namespace dewweir::gateway {
namespace {

// With fewer gateways than this in its zone a client is given those of its region.
constexpr std::size_t min_zone_gateways = 1;

// Collects the gateways that accept new clients, by their proximity to one client.
class Candidates {
  public:
    Candidates(const ResolveQuery& query, const configuration::RouteTable* table)
        : query_(query), table_(table) {}

    void add(const wire::Member& member) {
        if (member.role != wire::Role::gateway || !member.ready || member.front.empty()) return;
        if (member.zone == query_.zone) in_zone_.push_back(member.front);
        if (member.region == query_.region) {
            in_region_.push_back(member.front);
        } else if (table_ && configuration::allows(table_->home_regions(query_.hostname), member.region)) {
            add_elsewhere(member);
        }
    }

    Resolution nearest() {
        if (in_zone_.size() >= min_zone_gateways) return {Proximity::zone, std::move(in_zone_)};
        if (!in_region_.empty()) return {Proximity::region, std::move(in_region_)};
        return {Proximity::elsewhere, std::move(elsewhere_)};
    }

  private:
    // Keeps only the regions that are home to the most tenants.
    void add_elsewhere(const wire::Member& member) {
        const std::size_t tenants = table_->tenants_with_home(member.region);
        if (tenants < most_tenants_) return;
        if (tenants > most_tenants_) elsewhere_.clear();
        most_tenants_ = tenants;
        elsewhere_.push_back(member.front);
    }

    const ResolveQuery& query_;
    const configuration::RouteTable* table_;
    std::vector<std::string> in_zone_;
    std::vector<std::string> in_region_;
    std::vector<std::string> elsewhere_;  // in other regions that may serve the client's routes
    std::size_t most_tenants_ = 0;        // tenants at home in each region of `elsewhere_`
};

}  // namespace

Resolution resolve(const std::map<std::string, wire::Member>& members, const wire::Member& self,
                   const ResolveQuery& query, const configuration::RouteTable* table) {
    Candidates candidates(query, table);
    candidates.add(self);
    for (const auto& [node, member] : members) {
        if (node != self.node) candidates.add(member);
    }
    Resolution resolution = candidates.nearest();
    if (resolution.addresses.size() > max_addresses) resolution.addresses.resize(max_addresses);
    return resolution;
}

}  // namespace dewweir::gateway

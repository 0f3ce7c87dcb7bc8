// The hosts that this gateway knows, by number: lives of instances, whether they may be sent requests now and
// how far away they are. Owns the numbering. Pure but for the clock handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "distribution/view.h"
#include "gateway/upstreams.h"

namespace dewweir::gateway {

enum class Distance : std::uint8_t { same_zone, same_region, other_region };

struct Endpoint {
    EndpointId id = 0;
    wire::Instance instance;
    std::string region;
    Distance distance = Distance::other_region;
    bool usable = false;  // ready, and its zone is not evacuated
    bool evacuated = false;
    runtime::Time cold_until = 0;  // may be sent little before
};

struct Locality {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_of_zone;
};

// What an update has changed for requests that are on their way.
struct EndpointChanges {
    std::vector<EndpointId> gone;
    // Those that may be sent less than before: they leave, their zone is evacuated, or they have turned cold.
    std::vector<EndpointId> restricted;
};

class EndpointTable {
  public:
    explicit EndpointTable(Locality locality) : locality_(std::move(locality)) {}

    // How long the list may lag behind a host that has turned cold while its zone was evacuated.
    void set_list_lag(runtime::Time lag) { list_lag_ = lag; }
    // Takes over the view's instances and evacuations.
    EndpointChanges update(const distribution::View& view, runtime::Time now);

    const std::map<EndpointId, Endpoint>& all() const { return endpoints_; }
    const Endpoint* find(EndpointId id) const;

  private:
    std::vector<EndpointId> remove_missing(const distribution::View& view);
    Distance distance_to(const std::string& zone, const std::string& region) const;
    std::string region_of(const std::string& zone) const;

    Locality locality_;
    runtime::Time list_lag_ = 0;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<std::string, EndpointId> by_instance_;
    EndpointId last_ = 0;
};

}  // namespace dewweir::gateway

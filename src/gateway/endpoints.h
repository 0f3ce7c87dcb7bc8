// Table of the upstream endpoints that this gateway knows. Assigns each incarnation of an instance an
// EndpointId and derives whether it may be sent requests, until when it is cold and how far away it is.
// Performs no I/O; the caller passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "distribution/view.h"
#include "gateway/upstreams.h"

namespace dewweir::gateway {

// Distance between this gateway and an endpoint.
enum class Distance : std::uint8_t { same_zone, same_region, other_region };

struct Endpoint {
    EndpointId id = 0;
    wire::Instance instance;
    std::string region;  // empty where the zone is not configured
    Distance distance = Distance::other_region;
    bool usable = false;     // the instance is ready and its zone is not evacuated
    bool evacuated = false;  // its zone is evacuated
    // Until this time the endpoint is cold: it may be sent only as many requests as ColdBudget allows.
    runtime::Time cold_until = 0;
};

// Location of this gateway and the region of each configured zone.
struct Locality {
    std::string zone;
    std::string region;
    std::map<std::string, std::string> region_of_zone;
};

// Changes of one update that concern requests in flight.
struct EndpointChanges {
    std::vector<EndpointId> removed;
    // Endpoints that were usable and now are draining, in an evacuated zone, or cold again.
    std::vector<EndpointId> restricted;
};

class EndpointTable {
  public:
    explicit EndpointTable(Locality locality) : locality_(std::move(locality)) {}

    // How late the list may show that a host is cold. When the evacuation of a zone ends, its hosts are
    // treated as cold for this long, since one may have restarted shortly before.
    void set_list_lag(runtime::Time lag) { list_lag_ = lag; }
    // Applies the view's instances and evacuations.
    EndpointChanges update(const distribution::View& view, runtime::Time now);

    const std::map<EndpointId, Endpoint>& all() const { return endpoints_; }
    // Null for an unknown or removed endpoint.
    const Endpoint* find(EndpointId id) const;

  private:
    std::vector<EndpointId> remove_missing(const distribution::View& view);
    Distance distance_to(const std::string& zone, const std::string& region) const;
    std::string region_of(const std::string& zone) const;

    Locality locality_;
    runtime::Time list_lag_ = 0;
    std::map<EndpointId, Endpoint> endpoints_;
    std::map<std::string, EndpointId> by_instance_;  // by instance id
    EndpointId last_id_ = 0;                         // ids are never reused
};

}  // namespace dewweir::gateway

// Compares the tables of explain-bounds with values calculated by hand.
#include "explain/bounds.h"

#include <catch2/catch.hpp>

using namespace dewweir;

namespace {

settings::Settings example_settings() {
    settings::Settings settings;
    settings.invariants.bounds.quota_window = std::chrono::seconds(5);
    settings.invariants.bounds.quota_overshoot = 0.1;
    settings.invariants.bounds.quota_slack = 20;
    settings.invariants.bounds.cold_overshoot = 1.5;
    settings.invariants.bounds.cold_slack = 5;
    settings.invariants.bounds.retry_ratio = 0.2;
    settings.invariants.bounds.retry_window = std::chrono::seconds(10);
    settings.invariants.bounds.retry_slack = 62;
    settings.invariants.bounds.config_apply = std::chrono::milliseconds(2500);
    settings.invariants.fault_budget.machines = 1;
    return settings;
}

configuration::Tenant tenant(const std::string& name, double rate_per_s, double burst) {
    configuration::Tenant result;
    result.name = name;
    result.rate_per_s = rate_per_s;
    result.burst = burst;
    return result;
}

}  // namespace

TEST_CASE("the tables show the bounds of tenants, services, retries and freshness") {
    configuration::Configuration configuration;
    configuration.tenants = {tenant("alfa", 60, 60), tenant("of-no-limit", 0, 0)};
    configuration.services.resize(3);
    configuration.services[0].name = "slow";
    configuration.services[0].cold_per_s = 4.1;
    configuration.services[1].name = "fast";
    configuration.services[1].cold_per_s = 13;
    configuration.services[2].name = "unknown";
    // Freshness: the search for a control plane takes 2 x 200 + 3 x 150 + 200 = 1050 ms of the 2500.
    // Tenant alfa: the bound is (60 x 5 + 60) x 1.1 + 20 = 416 requests, of which 0.93 = 386.9 are used. The
    // window is (386.9 - 300) / 60 = 1.448 s and admits 60 x 1.448 requests. One gateway of ten holds a tenth
    // of both, so a gateway that is cut off adds 8.7 + 6 x 5.
    // Retries: 0.9 of the ratio 0.2 and of the slack 62; one gateway has a tenth of the slack.
    CHECK(explain::explain_bounds(example_settings(), configuration, 10) ==
          "Quotas over 10 gateways, requests in any 5.0 s:\n"
          "tenant       window s  in window  the rule     worst   one cut    bucket  bucket/s\n"
          "alfa             1.45       86.9     416.0     386.9     425.6       8.7      6.00\n"
          "of-no-limit  no limit\n"
          "\n"
          "Cold hosts, requests to each in any second:\n"
          "service  the rule  owner /s  one owner  two owners\n"
          "slow        11.15      4.10       5.35       10.70\n"
          "fast        24.50     11.00      12.25       24.50\n"
          "unknown  not told: as if 0\n"
          "\n"
          "Further attempts to one service, over 10 gateways, in any 10.0 s:\n"
          "  the rule                               0.20 x requests +     62.0\n"
          "  worst                                  0.18 x requests +     55.8\n"
          "  one gateway                            0.18 x requests +      5.6\n"
          "\n"
          "From an acknowledged change to a gateway, ms:\n"
          "  the rule (config_apply)                                 2500\n"
          "  worst case with 2 control planes silent                 2500\n"
          "  a control plane whose proof is older is left            1450\n"
          "  with an older proof nobody is given the whole view      1450\n"
          "  a read (GET /v1/config) lacks what is older than           0\n");
}

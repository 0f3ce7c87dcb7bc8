// Requests of made-up tenants that hollow gateways bring before their quota clients, at a steady rate.
#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <vector>

#include "capacity_world/hollow_gateway.h"

namespace dewweir::capacity_world {

struct QuotaLoad {
    double requests_per_second = 0;  // at each gateway; 0: none
    std::uint32_t tenants = 1;       // drawn evenly
    std::uint32_t seed = 1;
};

struct QuotaCounts {
    std::uint64_t asked = 0;
    std::uint64_t passed = 0;
    std::uint64_t refused = 0;
};

class SyntheticQuota {
  public:
    SyntheticQuota(runtime::EventLoop& loop, std::vector<std::unique_ptr<HollowGateway>>& gateways,
                   const QuotaLoad& load);

    void start();
    const QuotaCounts& counts() const { return counts_; }

  private:
    void turn();
    void ask(HollowGateway& gateway);

    std::vector<std::unique_ptr<HollowGateway>>& gateways_;
    QuotaLoad load_;
    QuotaCounts counts_;
    std::mt19937 random_;
    double owed_ = 0;  // requests due at each gateway
    runtime::Timer timer_;
};

}  // namespace dewweir::capacity_world

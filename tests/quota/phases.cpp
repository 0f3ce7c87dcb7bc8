// The worst demand for windows that begin at different moments: each gateway receives requests only at the
// end of its own window, so that everything it admits starts to leave the estimate at once.
#include <catch2/catch.hpp>

#include "quota/schedule.h"

namespace dewweir::quota::testing {
namespace {

constexpr int gateways = 12;
constexpr milliseconds step{1};

// When requests were admitted, over a network without delay.
std::vector<TimePoint> admitted_at_window_ends(const Quota& quota) {
    const Duration window = check_for(quota, rules).window;
    CountHolder holder;
    std::vector<Admission> admissions;
    admissions.reserve(gateways);
    for (int index = 0; index < gateways; ++index)
        admissions.emplace_back(static_cast<GatewayIncarnation>(index), rules);
    std::vector<TimePoint> admitted;
    const auto ask = [&](TimePoint now, Admission& admission) {
        const Decision asked = admission.request(now, 1, quota, gateways, true);
        Decision decided = asked;
        if (asked.statement) {
            const HeldCount held = holder.state(now, *asked.statement);
            decided = admission.answered(now, 1, asked.statement->sequence, held);
            if (decided.statement) holder.state(now, *decided.statement);
        }
        const bool passed = decided.result == Admitted::passed;
        if (passed) admitted.push_back(now);
        return passed;
    };
    // One request each sets the phases, a twelfth of a window apart.
    for (int index = 0; index < gateways; ++index) {
        ask(began + window * index / gateways, admissions[static_cast<std::size_t>(index)]);
    }
    for (TimePoint now = began + window; now < began + window + played; now += step) {
        // The gateway whose window ends in this twelfth.
        const auto turn =
            static_cast<std::size_t>(((now - began) % window * gateways / window + 1) % gateways);
        while (ask(now, admissions[turn])) continue;
    }
    return admitted;
}

}  // namespace

TEST_CASE("demand at the ends of the gateways' windows stays within the rule") {
    const Quota quota{60, 60};
    const std::size_t most = most_in_a_span(admitted_at_window_ends(quota));
    CHECK(static_cast<double>(most) <= allowed(quota));
}

}  // namespace dewweir::quota::testing

#include "evidence.h"

#include <algorithm>
#include <cmath>

namespace dewweir::rollout {
namespace {

// Parts of the wealth put on the next window: a mixture, since it is not known how large a difference is. All
// stay under 1, so no window can lose everything.
constexpr std::array<double, 5> bets = {0.95, 0.5, 0.25, 0.125, 0.0625};
constexpr double cut = 2;  // spreads

double mixed(const std::array<double, 5>& wealth) {
    const double most = *std::max_element(wealth.begin(), wealth.end());
    double sum = 0;
    for (const double one : wealth) sum += std::exp(one - most);
    return most + std::log(sum / static_cast<double>(wealth.size()));
}

}  // namespace

void Evidence::see(double difference) {
    const double gain = std::clamp((difference - allowed_) / (cut * spread_), -1.0, 1.0);
    for (std::size_t n = 0; n < bets.size(); ++n) wealth_[n] += std::log1p(bets[n] * gain);
    strongest_ = std::max(strongest_, mixed(wealth_));
}

bool Evidence::proven(double error) const { return strongest_ >= -std::log(error); }

Interval interval_of(const std::vector<double>& differences, double spread, double error) {
    double middle = 0;
    for (const double one : differences)
        middle += one / static_cast<double>(std::max<std::size_t>(1, differences.size()));
    // Each end is the nearest value that the bet against it has not refuted, at half of the error.
    const auto end = [&](double sign) {
        const auto refuted = [&](double far) {
            Evidence evidence(-far, spread);
            for (const double one : differences) evidence.see(sign * (one - middle));
            return evidence.proven(error / 2);
        };
        double near = 0, far = cut * spread;
        for (int n = 0; n < 40 && !refuted(far); ++n) {
            if (far > 1e6 * spread) return sign * -far;
            near = far, far *= 2;
        }
        for (int n = 0; n < 30; ++n) (refuted((near + far) / 2) ? far : near) = (near + far) / 2;
        return sign * -far;
    };
    return {middle + end(1), middle + end(-1)};
}

}  // namespace dewweir::rollout

#include "side_by_side.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>

namespace dewweir::fleet {
namespace {

double figure(const net::Configuration& c, const std::string& name) {
    const auto found = c.settings.find(name);
    return found == c.settings.end() ? 0 : std::strtod(found->second.c_str(), nullptr);
}

}  // namespace

std::vector<std::string> against_side_by_side(const net::Configuration& old,
                                              const net::Configuration& fresh) {
    std::vector<std::string> all;
    if (old.counter != fresh.counter)
        all.push_back(
            "the counter: each would count for itself, and a customer would have its quota at both; move it "
            "by SIGHUP "
            "at all gateways at once, in a change of its own");
    if (fresh.gateways < old.gateways)
        all.push_back(
            "gateways: the new ones would take larger shares while the old ones keep theirs, more than one "
            "quota "
            "in all; bring the new number to all, in a change of its own, with fewer gateways afterwards");
    for (std::size_t n = 0; n < old.plans.size(); ++n) {
        const auto at = std::find(fresh.plans.begin(), fresh.plans.end(), old.plans[n]);
        if (at == fresh.plans.end()) continue;
        const std::string was = "plans." + std::to_string(n) + ".";
        const std::string is = "plans." + std::to_string(at - fresh.plans.begin()) + ".";
        const double rate[2] = {figure(old, was + "rate"), figure(fresh, is + "rate")};
        const double burst[2] = {figure(old, was + "burst"), figure(fresh, is + "burst")};
        if (rate[0] <= 0 || rate[1] <= 0) continue;
        const double window[2] = {burst[0] / rate[0], burst[1] / rate[1]};
        if (std::abs(window[0] - window[1]) < 1e-6 * window[0]) continue;
        char text[400];
        std::snprintf(
            text, sizeof text,
            "plan %s: its window (burst over rate) is %.4g s for the old and %.4g s for the new, so the "
            "counter's "
            "names differ and a customer is counted at each for itself: up to %.4g units a second instead of "
            "%.4g; change rate and burst together, so that the window stays, or all gateways at once",
            old.plans[n].c_str(), window[0], window[1], rate[0] + rate[1], std::max(rate[0], rate[1]));
        all.push_back(text);
    }
    return all;
}

}  // namespace dewweir::fleet

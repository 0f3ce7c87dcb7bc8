#include "readings.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "errors/errors.h"

namespace dewweir {
namespace {

constexpr double tenths_per_ms = 10;
constexpr double tenths_per_second = 10000;

struct Reader {
    const Settings& settings;

    const std::string* setting(const std::string& name) const {
        const auto found = settings.find(name);
        return found == settings.end() ? nullptr : &found->second;
    }
    std::string text(const std::string& name, const std::string& fallback) const {
        return setting(name) ? *setting(name) : fallback;
    }
    double number(const std::string& name) const {
        const std::string* text = setting(name);
        char* end = nullptr;
        const double value = text ? std::strtod(text->c_str(), &end) : 0;
        if (!text || text->empty() || *end || !std::isfinite(value))
            throw errors::BadSetting(name, text ? "setting unreadable" : "setting missing", !text);
        return value;
    }
    double number(const std::string& name, double fallback) const {
        return setting(name) ? number(name) : fallback;
    }
    Time time(const std::string& name) const { return std::llround(number(name) * tenths_per_ms); }
    bool is_true(const std::string& name) const { return setting(name) && *setting(name) == "true"; }

    RouteClass route_class(const std::string& prefix) const {
        const std::string repeats = text(prefix + "repeats", "");
        if (repeats != "retriable" && repeats != "fingerprinted" && repeats != "binding")
            throw errors::BadSetting(prefix + "repeats", "setting missing or unreadable");
        return {time(prefix + "latency_goal"), time(prefix + "remembered"), repeats,
                text(prefix + "scope", "all"),
                static_cast<int>(number(prefix + "executions", number("limits.executions", 1)))};
    }
    QuotaPlan plan(const std::string& prefix) const {
        const auto of = [&](const char* name) { return number(prefix + name, 0); };
        return {of("rate") / tenths_per_second,
                of("burst"),
                of("extra_benefit"),
                of("overrun_cost"),
                of("ceiling_rate") / tenths_per_second,
                of("ceiling_burst"),
                of("parallel")};
    }
};

}  // namespace

Readings::Readings(const Settings& settings) {
    const Reader read{settings};
    timer_step = std::max<Time>(1, read.time("step"));
    fleet_size = std::max(1, static_cast<int>(read.number("gateways")));
    zone = static_cast<int>(read.number("zone", 0));
    may_cancel = read.is_true("limits.cancel");
    max_retry_after = read.is_true("limits.advice") ? read.time("limits.longest_advice") : 0;
    has_counter = read.is_true("service.counter");
    counter_timeout = has_counter ? read.time("service.count_limit") : 0;
    slow_start_window = read.time("rules.fall");
    slow_start_factor = read.number("rules.fall_multiple");
    slow_start_from = read.number("rules.cold_from");
    initial_concurrency = read.number("limits.first_places", 4);
    next_zone_penalty = read.number("limits.next_zone", 1.1);
    other_zone_penalty = read.number("limits.other_zone", 1.1);
    warm_after = std::max<Time>(1, read.time("rules.warm_after"));
    idle_timeout = read.setting("limits.idle_close") ? read.time("limits.idle_close") : 0;
    for (int n = 0; n < read.number("tracks.count"); ++n)
        route_classes.push_back(read.route_class("tracks." + std::to_string(n) + "."));
    for (int n = 0; n < read.number("plans.count", 0); ++n)
        plans.push_back(read.plan("plans." + std::to_string(n) + "."));
    if (route_classes.empty()) throw errors::BadSetting("tracks.count", "setting unreadable");
    if (read.setting("rules.ask_within")) list_request_limit = read.time("rules.ask_within");
    asks_for_list = read.text("discovery", "") == "ask";
}

}  // namespace dewweir

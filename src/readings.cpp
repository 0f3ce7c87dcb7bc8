#include "readings.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>

#include "errors/errors.h"

namespace dewweir {
namespace {

struct Reader {
    const Settings& settings;

    const std::string* setting(const std::string& name) const {
        const auto found = settings.find(name);
        return found == settings.end() ? nullptr : &found->second;
    }
    std::string text(const std::string& name, const std::string& usual) const {
        return setting(name) ? *setting(name) : usual;
    }
    double number(const std::string& name) const {
        const std::string* text = setting(name);
        char* end = nullptr;
        const double value = text ? std::strtod(text->c_str(), &end) : 0;
        if (!text || text->empty() || *end || !std::isfinite(value))
            throw errors::BadSetting(name, text ? "term unreadable" : "term missing", !text);
        return value;
    }
    double number(const std::string& name, double usual) const {
        return setting(name) ? number(name) : usual;
    }
    Time time(const std::string& name) const { return std::llround(number(name) * 10); }
    bool holds(const std::string& name) const { return setting(name) && *setting(name) == "true"; }

    RouteClass route_class(const std::string& at) const {
        const std::string repeats = text(at + "repeats", "");
        if (repeats != "retriable" && repeats != "fingerprinted" && repeats != "binding")
            throw errors::BadSetting(at + "repeats", "term missing or unreadable");
        return {time(at + "latency_goal"), time(at + "remembered"), repeats, text(at + "scope", "all")};
    }
    QuotaPlan plan(const std::string& at) const {
        const auto of = [&](const char* what) { return number(at + what, 0); };
        return {of("rate") / 10000,         of("burst"),         of("extra_benefit"), of("overrun_cost"),
                of("ceiling_rate") / 10000, of("ceiling_burst"), of("parallel")};
    }
};

}  // namespace

Readings::Readings(const Settings& settings) {
    const Reader read{settings};
    step = std::max<Time>(1, read.time("step"));
    gateways = std::max(1, static_cast<int>(read.number("gateways")));
    zone = static_cast<int>(read.number("zone", 0));
    most_attempts = static_cast<int>(read.number("limits.executions", 1));
    may_cancel = read.holds("limits.cancel");
    longest_advice = read.holds("limits.advice") ? read.time("limits.longest_advice") : 0;
    has_counter = read.holds("service.counter");
    count_limit = has_counter ? read.time("service.count_limit") : 0;
    fall = read.time("rules.fall");
    fall_multiple = read.number("rules.fall_multiple");
    cold_from = read.number("rules.cold_from");
    first_places = read.number("limits.first_places", 4);
    next_zone = read.number("limits.next_zone", 1.1);
    other_zone = read.number("limits.other_zone", 1.1);
    warm_after = std::max<Time>(1, read.time("rules.warm_after"));
    idle_close = read.setting("limits.idle_close") ? read.time("limits.idle_close") : 0;
    for (int n = 0; n < read.number("tracks.count"); ++n)
        route_classes.push_back(read.route_class("tracks." + std::to_string(n) + "."));
    for (int n = 0; n < read.number("plans.count", 0); ++n)
        plans.push_back(read.plan("plans." + std::to_string(n) + "."));
    if (route_classes.empty()) throw errors::BadSetting("tracks.count", "term unreadable");
    if (read.setting("rules.ask_within")) ask_within = read.time("rules.ask_within");
    asks = read.text("discovery", "") == "ask";
}

}  // namespace dewweir

// The table of external and internal names is the only place that has both.
#include "setting_names.h"

#include <algorithm>
#include <map>

namespace dewweir {
namespace {

// Internal name by external name.
const std::map<std::string, std::string>& name_table() {
    static const std::map<std::string, std::string> all = {
        {"profiles", "tracks"},
        {"goalTime", "latency_goal"},
        {"hardLimit", "time_limit"},
        {"idempotency", "repeats"},
        {"retryable", "retriable"},
        {"dedup", "fingerprinted"},
        {"fragile", "binding"},
        {"keyScope", "scope"},
        {"dedupWindow", "remembered"},
        {"lateValue", "late_value"},
        {"worth", "benefit"},
        {"contracts", "plans"},
        {"mostAtOnce", "burst"},
        {"hardBurst", "ceiling_burst"},
        {"neverOverRate", "ceiling_rate"},
        {"worthFactor", "benefit"},
        {"extraWorth", "extra_benefit"},
        {"overrunCost", "overrun_cost"},
        {"contract", "rules"},
        {"coldFrom", "cold_from"},
        {"warmAfter", "warm_after"},
        {"fallMultiple", "fall_multiple"},
        {"askWithin", "ask_within"},
        {"answerSlack", "answer_slack"},
        {"specifics", "service"},
        {"countLimit", "count_limit"},
        {"postPaid", "settled_later"},
        {"fleetSize", "gateways"},
        {"az", "zone"},
        {"maxAttempts", "executions"},
        {"maxRetryAfter", "longest_advice"},
        {"worstClass", "worst_track"},
        {"worstTenant", "worst_plan"},
        {"crossZone", "cross_zone"},
        {"lateFail", "late_write_off"},
        {"retryAfter", "advice"},
        {"secondCopies", "second_copies"},
        {"ceilingSlack", "ceiling_slack"},
        {"countFee", "count_fee"},
        {"dcs", "zones"},
        {"dialTimeout", "connect_within"},
        {"idleClose", "idle_close"},
    };
    return all;
}

// Translates each name of a list that this character separates.
std::string internal_names(const std::string& external, char separator) {
    std::string internal;
    for (std::size_t from = 0; from <= external.size();) {
        const std::size_t to = std::min(external.find(separator, from), external.size());
        const std::string name = external.substr(from, to - from);
        const auto known = name_table().find(name);
        internal +=
            (from ? std::string(1, separator) : "") + (known == name_table().end() ? name : known->second);
        from = to + 1;
    }
    return internal;
}

}  // namespace

void put_setting(Settings& settings, const std::string& path, const std::string& value) {
    // Names that operators have given stay as they are: a plan may well be called `worth`.
    const bool is_name = path.size() > 5 && path.compare(path.size() - 5, 5, ".name") == 0;
    settings[internal_names(path, '.')] = is_name ? value : internal_names(value, ',');
}

std::string operator_name(const std::string& internal_name) {
    std::string external;
    for (std::size_t from = 0; from <= internal_name.size();) {
        const std::size_t to = std::min(internal_name.find('.', from), internal_name.size());
        std::string part = internal_name.substr(from, to - from);
        for (const auto& [name, internal] : name_table())
            if (internal == part) {
                part = name;
                break;
            }
        external += (from ? "." : "") + part;
        from = to + 1;
    }
    return external;
}

Settings settings_of_lines(const std::string& lines) {
    Settings settings;
    for (std::size_t from = 0; from < lines.size();) {
        const std::size_t to = std::min(lines.find('\n', from), lines.size());
        const std::string line = lines.substr(from, to - from);
        const std::size_t equals = line.find('=');
        if (equals != std::string::npos)
            put_setting(settings, line.substr(0, equals), line.substr(equals + 1));
        from = to + 1;
    }
    return settings;
}

}  // namespace dewweir

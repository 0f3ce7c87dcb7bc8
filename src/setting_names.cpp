// Our words for the settings of the wire; the table is the only place where the two meet.
#include "setting_names.h"

#include <algorithm>
#include <map>

namespace dewweir {
namespace {

const std::map<std::string, std::string>& words() {
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

std::string our_words(const std::string& wire_words, char between) {
    std::string ours;
    for (std::size_t from = 0; from <= wire_words.size();) {
        const std::size_t to = std::min(wire_words.find(between, from), wire_words.size());
        const std::string word = wire_words.substr(from, to - from);
        const auto known = words().find(word);
        ours += (from ? std::string(1, between) : "") + (known == words().end() ? word : known->second);
        from = to + 1;
    }
    return ours;
}

}  // namespace

void put_setting(Settings& settings, const std::string& path, const std::string& value) {
    // What operators have named is theirs: a plan may well be called `worth`.
    const bool named = path.size() > 5 && path.compare(path.size() - 5, 5, ".name") == 0;
    settings[our_words(path, '.')] = named ? value : our_words(value, ',');
}

std::string operator_name(const std::string& ours) {
    std::string theirs;
    for (std::size_t from = 0; from <= ours.size();) {
        const std::size_t to = std::min(ours.find('.', from), ours.size());
        std::string word = ours.substr(from, to - from);
        for (const auto& [wire, our] : words())
            if (our == word) {
                word = wire;
                break;
            }
        theirs += (from ? "." : "") + word;
        from = to + 1;
    }
    return theirs;
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

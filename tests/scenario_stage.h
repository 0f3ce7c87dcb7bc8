// The Gateway of the text scenarios: records the actions that it is asked for, and does none of them.
#pragma once

#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir {

struct Stage : Gateway {
    Time now = 10000000;
    std::multimap<Time, std::uint64_t> timers;
    std::vector<std::pair<std::uint64_t, double>> asked;
    std::map<std::uint64_t, double> counts;
    std::map<std::uint32_t, int> runs, on;
    std::vector<std::string> seen;
    Time last_advice = 0;
    std::map<std::uint64_t, double> others;  // corroborated total of each counter name

    void saw(const std::string& what, std::uint32_t id) { seen.push_back(what + " " + std::to_string(id)); }
    void start_attempt(std::uint32_t id, std::uint32_t host, Time) override {
        ++runs[id], on[id] = static_cast<int>(host);
        seen.push_back("execute " + std::to_string(id) + " on " + std::to_string(host));
    }
    void refuse(std::uint32_t id, Time advice) override { saw("bounce", id), last_advice = advice; }
    void fail(std::uint32_t id) override { saw("write_off", id); }
    void cancel(std::uint32_t id, int) override { saw("cancel", id); }
    void add_to_counter(std::uint64_t name, double amount, Time) override {
        asked.emplace_back(name, amount);
        std::ostringstream text;
        text << "count " << amount;
        seen.push_back(text.str());
    }
    void start_timer(Time from_now, std::uint64_t token) override { timers.emplace(now + from_now, token); }
    void cancel_timer(std::uint64_t token) override {
        std::erase_if(timers, [&](const auto& timer) { return timer.second == token; });
    }
    void watch_host_list() override { seen.push_back("follow"); }
    void log(LogEvent, std::uint32_t, const std::string&) override {}
    void report_decisions(const DecisionCounts&) override {}
    double corroborated_total(std::uint64_t name) const override {
        const auto known = others.find(name);
        return known == others.end() ? 0 : known->second;
    }
};

}  // namespace dewweir

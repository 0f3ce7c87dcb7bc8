#include "trial_report.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "chart.h"
#include "trial_setup.h"

namespace dewweir::rig {
namespace {

using nlohmann::json;

constexpr Time a_second = 10000;

unsigned long long whole(std::uint64_t n) { return n; }

// What came to each host, by tenths of a second.
json pieces_of(const TrialSeen& t) {
    json all = json::object();
    for (const auto& [id, host] : t.stage.hosts()) {
        std::vector<std::uint32_t> tenths;
        for (const Time at : host->taken_at()) {
            const auto n = static_cast<std::size_t>(std::max<Time>(0, at - t.began) / (a_second / 10));
            if (n >= tenths.size()) tenths.resize(n + 1);
            ++tenths[n];
        }
        all[id] = tenths;
    }
    return all;
}

json report_of(const TrialSeen& t) {
    json rules = json::array();
    for (const Referee::Break& one : t.referee.breaks())
        rules.push_back({{"rule", one.rule},
                         {"at_s", static_cast<double>(one.at - t.began) / a_second},
                         {"what", one.what}});
    json events = json::array();
    for (const auto& [at, what] : t.events) events.push_back({at, what});
    return {{"what", "dewweir trial"},
            {"seed", t.plan.seed},
            {"gateways", t.plan.gateways},
            {"hosts", t.plan.hosts},
            {"seconds", t.plan.seconds},
            {"load_times", t.plan.load},
            {"cut_short", t.cut},
            {"goal_ms", trial_goal_ms},
            {"limit_ms", trial_limit_ms},
            {"load", t.load.report()},
            {"executions", t.referee.executions()},
            {"counter_calls", t.stage.counter().calls()},
            {"units_sent_on", t.referee.units()},
            {"units_beyond_quota", t.referee.units_beyond()},
            {"pieces_by_tenth", pieces_of(t)},
            {"rules_broken", rules},
            {"links", t.links.report()},
            {"rollout", t.rollout},
            {"faults", t.faults},
            {"events", events}};
}

void tell_gateways(const TrialSeen& t) {
    if (t.load.gateways().size() < 2) return;
    std::printf("%-12s %7s %9s %8s %8s %8s %6s %8s %11s\n", "gateway", "tries", "delivered", "in goal",
                "bounced", "written", "lost", "excused", "unconnected");
    int number = 0;
    for (const Load::AtGateway& one : t.load.gateways())
        std::printf("gateway-%-4d %7llu %9llu %8llu %8llu %8llu %6llu %8llu %11llu\n", ++number,
                    whole(one.tries), whole(one.delivered), whole(one.in_goal), whole(one.bounced),
                    whole(one.written_off), whole(one.unanswered), whole(one.excused),
                    whole(one.unconnected));
}

// Those alone that stopped, delayed or broke anything.
void tell_links(const TrialSeen& t) {
    const json links = t.links.report();
    for (const auto& [name, counts] : links.items()) {
        std::string troubled;
        for (const auto& [what, n] : counts.items())
            if (what != "connections" && what.rfind("bytes_there", 0) && what.rfind("bytes_back", 0) &&
                n != 0)
                troubled += (troubled.empty() ? "" : ", ") + what + " " + n.dump();
        if (!troubled.empty()) std::printf("link %-24s %s\n", name.c_str(), troubled.c_str());
    }
}

}  // namespace

TrialEnd tell(TrialSeen& t) {
    std::printf("%-8s %7s %9s %9s %8s %8s %7s %6s %8s %8s %9s\n", "plan", "asked", "delivered", "bounced+",
                "bounced", "written", "lost", "late", "p50 ms", "p99 ms", "p99.9 ms");
    for (const PlanResult& one : t.load.results())
        std::printf("%-8s %7llu %9llu %9llu %8llu %8llu %7llu %6llu %8.1f %8.1f %9.1f\n", one.name.c_str(),
                    static_cast<unsigned long long>(one.asked),
                    static_cast<unsigned long long>(one.delivered),
                    static_cast<unsigned long long>(one.bounced_advised),
                    static_cast<unsigned long long>(one.bounced_plain),
                    static_cast<unsigned long long>(one.written_off),
                    static_cast<unsigned long long>(one.unanswered + one.unconnected),
                    static_cast<unsigned long long>(one.delivered - one.in_goal), one.latencies.quantile(0.5),
                    one.latencies.quantile(0.99), one.latencies.quantile(0.999));
    std::uint64_t after_limit = 0;
    for (const PlanResult& one : t.load.results()) after_limit += one.after_limit;
    if (after_limit)
        std::printf("%llu final answers came after the client's limit: worth nothing, though not lost\n",
                    whole(after_limit));
    std::printf(
        "bounced+: with advice when to come back; written: written off; latencies from the intended "
        "moment, within %.0f%%\n",
        100 * Latencies::relative_error);
    std::printf(
        "sent on beyond quotas: %.0f of %.0f units (%.1f%%); executions: %llu; calls to the counter: "
        "%llu\n",
        t.referee.units_beyond(), t.referee.units(),
        t.referee.units() > 0 ? 100 * t.referee.units_beyond() / t.referee.units() : 0,
        static_cast<unsigned long long>(t.referee.executions()),
        static_cast<unsigned long long>(t.stage.counter().calls()));
    tell_gateways(t);
    tell_links(t);
    if (!t.rollout.empty()) std::printf("rolling change: %s\n", t.rollout.c_str());
    for (int rule = 1; rule <= 5; ++rule) {
        const auto& breaks = t.referee.breaks();
        const auto of = [rule](const Referee::Break& one) { return one.rule == rule; };
        const auto n = std::count_if(breaks.begin(), breaks.end(), of);
        static const char* const names[] = {"one final answer", "no effect twice", "drains kept",
                                            "no cold host pushed over", "ceilings kept"};
        const auto first = std::find_if(breaks.begin(), breaks.end(), of);
        std::printf("rule %d, %-25s %s%s\n", rule, names[rule - 1],
                    n ? ("BROKEN " + std::to_string(n) + " times, first: " + first->what).c_str()
                    : rule == 5 && !t.plan.ceiling ? "not played: no plan here has a ceiling"
                                                   : "held",
                    "");
    }
    for (const std::string& fault : t.faults) std::printf("fault: %s\n", fault.c_str());
    if (!t.load.valid())
        std::printf(
            "INVALID: %llu of %llu sends were more than 10 ms behind their schedule (worst %.0f ms): "
            "this machine was too busy\n",
            static_cast<unsigned long long>(t.load.behind()), static_cast<unsigned long long>(t.load.sent()),
            static_cast<double>(t.load.worst_lag()) / 10);
    if (t.cut) std::printf("cut short: what there was until then\n");
    if (!t.plan.json_file.empty()) {
        std::ofstream out(t.plan.json_file);
        out << report_of(t).dump(1) << '\n';
        if (!out.flush())
            t.faults.push_back("cannot write " + t.plan.json_file),
                std::printf("fault: %s\n", t.faults.back().c_str());
    }
    if (!t.plan.chart_file.empty())
        std::printf("%s\n", draw_trial(t.load, t.events, t.plan.chart_file).c_str());
    const bool rules_held = t.referee.breaks().empty() && t.faults.empty();
    return trial_end(rules_held, t.load.valid(), t.cut);
}

TrialEnd trial_end(bool rules_held, bool on_schedule, bool cut_short) {
    if (!rules_held) return TrialEnd::broken;
    if (cut_short) return TrialEnd::cut_short;
    return on_schedule ? TrialEnd::held : TrialEnd::invalid;
}

}  // namespace dewweir::rig

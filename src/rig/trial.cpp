#include "trial.h"

#include <sys/resource.h>

#include <algorithm>
#include <asio/signal_set.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "chart.h"
#include "gateways.h"
#include "load.h"
#include "stage.h"

namespace dewweir::rig {
namespace {

using nlohmann::json;

constexpr Time a_second = 10000;
constexpr double goal_ms = 500, limit_ms = 2000, grace_ms = 1000;
constexpr double plan_window_s = 3;  // burst over rate
constexpr int gateway_sockets = 512;

// The customers of the trial: two plans used well within their quotas, and one whose customers ask three
// times theirs.
struct Plan {
    const char* name;
    double rate;  // quota, units a second
    int customers;
    double asked;  // as a part of the quota
};
constexpr Plan plans[] = {{"small", 2, 30, 0.5}, {"large", 20, 6, 0.6}, {"greedy", 5, 4, 3}};

void raise_descriptors(const TrialPlan& plan) {
    // A client and a host connection for each of a busy second's submissions, a margin, and what the gateways
    // reach us by.
    const rlim_t need = 512 + static_cast<rlim_t>(plan.gateways) * static_cast<rlim_t>(plan.hosts) * 16;
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur >= need) return;
    limit.rlim_cur = std::min(need, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < need)
        throw std::runtime_error("this process may hold " + std::to_string(limit.rlim_max) +
                                 " descriptors; a trial of this size needs " + std::to_string(need) +
                                 " (raise the limit, or ask for fewer gateways or hosts)");
}

std::string configuration(const TrialPlan& plan, int number, const tcp::endpoint& at,
                          const std::string& known, const tcp::endpoint& discovery,
                          const tcp::endpoint& counter) {
    json contracts = json::array();
    for (const Plan& p : plans)
        contracts.push_back({{"name", p.name},
                             {"rate", p.rate},
                             {"mostAtOnce", p.rate * plan_window_s},
                             {"extraWorth", 0.0},
                             {"overrunCost", 0.5}});
    const json settings = {{"step", 2.0},
                           {"az", 0},
                           {"fleetSize", plan.gateways},
                           {"discovery", "push"},
                           {"dcs", {"a"}},
                           {"limits",
                            {{"maxAttempts", 3},
                             {"cancel", true},
                             {"retryAfter", true},
                             {"maxRetryAfter", limit_ms},
                             {"dialTimeout", 250.0},
                             {"idleClose", 15000.0}}},
                           {"specifics", {{"counter", true}, {"countLimit", 50.0}, {"largest", 1}}},
                           {"contract",
                            {{"fall", 2000.0},
                             {"fallMultiple", 3.0},
                             {"coldFrom", 0.3},
                             {"warmAfter", 8000.0},
                             {"askWithin", 10000.0},
                             {"stopSendingWithin", grace_ms}}},
                           {"profiles", json::array({{{"name", "check"},
                                                      {"goalTime", goal_ms},
                                                      {"hardLimit", limit_ms},
                                                      {"idempotency", "retryable"},
                                                      {"keyScope", "all"},
                                                      {"dedupWindow", 5000.0}}})},
                           {"contracts", contracts}};
    char seed[17];
    std::snprintf(seed, sizeof seed, "%llx",
                  static_cast<unsigned long long>(plan.seed * 1000003 + static_cast<std::uint64_t>(number)));
    return json{{"name", "gateway-" + std::to_string(number)},
                {"listen", text_of(at)},
                {"discovery", text_of(discovery)},
                {"counter", text_of(counter)},
                {"seed", seed},
                {"limits", {{"sockets", gateway_sockets}}},
                {"known", json::parse(known)},
                {"settings", settings}}
        .dump(1);
}

std::string usual_script(double seconds) {
    const auto at = [&](double part) {
        char text[32];
        std::snprintf(text, sizeof text, "%.0fms", part * seconds * 1000);
        return std::string(text);
    };
    return "[[trouble]]\nat = \"" + at(0.25) + "\"\nwhat = \"die\"\nwhom = \"counter\"\nfor = \"" + at(0.15) +
           "\"\n[[trouble]]\nat = \"" + at(0.45) + "\"\nwhat = \"die\"\nwhom = \"host-2\"\nfor = \"" +
           at(0.15) + "\"\n[[trouble]]\nat = \"" + at(0.65) +
           "\"\nwhat = \"drain\"\nwhom = \"host-1\"\nfor = \"" + at(0.1) + "\"\n[[trouble]]\nat = \"" +
           at(0.8) + "\"\nwhat = \"slow\"\nwhom = \"host-1\"\namount = 4\nfor = \"" + at(0.1) + "\"\n";
}

// A port that was free a moment ago: held by nobody until the gateway listens on it.
tcp::endpoint free_port(Loop& loop) {
    tcp::acceptor holder(loop.io, loopback());
    return holder.local_endpoint();
}

class Trial {
  public:
    explicit Trial(const TrialPlan& plan)
        : plan_(plan),
          loop_(8192),
          referee_(quotas(), std::llround(grace_ms * 10) + 500),  // sockets have 50 ms more
          stage_(loop_, &referee_, names()),
          gateways_(plan.program, plan.log_folder) {}

    TrialEnd run() {
        build();
        gateways_.wait_until_ready(10 * a_second);
        loop_.deadlines.turn();
        asio::signal_set ends(loop_.io, SIGINT, SIGTERM);
        ends.async_wait([this](const std::error_code& fault, int) {
            if (fault) return;
            cut_ = true;
            load_->stop();
        });
        stage_.play(script_, [this](const std::string& what) { seen(what); });
        began_ = loop_.deadlines.now();
        load_->start();
        look();
        loop_.run();
        const bool clean = gateways_.end(std::llround(limit_ms * 10) + 2 * a_second);
        if (!clean) faults_.push_back("not every gateway ended clean on SIGTERM");
        return tell();
    }

  private:
    static std::vector<Quota> quotas() {
        std::vector<Quota> all;
        for (const Plan& p : plans) all.push_back({p.rate / a_second, p.rate * plan_window_s});
        return all;
    }
    static HostService::Names names() {
        HostService::Names all;
        for (const Plan& p : plans) all.plans.push_back(p.name);
        return all;
    }

    void build() {
        for (int n = 1; n <= plan_.hosts; ++n) {
            model::HostTraits traits{.cores = 2, .work = 300};
            traits.warms_in = 80000, traits.cold_from = 0.3, traits.fall = 20000;
            stage_.add_host("host-" + std::to_string(n), traits,
                            plan_.seed * 31 + static_cast<std::uint64_t>(n), loopback());
        }
        stage_.add_counter({.parts = 2, .each = 5, .line = 64}, loopback());
        stage_.add_discovery(loopback(), 2000);
        const std::string script = plan_.script_file.empty() ? usual_script(plan_.seconds) : "";
        script_ = plan_.script_file.empty() ? parse_script(script, "the usual script", stage_.there())
                                            : read_script(plan_.script_file, stage_.there());
        for (const auto& [id, host] : stage_.hosts()) stage_.discovery().put({id, host->address()});
        const std::string list = stage_.discovery().whole();
        LoadPlan load;
        for (int n = 1; n <= plan_.gateways; ++n) {
            const tcp::endpoint at = free_port(loop_);
            gateways_.start(
                "gateway-" + std::to_string(n), at,
                configuration(plan_, n, at, list, stage_.discovery().address(), stage_.counter().address()));
            load.gateways.push_back(at);
        }
        for (const Plan& p : plans)
            load.plans.push_back({p.name, p.customers, p.rate * p.asked * plan_.load});
        load.goal = std::llround(goal_ms * 10);
        load.limit = std::llround(limit_ms * 10);
        load.length = std::llround(plan_.seconds * a_second);
        load.seed = plan_.seed;
        load_ = std::make_unique<Load>(loop_, load, &referee_, [this] { loop_.io.stop(); });
    }

    void seen(const std::string& what) {
        const double at = static_cast<double>(loop_.deadlines.now() - began_) / a_second;
        events_.push_back({at, what});
        if (plan_.progress) std::fprintf(stderr, "%6.1f s  %s\n", at, what.c_str());
    }

    // Once a second: progress, and whether every gateway still runs.
    void look() {
        loop_.deadlines.after(a_second, [this] {
            for (const std::string& name : gateways_.gone()) {
                faults_.push_back(name + " has ended by itself: " + gateways_.last_words(name));
                load_->stop();
            }
            if (const auto& seconds = load_->seconds(); plan_.progress && !seconds.empty()) {
                const Load::Second& last = seconds.size() > 1 ? seconds[seconds.size() - 2] : seconds.back();
                std::fprintf(stderr,
                             "%6.1f s  asked %4llu  delivered in time %4llu  bounced %4llu  open %zu\n",
                             static_cast<double>(loop_.deadlines.now() - began_) / a_second,
                             static_cast<unsigned long long>(last.asked),
                             static_cast<unsigned long long>(last.in_goal),
                             static_cast<unsigned long long>(last.bounced), load_->open());
            }
            look();
        });
    }

    json report() const {
        json rules = json::array();
        for (const Referee::Break& one : referee_.breaks())
            rules.push_back({{"rule", one.rule},
                             {"at_s", static_cast<double>(one.at - began_) / a_second},
                             {"what", one.what}});
        json events = json::array();
        for (const auto& [at, what] : events_) events.push_back({at, what});
        return {{"what", "dewweir trial"},
                {"seed", plan_.seed},
                {"gateways", plan_.gateways},
                {"hosts", plan_.hosts},
                {"seconds", plan_.seconds},
                {"load_times", plan_.load},
                {"cut_short", cut_},
                {"goal_ms", goal_ms},
                {"limit_ms", limit_ms},
                {"load", load_->report()},
                {"executions", referee_.executions()},
                {"counter_calls", stage_.counter().calls()},
                {"units_sent_on", referee_.units()},
                {"units_beyond_quota", referee_.units_beyond()},
                {"rules_broken", rules},
                {"faults", faults_},
                {"events", events}};
    }

    TrialEnd tell() {
        std::printf("%-8s %7s %9s %9s %8s %8s %7s %6s %8s %8s %9s\n", "plan", "asked", "delivered",
                    "bounced+", "bounced", "written", "lost", "late", "p50 ms", "p99 ms", "p99.9 ms");
        for (const PlanResult& one : load_->results())
            std::printf(
                "%-8s %7llu %9llu %9llu %8llu %8llu %7llu %6llu %8.1f %8.1f %9.1f\n", one.name.c_str(),
                static_cast<unsigned long long>(one.asked), static_cast<unsigned long long>(one.delivered),
                static_cast<unsigned long long>(one.bounced_advised),
                static_cast<unsigned long long>(one.bounced_plain),
                static_cast<unsigned long long>(one.written_off),
                static_cast<unsigned long long>(one.unanswered + one.unconnected),
                static_cast<unsigned long long>(one.delivered - one.in_goal), one.latencies.quantile(0.5),
                one.latencies.quantile(0.99), one.latencies.quantile(0.999));
        std::printf(
            "bounced+: with advice when to come back; written: written off; latencies from the intended "
            "moment, within %.0f%%\n",
            100 * Latencies::relative_error);
        std::printf(
            "sent on beyond quotas: %.0f of %.0f units (%.1f%%); executions: %llu; calls to the counter: "
            "%llu\n",
            referee_.units_beyond(), referee_.units(),
            referee_.units() > 0 ? 100 * referee_.units_beyond() / referee_.units() : 0,
            static_cast<unsigned long long>(referee_.executions()),
            static_cast<unsigned long long>(stage_.counter().calls()));
        for (int rule = 1; rule <= 5; ++rule) {
            const auto& breaks = referee_.breaks();
            const auto of = [rule](const Referee::Break& one) { return one.rule == rule; };
            const auto n = std::count_if(breaks.begin(), breaks.end(), of);
            static const char* const names[] = {"one final answer", "no effect twice", "drains kept",
                                                "no cold host pushed over", "ceilings kept"};
            const auto first = std::find_if(breaks.begin(), breaks.end(), of);
            std::printf("rule %d, %-25s %s%s\n", rule, names[rule - 1],
                        n ? ("BROKEN " + std::to_string(n) + " times, first: " + first->what).c_str()
                        : rule == 5 ? "not played: no plan here has a ceiling"
                                    : "held",
                        "");
        }
        for (const std::string& fault : faults_) std::printf("fault: %s\n", fault.c_str());
        if (!load_->valid())
            std::printf(
                "INVALID: %llu of %llu sends were more than 10 ms behind their schedule (worst %.0f ms): "
                "this machine was too busy\n",
                static_cast<unsigned long long>(load_->behind()),
                static_cast<unsigned long long>(load_->sent()), static_cast<double>(load_->worst_lag()) / 10);
        if (cut_) std::printf("cut short: what there was until then\n");
        if (!plan_.json_file.empty()) {
            std::ofstream out(plan_.json_file);
            out << report().dump(1) << '\n';
            if (!out.flush())
                faults_.push_back("cannot write " + plan_.json_file),
                    std::printf("fault: %s\n", faults_.back().c_str());
        }
        if (!plan_.chart_file.empty())
            std::printf("%s\n", draw_trial(*load_, events_, plan_.chart_file).c_str());
        if (!referee_.breaks().empty() || !faults_.empty()) return TrialEnd::broken;
        if (!load_->valid()) return TrialEnd::invalid;
        return cut_ ? TrialEnd::cut_short : TrialEnd::held;
    }

    const TrialPlan& plan_;
    Loop loop_;
    Referee referee_;
    Stage stage_;
    Gateways gateways_;
    std::vector<Trouble> script_;
    std::unique_ptr<Load> load_;
    std::vector<std::pair<double, std::string>> events_;
    std::vector<std::string> faults_;
    Time began_ = 0;
    bool cut_ = false;
};

}  // namespace

TrialEnd run_trial(const TrialPlan& plan) {
    raise_descriptors(plan);
    return Trial(plan).run();
}

}  // namespace dewweir::rig

#include "trial.h"

#include <algorithm>
#include <asio/signal_set.hpp>
#include <cmath>
#include <cstdio>
#include <memory>

#include "gateways.h"
#include "load.h"
#include "rolling_change.h"
#include "stage.h"
#include "trial_report.h"
#include "trial_setup.h"

namespace dewweir::rig {
namespace {

constexpr Time a_second = 10000;

class Trial {
  public:
    explicit Trial(const TrialPlan& plan)
        : plan_(plan),
          loop_(8192),
          referee_(trial_quotas(plan), std::llround(trial_grace_ms * 10) + 500),  // sockets have 50 ms more
          stage_(loop_, &referee_, names(plan)),
          links_(loop_, plan.seed),
          gateways_(plan.program, plan.log_folder) {}

    TrialEnd run() {
        build();
        if (rolling_) rolling_->start();
        gateways_.wait_until_ready(10 * a_second);
        loop_.deadlines.update_now();
        asio::signal_set ends(loop_.io, SIGINT, SIGTERM);
        ends.async_wait([this](const std::error_code& fault, int) {
            if (fault) return;
            cut_ = true;
            load_->stop();
        });
        stage_.play(script_, [this](const std::string& what) { seen(what); });
        began_ = loop_.deadlines.now();
        load_->start();
        if (rolling_ && plan_.rollout->back_at > 0)
            loop_.deadlines.after(std::llround(plan_.rollout->back_at * a_second),
                                  [this] { rolling_->back(); });
        look();
        loop_.run();
        if (rolling_) {
            rolling_->end(2 * a_second);  // nobody starts a gateway after that
            for (const std::string& one : rolling_->news()) seen(one);
        }
        const bool clean = gateways_.end(std::llround(trial_limit_ms * 10) + 2 * a_second);
        if (!clean) faults_.push_back("not every gateway ended clean on SIGTERM");
        TrialSeen seen{plan_,   *load_,  referee_, stage_, links_,
                       events_, faults_, began_,   cut_,   rolling_ ? rolling_->phase() : ""};
        return tell(seen);
    }

  private:
    static HostService::Names names(const TrialPlan& plan) {
        HostService::Names all;
        for (const TrialCustomers& p : trial_customers(plan)) all.plans.push_back(p.name);
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
        const std::vector<std::string> names =
            trial_names(plan_.gateways, plan_.hosts, plan_.rollout.has_value(), plan_.members);
        script_ = plan_.script_file.empty()
                      ? parse_script(usual_script(plan_.seconds), "the usual script", names)
                      : read_script(plan_.script_file, names);
        const bool links = plan_.links || plan_.rollout ||
                           std::any_of(script_.begin(), script_.end(),
                                       [](const Trouble& t) { return sort_of(t.whoms.front()) == "link"; });
        stage_.with(&links_, &gateways_);
        for (const auto& [id, host] : stage_.hosts()) stage_.discovery().put({id, host->address()});
        if (plan_.rollout)
            rolling_ = std::make_unique<RollingChange>(*plan_.rollout, plan_.program, gateways_.folder());
        std::map<std::string, std::string> datagrams_at;
        std::map<std::string, std::map<std::string, std::string>> reach;
        if (plan_.members) join_members(datagrams_at, reach);
        const std::vector<tcp::endpoint> ports = free_ports(loop_, plan_.gateways);
        LoadPlan load;
        for (int n = 1; n <= plan_.gateways; ++n) {
            const std::string name = "gateway-" + std::to_string(n);
            const tcp::endpoint at = ports[static_cast<std::size_t>(n - 1)];
            const tcp::endpoint counter =
                links ? links_.add(name, "counter", stage_.counter().address()).address()
                      : stage_.counter().address();
            const bool later = std::any_of(script_.begin(), script_.end(), [&](const Trouble& t) {
                return t.what == "absent" && std::find(t.whoms.begin(), t.whoms.end(), name) != t.whoms.end();
            });
            const std::string told = configuration(n, name, at, counter, links);
            if (rolling_)
                rolling_->add(gateways_, name, at, told, configuration(n, "new-" + name, at, counter, links));
            else
                gateways_.start(name, at, told, later,
                                plan_.members ? trial_operator(plan_, gateways_.folder(), name,
                                                               datagrams_at[name], reach[name])
                                              : "");
            load.gateways.push_back(links ? links_.add("clients", name, at).address() : at);
        }
        for (const TrialCustomers& p : trial_customers(plan_))
            load.plans.push_back({p.name, p.customers, p.rate * p.asked * plan_.load});
        load.excused = [this](std::size_t gateway, Time from, Time to) {
            return stage_.excused("gateway-" + std::to_string(gateway + 1), from, to);
        };
        load.goal = std::llround(trial_goal_ms * 10);
        load.gathered = plan_.gathered;
        load.limit = std::llround(trial_limit_ms * 10);
        load.length = std::llround(plan_.seconds * a_second);
        load.seed = plan_.seed;
        load_ = std::make_unique<Load>(loop_, load, &referee_, [this] { loop_.io.stop(); });
    }

    // A link for datagrams between any two gateways; where each listens, and where it reaches the others.
    void join_members(std::map<std::string, std::string>& at,
                      std::map<std::string, std::map<std::string, std::string>>& reach) {
        std::vector<udp::socket> really;
        const auto name = [](int n) { return "gateway-" + std::to_string(n + 1); };
        const auto text = [](const udp::endpoint& end) {
            return end.address().to_string() + ":" + std::to_string(end.port());
        };
        for (int n = 0; n < plan_.gateways; ++n) {
            really.push_back(held_datagram_port(loop_));
            at[name(n)] = text(really.back().local_endpoint());
        }
        for (int a = 0; a < plan_.gateways; ++a)
            for (int b = a + 1; b < plan_.gateways; ++b) {
                DatagramLink& link = links_.add_datagrams(name(a), name(b));
                link.join(really[static_cast<std::size_t>(a)].local_endpoint(),
                          really[static_cast<std::size_t>(b)].local_endpoint());
                reach[name(a)][name(b)] = text(link.near_a());
                reach[name(b)][name(a)] = text(link.near_b());
            }
    }

    // What gateway n is told, by its links to hosts and discovery: those that begin with `name`.
    std::string configuration(int n, const std::string& name, const tcp::endpoint& at,
                              const tcp::endpoint& counter, bool links) {
        if (!links)
            return trial_configuration(plan_, n, at, stage_.discovery().whole(0),
                                       stage_.discovery().address(), counter);
        std::map<std::string, tcp::endpoint> hosts;
        for (const auto& [id, host] : stage_.hosts())
            hosts[id] = links_.add(name, id, host->address()).address();
        const std::size_t view = stage_.discovery().add_view(std::move(hosts));
        const Link& discovery = links_.add(name, "discovery", stage_.discovery().address(view));
        return trial_configuration(plan_, n, at, stage_.discovery().whole(view), discovery.address(),
                                   counter);
    }

    void seen(const std::string& what) {
        const double at = static_cast<double>(loop_.deadlines.now() - began_) / a_second;
        events_.push_back({at, what});
        if (plan_.progress) std::fprintf(stderr, "%6.1f s  %s\n", at, what.c_str());
    }

    // Once a second: news of a rolling change, progress, and whether every gateway still runs.
    void look() {
        loop_.deadlines.after(a_second, [this] {
            if (rolling_)
                for (const std::string& one : rolling_->news()) seen(one);
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

    const TrialPlan& plan_;
    Loop loop_;
    Referee referee_;
    Stage stage_;
    Links links_;
    Gateways gateways_;
    std::vector<Trouble> script_;
    std::unique_ptr<RollingChange> rolling_;
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

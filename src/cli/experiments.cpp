// trial, stand-in, load: experiments on this machine.
#include <asio/signal_set.hpp>
#include <cmath>
#include <fstream>
#include <functional>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <sstream>

#include "arguments.h"
#include "commands.h"
#include "errors/errors.h"
#include "rig/load.h"
#include "rig/stage.h"
#include "rig/trial.h"

namespace dewweir::cli {
namespace {

using asio::ip::tcp;

constexpr double tenths_a_ms = 10;

Time tenths(double ms) { return std::llround(ms * tenths_a_ms); }

// A stage alone, until SIGINT or SIGTERM.
int stand_in(const std::string& faults, const std::function<void(rig::Stage&)>& build) {
    rig::Loop loop(8192);
    rig::Stage stage(loop, nullptr, {});
    build(stage);
    std::vector<rig::Trouble> script;
    if (!faults.empty()) script = rig::read_script(faults, stage.there());
    asio::signal_set ends(loop.io, SIGINT, SIGTERM);
    ends.async_wait([&](const std::error_code& fault, int) {
        if (!fault) loop.io.stop();
    });
    stage.play(script, [](const std::string& what) { std::cout << what << std::endl; });
    loop.run();
    return fine;
}

int generate(const rig::LoadPlan& plan, const std::string& json_file) {
    rig::Loop loop(8192);
    rig::Load load(loop, plan, nullptr, [&] { loop.io.stop(); });
    asio::signal_set ends(loop.io, SIGINT, SIGTERM);
    ends.async_wait([&](const std::error_code& fault, int) {
        if (!fault) load.stop();
    });
    load.start();
    loop.run();
    const std::string text = load.report().dump(1);
    if (json_file.empty()) std::cout << text << '\n';
    else if (!(std::ofstream(json_file) << text << '\n')) {
        std::cerr << "dewweir: cannot write " << json_file << '\n';
        return cannot;
    }
    if (load.valid()) return fine;
    std::cerr << "dewweir: load: INVALID: " << load.behind() << " of " << load.sent()
              << " sends were behind their schedule\n";
    return found_fault;
}

rig::PlanLoad plan_of(const std::string& text) {
    std::istringstream in(text);
    rig::PlanLoad plan;
    std::string customers, rate;
    std::getline(in, plan.name, ':');
    std::getline(in, customers, ':');
    std::getline(in, rate);
    char *first = nullptr, *second = nullptr;
    plan.customers = static_cast<int>(std::strtol(customers.c_str(), &first, 10));
    plan.rate = std::strtod(rate.c_str(), &second);
    if (plan.name.empty() || customers.empty() || rate.empty() || *first || *second || plan.customers < 1 ||
        plan.rate < 0)
        throw CLI::ValidationError(
            text, "must be NAME:CUSTOMERS:RATE, as small:30:1.5 (submissions a second of each)");
    return plan;
}

struct TrialOptions {
    rig::TrialPlan trial;
    rig::TrialRollout rollout;
    bool quiet = false, rolls = false;
};

struct StandOptions {
    std::string listen = "127.0.0.1:0", faults;
    double work_ms = 20, warms_ms = 8000, each_ms = 0.5, delay_ms = 0;
    std::uint64_t seed = 1;
    model::HostTraits traits;
    model::CounterTraits counter;
    std::vector<std::string> listed;
};

struct LoadOptions {
    rig::LoadPlan load;
    std::vector<std::string> gateways, plans;
    double seconds = 30, goal_ms = 1000, limit_ms = 4000, wait_ms = 100, lag_ms = 10;
    bool ignores_advice = false, no_keep_alive = false;
    std::string json_file;
};

void add_trial(CLI::App& app, int& end) {
    const auto o = std::make_shared<TrialOptions>();
    CLI::App* const tried =
        app.add_subcommand("trial", "gateways, hosts, counter and load on this machine, with troubles");
    tried->add_option("--seconds", o->trial.seconds, "of load")
        ->check(CLI::Range(1.0, 3600.0))
        ->capture_default_str();
    tried->add_option("--gateways", o->trial.gateways, "processes")
        ->check(CLI::Range(1, 32))
        ->capture_default_str();
    tried->add_option("--hosts", o->trial.hosts, "stand-ins")
        ->check(CLI::Range(2, 64))
        ->capture_default_str();
    tried->add_option("--load", o->trial.load, "times the usual")
        ->check(CLI::Range(0.01, 100.0))
        ->capture_default_str();
    tried->add_option("--seed", o->trial.seed, "of arrivals and of the stand-ins")->capture_default_str();
    tried->add_flag("--links", o->trial.links, "relays between all, as a script that names a link has them");
    tried->add_option("--faults", o->trial.script_file, "a script of troubles instead of the usual one");
    tried->add_flag("--ceiling", o->trial.ceiling, "a further plan, with a ceiling that its customers pass");
    tried->add_flag("--members", o->trial.members,
                    "gateways tell each other what they find, over links of their own");
    tried->add_flag("!--no-verdicts", o->trial.verdicts, "with --members: who is there, and no more");
    tried->add_flag("!--no-rights", o->trial.rights, "with --members: parts of quotas do not move");
    tried->add_flag("--gathered", o->trial.gathered, "each customer comes to one gateway alone");
    tried->add_flag("--rollout", o->rolls, "a rolling change under way, by its own controller");
    tried->add_option("--new", o->rollout.new_program, "what it brings; left out: this very program")
        ->check(CLI::ExistingFile);
    tried->add_option("--back-at", o->rollout.back_at, "it is taken back at this second; 0: it is not")
        ->check(CLI::Range(0.0, 3600.0))
        ->capture_default_str();
    tried->add_option("--stage-seconds", o->rollout.least_time, "of each of its stages, at the least")
        ->check(CLI::Range(1.0, 3600.0))
        ->capture_default_str();
    tried->add_flag("--at-one-go", o->rollout.at_one_go, "it has one stage, of all gateways");
    tried->add_option("--json", o->trial.json_file, "write the result there");
    tried->add_option("--chart", o->trial.chart_file, "draw the seconds there, as SVG (needs gnuplot)");
    tried->add_option("--logs", o->trial.log_folder, "keep the gateways' configurations and logs there");
    tried->add_flag("--quiet", o->quiet, "no progress");
    tried->callback([o, &end] {
        o->trial.program = gateway_file();
        o->trial.progress = !o->quiet;
        if (o->rolls) o->trial.rollout = o->rollout;
        end = static_cast<int>(rig::run_trial(o->trial));
    });
}

void add_stand_in(CLI::App& app, int& end) {
    const auto o = std::make_shared<StandOptions>();
    CLI::App* const stand = app.add_subcommand("stand-in", "one neighbour alone, for experiments");
    stand->require_subcommand(1);
    const auto common = [o](CLI::App* one) {
        one->add_option("--listen", o->listen, "loopback address; port 0: the system's choice")
            ->capture_default_str();
        one->add_option("--faults", o->faults, "a script of troubles");
    };
    const auto said = [](const tcp::endpoint& at) {
        std::cout << "listens at " << rig::text_of(at) << std::endl;
    };
    CLI::App* const host = stand->add_subcommand("host", "works through what it is sent");
    common(host);
    host->add_option("--cores", o->traits.cores)->check(CLI::Range(1, 1024))->capture_default_str();
    host->add_option("--work-ms", o->work_ms, "mean work of a piece")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    host->add_option("--scatter", o->traits.scatter, "its deviation, as a part")
        ->check(CLI::Range(0.0, 10.0))
        ->capture_default_str();
    host->add_option("--line", o->traits.line, "pieces that may wait")->capture_default_str();
    host->add_option("--connections", o->traits.connections)
        ->check(CLI::Range(1, 16000))
        ->capture_default_str();
    host->add_option("--warms-ms", o->warms_ms, "time to be warm after a start")
        ->check(CLI::Range(0.0, 1e7))
        ->capture_default_str();
    host->add_option("--seed", o->seed)->capture_default_str();
    host->callback([o, said, &end] {
        o->traits.work = tenths(o->work_ms);
        o->traits.warms_in = tenths(o->warms_ms);
        end = stand_in(o->faults, [&](rig::Stage& stage) {
            stage.add_host("host", o->traits, o->seed, address_of(o->listen));
            said(stage.host("host").address());
        });
    });
    CLI::App* const counts = stand->add_subcommand("counter", "adds to named numbers and tells the totals");
    common(counts);
    counts->add_option("--parts", o->counter.parts)->check(CLI::Range(1, 1024))->capture_default_str();
    counts->add_option("--each-ms", o->each_ms, "a call's turn")
        ->check(CLI::Range(0.0, 1e5))
        ->capture_default_str();
    counts->add_option("--line", o->counter.line, "calls that may wait at a part")->capture_default_str();
    counts->callback([o, said, &end] {
        o->counter.each = tenths(o->each_ms);
        end = stand_in(o->faults, [&](rig::Stage& stage) {
            stage.add_counter(o->counter, address_of(o->listen));
            said(stage.counter().address());
        });
    });
    CLI::App* const lists = stand->add_subcommand("discovery", "tells which hosts there are");
    common(lists);
    lists->add_option("--host", o->listed, "ID=ADDRESS, one for each host")->required();
    lists->add_option("--delay-ms", o->delay_ms, "how late changes are told")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    lists->callback([o, said, &end] {
        std::vector<rig::Member> members;
        for (const std::string& one : o->listed) {
            const std::size_t equals = one.find('=');
            if (equals == one.npos || equals == 0) throw CLI::ValidationError(one, "must be ID=ADDRESS");
            members.push_back({one.substr(0, equals), address_of(one.substr(equals + 1))});
        }
        end = stand_in(o->faults, [&](rig::Stage& stage) {
            stage.add_discovery(address_of(o->listen), tenths(o->delay_ms));
            for (const rig::Member& member : members) stage.discovery().put(member);
            said(stage.discovery().address());
        });
    });
    add_links(*stand, end);
}

void add_load(CLI::App& app, int& end) {
    const auto o = std::make_shared<LoadOptions>();
    CLI::App* const loads =
        app.add_subcommand("load", "sends by a schedule, whatever comes back, and counts");
    loads->add_option("--gateway", o->gateways, "loopback address, one for each gateway")->required();
    loads->add_option("--plan", o->plans, "NAME:CUSTOMERS:RATE, one for each plan")->required();
    loads->add_option("--track", o->load.track)->capture_default_str();
    loads->add_flag("--binding", o->load.binding, "POST with a body, never repeated but after a bounce");
    loads->add_option("--body", o->load.body, "its bytes")
        ->check(CLI::Range(0, 65536))
        ->capture_default_str();
    loads->add_option("--set", o->load.set, "gateways of a customer's set; 0: all")->capture_default_str();
    loads->add_option("--seconds", o->seconds)->check(CLI::Range(0.1, 86400.0))->capture_default_str();
    loads->add_option("--goal-ms", o->goal_ms)->check(CLI::Range(1.0, 1e7))->capture_default_str();
    loads->add_option("--limit-ms", o->limit_ms)->check(CLI::Range(1.0, 1e7))->capture_default_str();
    loads->add_option("--retries", o->load.retries)->check(CLI::Range(0, 100))->capture_default_str();
    loads->add_option("--wait-ms", o->wait_ms, "before a retry")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    loads->add_flag("--ignore-advice", o->ignores_advice, "retry without heed to Retry-After");
    loads->add_flag("--no-keep-alive", o->no_keep_alive, "a connection for each try");
    loads->add_option("--lag-ms", o->lag_ms, "a send so far behind its schedule is late")
        ->check(CLI::Range(0.1, 1e5))
        ->capture_default_str();
    loads->add_option("--seed", o->load.seed)->capture_default_str();
    loads->add_option("--json", o->json_file, "write the result there, not to standard output");
    loads->callback([o, &end] {
        for (const std::string& one : o->gateways) o->load.gateways.push_back(address_of(one));
        for (const std::string& one : o->plans) o->load.plans.push_back(plan_of(one));
        o->load.length = tenths(1000 * o->seconds);
        o->load.goal = tenths(o->goal_ms);
        o->load.limit = tenths(o->limit_ms);
        o->load.wait = tenths(o->wait_ms);
        o->load.most_lag = tenths(o->lag_ms);
        o->load.heeds_advice = !o->ignores_advice;
        o->load.keep_alive = !o->no_keep_alive;
        end = generate(o->load, o->json_file);
    });
}

}  // namespace

void add_experiments(CLI::App& app, int& end) {
    add_trial(app, end);
    add_stand_in(app, end);
    add_load(app, end);
}

}  // namespace dewweir::cli

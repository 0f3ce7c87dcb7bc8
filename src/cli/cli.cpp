#include "cli.h"

#include <limits.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <fstream>
#include <functional>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "net/check.h"
#include "net/events.h"
#include "net/json_line.h"
#include "operator/operator_file.h"
#include "rig/load.h"
#include "rig/stage.h"
#include "rig/trial.h"
#include "serve.h"

namespace dewweir::cli {
namespace {

using asio::ip::tcp;

constexpr int fine = 0, found_fault = 1, cannot = 2;
constexpr double tenths_a_ms = 10;

Time tenths(double ms) { return std::llround(ms * tenths_a_ms); }

// `127.0.0.1:9000`; stand-ins and the load generator keep to loopback, so that a slip hits nobody.
tcp::endpoint address_of(const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::error_code fault;
    const auto host = asio::ip::make_address_v4(text.substr(0, colon), fault);
    char* end = nullptr;
    const char* const digits = colon == text.npos ? "" : text.c_str() + colon + 1;
    const long port = std::strtol(digits, &end, 10);
    if (fault || !*digits || *end || port < 0 || port > 65535)
        throw CLI::ValidationError(text, "must be an IPv4 address and a port, as 127.0.0.1:9000");
    if (!host.is_loopback()) throw CLI::ValidationError(text, "must be a loopback address, 127.0.0.0/8");
    return {host, static_cast<std::uint16_t>(port)};
}

// The gateway's program: beside this one, whose name is the same and `-tools`.
std::string gateway_file() {
    char path[PATH_MAX];
    const ssize_t n = ::readlink("/proc/self/exe", path, sizeof path - 1);
    const std::string own(path, n > 0 ? static_cast<std::size_t>(n) : 0);
    const std::size_t end = own.rfind("-tools");
    if (end == own.npos) throw std::runtime_error("cannot tell where the gateway's program is");
    return own.substr(0, end);
}

std::string contents(const std::string& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw Complaints({{file, 0, "", "cannot be read"}});
    return text.str();
}

bool ends_with(const std::string& text, const std::string& end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// A file by what it is: the platform's JSON, or our TOML, which is a script of troubles where it holds any.
std::vector<Complaint> check(const std::string& file) {
    try {
        const std::string text = contents(file);
        if (ends_with(file, ".json")) return net::check_configuration(text, file);
        if (!ends_with(file, ".toml"))
            return {{file, 0, "", "what is it? The name must end in .json or .toml"}};
        if (text.find("[[trouble]]") == text.npos) parse_operator_file(text, file);
        else
            rig::parse_script(
                text, file,
                {"host", "host-1", "host-2", "host-3", "host-4", "host-5", "host-6", "counter", "discovery"});
        return {};
    } catch (const Complaints& wrong) { return wrong.all; }
}

int check_all(const std::vector<std::string>& files) {
    int end = fine;
    for (const std::string& file : files) {
        const std::vector<Complaint> wrong = check(file);
        for (const Complaint& one : wrong) std::cout << one.text() << '\n';
        if (wrong.empty()) std::cout << file << ": good\n";
        else end = cannot;
    }
    return end;
}

int explain(const std::string& key, bool all, bool page, bool events) {
    if (events) return std::cout << net::events_table(), fine;
    if (page) return std::cout << keys_page(), fine;
    if (all) {
        for (const Key& one : operator_keys()) std::cout << explained(one);
        return fine;
    }
    if (const Key* const one = operator_key(key)) return std::cout << explained(*one), fine;
    std::vector<std::string> names;
    for (const Key& one : operator_keys()) names.push_back(one.name);
    std::cerr << "dewweir: explain: no such key: " << key << did_you_mean(key, names) << '\n';
    return cannot;
}

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

}  // namespace

int run(int argc, char** argv) {
    CLI::App app{
        "dewweir: an admission gateway for services sold by plan.\n"
        "Without a sub-command it is the gateway, configured by the file that EDGE_CONFIG names."};
    app.require_subcommand(1);
    int end = fine;

    std::string with;
    CLI::App* const serve = app.add_subcommand("serve", "the gateway, as without a sub-command");
    serve->add_option("--with", with, "an operator file")->check(CLI::ExistingFile);
    serve->callback([&] {
        const OperatorFile file = with.empty() ? OperatorFile{} : read_operator_file(with);
        end = dewweir::serve(with.empty() ? nullptr : &file, net::json_line);
    });

    std::vector<std::string> files;
    CLI::App* const checked =
        app.add_subcommand("check", "look files over: platform JSON, operator TOML, scripts");
    checked->add_option("FILE", files, "one or more")->required();
    checked->callback([&] { end = check_all(files); });

    std::string key;
    bool all = false, page = false, events = false;
    CLI::App* const explained = app.add_subcommand("explain", "what a key of the operator file does");
    explained->add_option("KEY", key, "its name");
    explained->add_flag("--all", all, "every key");
    explained->add_flag("--page", page, "the docs page of all keys");
    explained->add_flag("--events", events, "what the log can tell, as the on-call page has it");
    explained->callback([&] {
        if (key.empty() && !all && !page && !events)
            throw CLI::ValidationError("explain", "name a KEY, or say --all");
        end = explain(key, all, page, events);
    });

    rig::TrialPlan trial;
    bool quiet = false;
    CLI::App* const tried =
        app.add_subcommand("trial", "gateways, hosts, counter and load on this machine, with troubles");
    tried->add_option("--seconds", trial.seconds, "of load")
        ->check(CLI::Range(1.0, 3600.0))
        ->capture_default_str();
    tried->add_option("--gateways", trial.gateways, "processes")
        ->check(CLI::Range(1, 32))
        ->capture_default_str();
    tried->add_option("--hosts", trial.hosts, "stand-ins")->check(CLI::Range(2, 64))->capture_default_str();
    tried->add_option("--load", trial.load, "times the usual")
        ->check(CLI::Range(0.01, 100.0))
        ->capture_default_str();
    tried->add_option("--seed", trial.seed, "of arrivals and of the stand-ins")->capture_default_str();
    tried->add_option("--faults", trial.script_file, "a script of troubles instead of the usual one");
    tried->add_option("--json", trial.json_file, "write the result there");
    tried->add_option("--chart", trial.chart_file, "draw the seconds there, as SVG (needs gnuplot)");
    tried->add_option("--logs", trial.log_folder, "keep the gateways' configurations and logs there");
    tried->add_flag("--quiet", quiet, "no progress");
    tried->callback([&] {
        trial.program = gateway_file();
        trial.progress = !quiet;
        end = static_cast<int>(rig::run_trial(trial));
    });

    std::string listen = "127.0.0.1:0", faults;
    double work_ms = 20, warms_ms = 8000, each_ms = 0.5, delay_ms = 0;
    std::uint64_t seed = 1;
    model::HostTraits traits;
    model::CounterTraits counter;
    std::vector<std::string> listed;
    CLI::App* const stand = app.add_subcommand("stand-in", "one neighbour alone, for experiments");
    stand->require_subcommand(1);
    const auto common = [&](CLI::App* one) {
        one->add_option("--listen", listen, "loopback address; port 0: the system's choice")
            ->capture_default_str();
        one->add_option("--faults", faults, "a script of troubles");
    };
    const auto said = [](const tcp::endpoint& at) {
        std::cout << "listens at " << rig::text_of(at) << std::endl;
    };
    CLI::App* const host = stand->add_subcommand("host", "works through what it is sent");
    common(host);
    host->add_option("--cores", traits.cores)->check(CLI::Range(1, 1024))->capture_default_str();
    host->add_option("--work-ms", work_ms, "mean work of a piece")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    host->add_option("--scatter", traits.scatter, "its deviation, as a part")
        ->check(CLI::Range(0.0, 10.0))
        ->capture_default_str();
    host->add_option("--line", traits.line, "pieces that may wait")->capture_default_str();
    host->add_option("--connections", traits.connections)->check(CLI::Range(1, 16000))->capture_default_str();
    host->add_option("--warms-ms", warms_ms, "time to be warm after a start")
        ->check(CLI::Range(0.0, 1e7))
        ->capture_default_str();
    host->add_option("--seed", seed)->capture_default_str();
    host->callback([&] {
        traits.work = tenths(work_ms);
        traits.warms_in = tenths(warms_ms);
        end = stand_in(faults, [&](rig::Stage& stage) {
            stage.add_host("host", traits, seed, address_of(listen));
            said(stage.host("host").address());
        });
    });
    CLI::App* const counts = stand->add_subcommand("counter", "adds to named numbers and tells the totals");
    common(counts);
    counts->add_option("--parts", counter.parts)->check(CLI::Range(1, 1024))->capture_default_str();
    counts->add_option("--each-ms", each_ms, "a call's turn")
        ->check(CLI::Range(0.0, 1e5))
        ->capture_default_str();
    counts->add_option("--line", counter.line, "calls that may wait at a part")->capture_default_str();
    counts->callback([&] {
        counter.each = tenths(each_ms);
        end = stand_in(faults, [&](rig::Stage& stage) {
            stage.add_counter(counter, address_of(listen));
            said(stage.counter().address());
        });
    });
    CLI::App* const lists = stand->add_subcommand("discovery", "tells which hosts there are");
    common(lists);
    lists->add_option("--host", listed, "ID=ADDRESS, one for each host")->required();
    lists->add_option("--delay-ms", delay_ms, "how late changes are told")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    lists->callback([&] {
        std::vector<rig::Member> members;
        for (const std::string& one : listed) {
            const std::size_t equals = one.find('=');
            if (equals == one.npos || equals == 0) throw CLI::ValidationError(one, "must be ID=ADDRESS");
            members.push_back({one.substr(0, equals), address_of(one.substr(equals + 1))});
        }
        end = stand_in(faults, [&](rig::Stage& stage) {
            stage.add_discovery(address_of(listen), tenths(delay_ms));
            for (const rig::Member& member : members) stage.discovery().put(member);
            said(stage.discovery().address());
        });
    });

    rig::LoadPlan load;
    std::vector<std::string> gateways, plans;
    double seconds = 30, goal_ms = 1000, limit_ms = 4000, wait_ms = 100, lag_ms = 10;
    bool ignores_advice = false, no_keep_alive = false;
    std::string json_file;
    CLI::App* const loads =
        app.add_subcommand("load", "sends by a schedule, whatever comes back, and counts");
    loads->add_option("--gateway", gateways, "loopback address, one for each gateway")->required();
    loads->add_option("--plan", plans, "NAME:CUSTOMERS:RATE, one for each plan")->required();
    loads->add_option("--track", load.track)->capture_default_str();
    loads->add_flag("--binding", load.binding, "POST with a body, never repeated but after a bounce");
    loads->add_option("--body", load.body, "its bytes")->check(CLI::Range(0, 65536))->capture_default_str();
    loads->add_option("--set", load.set, "gateways of a customer's set; 0: all")->capture_default_str();
    loads->add_option("--seconds", seconds)->check(CLI::Range(0.1, 86400.0))->capture_default_str();
    loads->add_option("--goal-ms", goal_ms)->check(CLI::Range(1.0, 1e7))->capture_default_str();
    loads->add_option("--limit-ms", limit_ms)->check(CLI::Range(1.0, 1e7))->capture_default_str();
    loads->add_option("--retries", load.retries)->check(CLI::Range(0, 100))->capture_default_str();
    loads->add_option("--wait-ms", wait_ms, "before a retry")
        ->check(CLI::Range(0.0, 1e6))
        ->capture_default_str();
    loads->add_flag("--ignore-advice", ignores_advice, "retry without heed to Retry-After");
    loads->add_flag("--no-keep-alive", no_keep_alive, "a connection for each try");
    loads->add_option("--lag-ms", lag_ms, "a send so far behind its schedule is late")
        ->check(CLI::Range(0.1, 1e5))
        ->capture_default_str();
    loads->add_option("--seed", load.seed)->capture_default_str();
    loads->add_option("--json", json_file, "write the result there, not to standard output");
    loads->callback([&] {
        for (const std::string& one : gateways) load.gateways.push_back(address_of(one));
        for (const std::string& one : plans) load.plans.push_back(plan_of(one));
        load.length = tenths(1000 * seconds);
        load.goal = tenths(goal_ms);
        load.limit = tenths(limit_ms);
        load.wait = tenths(wait_ms);
        load.most_lag = tenths(lag_ms);
        load.heeds_advice = !ignores_advice;
        load.keep_alive = !no_keep_alive;
        end = generate(load, json_file);
    });

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& fault) {
        return app.exit(fault) == 0 ? fine : cannot;
    } catch (const Complaints& wrong) {
        for (const Complaint& one : wrong.all) std::cerr << "dewweir: " << one.text() << '\n';
        return cannot;
    } catch (const std::exception& fault) {
        std::cerr << "dewweir: " << fault.what() << '\n';
        return cannot;
    }
    return end;
}

}  // namespace dewweir::cli

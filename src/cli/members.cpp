// members FILE, verdicts FILE, explain-bounds FILE: who is there and how hosts are by what a gateway
// believes, and what the terms promise.
#include <cmath>
#include <cstdio>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "commands.h"
#include "errors/errors.h"
#include "fleet/fleet_file.h"
#include "limits/bounds.h"
#include "limits/moved.h"
#include "members/bounds.h"
#include "operator/operator_file.h"
#include "peers/peers.h"
#include "verdicts/host_words.h"

namespace dewweir::cli {
namespace {

using nlohmann::json;

int show(const std::string& file, bool as_json) {
    const json told = json::parse(file_text(file), nullptr, false);
    if (!told.is_object() || !told.contains("members"))
        throw errors::BadInput(file, "it is no status of members",
                               "name the file that `members.status` of the gateway's operator file names");
    if (as_json) return std::cout << told.dump(1) << '\n', fine;
    std::printf("%s of %s at %s: %d present, %d count%s%s, doubt %d\n", told.value("name", "").c_str(),
                told.value("deployment", "").c_str(), told.value("address", "").c_str(),
                told.value("present", 0), told.value("count", 0),
                told.value("cut_off", false) ? ", CUT OFF" : "",
                told.value("replaced", false) ? ", REPLACED by a later process of the name" : "",
                told.value("doubt", 0));
    std::printf("%-20s %-22s %-8s %12s %12s  %s\n", "member", "address", "state", "for s", "incarnation",
                "found by");
    for (const json& one : told.at("members"))
        std::printf("%-20s %-22s %-8s %12.1f %12u  %s\n", one.value("name", "").c_str(),
                    one.value("address", "").c_str(), one.value("state", "").c_str(),
                    one.value("for_ms", 0.0) / 1000, one.value("incarnation", 0u),
                    one.value("by", "").c_str());
    std::string refused;
    for (const auto& [why, n] : told.at("refused").items())
        if (n != 0) refused += (refused.empty() ? "" : ", ") + why + " " + n.dump();
    std::printf("sent %s datagrams, %s bytes; received %s; dropped: %s\n", told.at("sent").dump().c_str(),
                told.at("sent_bytes").dump().c_str(), told.at("received").dump().c_str(),
                refused.empty() ? "none" : refused.c_str());
    return fine;
}

// What it was told of hosts, by whom, and what that comes to.
int show_verdicts(const std::string& file, bool as_json) {
    const json told = json::parse(file_text(file), nullptr, false);
    if (!told.is_object() || !told.contains("verdicts"))
        throw errors::BadInput(
            file, "it holds no verdicts",
            "name the file of `members.status`, of a gateway whose `members.verdicts` is on");
    const json& all = told.at("verdicts");
    if (as_json) return std::cout << all.dump(1) << '\n', fine;
    std::printf("%-20s %8s %-10s %-14s %10s\n", "host", "doubt", "draining", "started again", "for s");
    for (const json& one : all.at("hosts"))
        std::printf("%-20s %8.2f %-10s %-14s %10.1f\n", one.value("host", "").c_str(),
                    one.value("doubt", 0.0), one.value("draining", false) ? "yes" : "",
                    one.value("started_again", false) ? "yes" : "", one.value("for_ms", 0.0) / 1000);
    std::printf("%-20s %-20s %-8s %10s %8s\n", "host", "by", "finding", "found s", "weight");
    for (const json& one : all.at("words"))
        std::printf("%-20s %-20s %-8s %10.1f %8.2f\n", one.value("host", "").c_str(),
                    one.value("by", "").c_str(), one.value("finding", "").c_str(),
                    one.value("found_ms", 0.0) / 1000, one.value("weight", 0.0));
    return fine;
}

struct Options {
    std::string file;
    bool json = false;
    members::Network network{0, 0.05, 10};
    double delay_ms = 1, probability = 0.999;
};

double seconds(Time t) { return static_cast<double>(t) / 10000; }

struct PlanBounds {
    std::string name;
    double rate, burst;
    limits::QuotaBounds is;
};
// Of the plans that have a quota, in a gateway's configuration that has been checked.
std::vector<PlanBounds> plans_of(const std::string& configuration, std::size_t gateways) {
    std::vector<PlanBounds> all;
    const json told = json::parse(file_text(configuration));
    for (const json& plan : told.at("settings").at("contracts"))
        if (const double rate = plan.value("rate", 0.0), burst = plan.value("mostAtOnce", 0.0);
            rate > 0 && burst > 0)
            all.push_back({plan.value("name", ""), rate, burst,
                           limits::quota_bounds(rate, burst, static_cast<int>(gateways))});
    return all;
}

void tell_plans(const std::vector<PlanBounds>& plans) {
    if (plans.empty()) return;
    std::printf("units beyond a customer's quota, at the most, its gateways being all of these:\n");
    std::printf("  %-16s %10s %24s %12s %22s  %s\n", "plan", "part", "counter goes, comes back",
                "of a minute", "a gateway starts again", "parts move");
    for (const PlanBounds& one : plans)
        std::printf("  %-16s %10.3g %18.3g each %11.1f%% %17.3g each  %s\n", one.name.c_str(), one.is.share,
                    one.is.event_excess, 100 * one.is.event_excess_of_minute, one.is.restart_excess,
                    one.is.lendable ? "yes" : "no: under a unit");
    std::printf(
        "  while the counter stays away: none; what one gateway lends another is over after %.3g s at the "
        "most\n",
        seconds(2 * limits::LoanBalance::slot));
}

// A fleet file says how many there are, an operator file what the terms are.
int explain_bounds(Options o) {
    std::string with = o.file;
    std::vector<PlanBounds> plans;
    if (file_text(o.file).find("[[gateway]]") != std::string::npos) {
        const fleet::Fleet fleet = fleet::read_fleet(o.file);
        with = fleet.releases[1].operator_file;
        if (!o.network.members) o.network.members = fleet.members.size();
        plans = plans_of(fleet.members.front().configuration[1], o.network.members);
    }
    if (!o.network.members)
        throw errors::BadCall(o.file, "it does not say how many members there are", "add --members N");
    const members::MembersOptions options = peers::members_options_of(read_operator_file(with).members);
    o.network.delay = std::llround(o.delay_ms * 10);
    const members::Bounds b = members::bounds_of(options, o.network, o.probability);
    // A word's age grows where it is kept, not on its way: so much more at each hop.
    const verdicts::ObservationOptions observations;
    const Time on_ways = b.rounds * o.network.delay;
    const Time orphan = observations.time_to_live + on_ways,
               oldest = observations.max_observation_age + orphan;
    if (o.json) {
        json quotas = json::array();
        for (const PlanBounds& one : plans)
            quotas.push_back({{"plan", one.name},
                              {"rate", one.rate},
                              {"burst", one.burst},
                              {"part", one.is.share},
                              {"beyond_an_event", one.is.event_excess},
                              {"beyond_of_a_minute", one.is.event_excess_of_minute},
                              {"beyond_a_restart", one.is.restart_excess},
                              {"moves", one.is.lendable}});
        std::cout << json{{"members", o.network.members},
                          {"loss", o.network.loss},
                          {"probability", o.probability},
                          {"rounds", b.rounds},
                          {"by_gossip", b.by_gossip},
                          {"spread_s", seconds(b.spread)},
                          {"suspected_s", seconds(b.suspected)},
                          {"dead_s", seconds(b.dead)},
                          {"word_without_origin_s", seconds(orphan)},
                          {"finding_oldest_s", seconds(oldest)},
                          {"bytes_a_second", b.bytes_a_second},
                          {"packets_a_second", b.packets_a_second},
                          {"loan_s", seconds(2 * limits::LoanBalance::slot)},
                          {"quotas", quotas}}
                         .dump(1)
                  << '\n';
        return fine;
    }
    std::printf("%zu members, %.3g of the datagrams lost, %.3g ms on their way, at a probability of %.6g:\n",
                o.network.members, o.network.loss, o.delay_ms, o.probability);
    std::printf("  news has reached all that can be reached after    %8.2f s (%d rounds%s)\n",
                seconds(b.spread), b.rounds,
                b.by_gossip ? "" : "; more than gossip makes: by the asking for whole lists");
    std::printf("  one that has died is suspected after               %8.2f s\n", seconds(b.suspected));
    std::printf("  and held for dead by all after                     %8.2f s\n", seconds(b.dead));
    std::printf("  what one said that says no more counts up to       %8.2f s\n", seconds(orphan));
    std::printf("  what was found of a host counts up to              %8.2f s after it was seen\n",
                seconds(oldest));
    std::printf(
        "  a member sends at the most                         %8.0f bytes a second in %.0f datagrams\n",
        b.bytes_a_second, b.packets_a_second);
    tell_plans(plans);
    return fine;
}

}  // namespace

void add_members(CLI::App& app, int& end) {
    const auto o = std::make_shared<Options>();
    CLI::App* const shown = app.add_subcommand("members", "who is there, by what a gateway believes");
    shown->add_option("FILE", o->file, "its status file (`members.status`)")->required();
    shown->add_flag("--json", o->json, "as JSON");
    shown->callback([o, &end] { end = show(o->file, o->json); });
    CLI::App* const words =
        app.add_subcommand("verdicts", "what others told a gateway of hosts, and what it made of that");
    words->add_option("FILE", o->file, "its status file (`members.status`)")->required();
    words->add_flag("--json", o->json, "as JSON");
    words->callback([o, &end] { end = show_verdicts(o->file, o->json); });
    CLI::App* const bounds = app.add_subcommand(
        "explain-bounds", "how long news takes in a fleet, and what it costs, at the most");
    bounds->add_option("FILE", o->file, "a fleet file, or an operator file with --members")->required();
    bounds->add_option("--members", o->network.members, "how many; left out: as the fleet file has it")
        ->check(CLI::Range(2, 1000));
    bounds->add_option("--loss", o->network.loss, "a part of the datagrams")
        ->check(CLI::Range(0.0, 0.95))
        ->capture_default_str();
    bounds->add_option("--delay-ms", o->delay_ms, "of a datagram, at the most")
        ->check(CLI::Range(0.0, 10000.0))
        ->capture_default_str();
    bounds->add_option("--probability", o->probability)
        ->check(CLI::Range(0.5, 0.999999))
        ->capture_default_str();
    bounds->add_flag("--json", o->json, "as JSON");
    bounds->callback([o, &end] { end = explain_bounds(*o); });
}

}  // namespace dewweir::cli

#include "trial_setup.h"

#include <sys/resource.h>

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "errors/errors.h"

namespace dewweir::rig {
namespace {

using nlohmann::json;

constexpr double a_second = 10000;
constexpr int gateway_sockets = 512;

}  // namespace

std::vector<TrialCustomers> trial_customers(const TrialPlan& plan) {
    std::vector<TrialCustomers> all = {{"small", 2, 30, 0.5}, {"large", 20, 6, 0.6}, {"greedy", 5, 4, 3}};
    if (plan.ceiling) all.push_back({"capped", 10, 2, 2, 1.5});
    return all;
}

std::vector<Quota> trial_quotas(const TrialPlan& plan) {
    std::vector<Quota> all;
    for (const TrialCustomers& p : trial_customers(plan))
        all.push_back({p.rate / a_second, p.rate * trial_window_s, p.ceiling * p.rate / a_second,
                       p.ceiling * p.rate * trial_window_s});
    return all;
}

void raise_descriptors(const TrialPlan& plan) {
    // A client and a host connection for each of a busy second's submissions, a margin, and what the gateways
    // reach us by.
    const rlim_t need =
        512 + static_cast<rlim_t>(plan.gateways) * static_cast<rlim_t>(plan.hosts) * (plan.links ? 64 : 16);
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur >= need) return;
    limit.rlim_cur = std::min(need, limit.rlim_max);
    setrlimit(RLIMIT_NOFILE, &limit);
    if (limit.rlim_cur < need)
        throw errors::OutOfRoom("descriptors",
                                "this process may hold " + std::to_string(limit.rlim_max) +
                                    "; a trial of this size needs " + std::to_string(need),
                                "raise the limit (ulimit -n), or ask for fewer gateways or hosts");
}

std::string trial_configuration(const TrialPlan& plan, int number, const tcp::endpoint& at,
                                const std::string& known, const tcp::endpoint& discovery,
                                const tcp::endpoint& counter) {
    json contracts = json::array();
    for (const TrialCustomers& p : trial_customers(plan))
        contracts.push_back({{"name", p.name},
                             {"rate", p.rate},
                             {"mostAtOnce", p.rate * trial_window_s},
                             {"neverOverRate", p.ceiling * p.rate},
                             {"hardBurst", p.ceiling * p.rate * trial_window_s},
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
                             {"maxRetryAfter", trial_limit_ms},
                             {"dialTimeout", 250.0},
                             {"idleClose", 15000.0}}},
                           {"specifics", {{"counter", true}, {"countLimit", 50.0}, {"largest", 1}}},
                           {"contract",
                            {{"fall", 2000.0},
                             {"fallMultiple", 3.0},
                             {"coldFrom", 0.3},
                             {"warmAfter", 8000.0},
                             {"askWithin", 10000.0},
                             {"stopSendingWithin", trial_grace_ms}}},
                           {"profiles", json::array({{{"name", "check"},
                                                      {"goalTime", trial_goal_ms},
                                                      {"hardLimit", trial_limit_ms},
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

std::string trial_operator(const TrialPlan& plan, const std::string& folder, const std::string& name,
                           const std::string& at, const std::map<std::string, std::string>& reach) {
    json seeds = json::array(), all = json::array();
    for (const auto& [other, near] : reach) {
        if (seeds.size() < 3) seeds.push_back(near);
        all.push_back(other + "=" + near);
    }
    return "[members]\nlisten = \"" + at + "\"\ndeployment = \"trial\"\nseeds = " + seeds.dump() +
           "\nreach = " + all.dump() +
           "\nfrom = [\"127.0.0.1\", \"127.0.0.2\"]\ngossip = \"100ms\"\nstatus = \"" + folder + "/" + name +
           ".members\"\nverdicts = \"" + (plan.verdicts ? "on" : "off") + "\"\nrights = \"" +
           (plan.rights ? "on" : "off") + "\"\n";
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

std::vector<tcp::endpoint> free_ports(Loop& loop, int n) {
    // Not the address that calls go out from: one of them could take the port while a gateway is away. All
    // held at once, else one could be given twice.
    std::vector<tcp::acceptor> holders;
    std::vector<tcp::endpoint> all;
    for (; n > 0; --n) {
        holders.emplace_back(loop.io, tcp::endpoint(asio::ip::make_address_v4("127.0.0.2"), 0));
        all.push_back(holders.back().local_endpoint());
    }
    return all;
}

udp::socket held_datagram_port(Loop& loop) {
    return udp::socket(loop.io, udp::endpoint(asio::ip::make_address_v4("127.0.0.2"), 0));
}

std::vector<std::string> trial_names(int gateways, int hosts, bool rollout, bool members) {
    std::vector<std::string> all = {"counter", "discovery"};
    for (int n = 1; n <= hosts; ++n) all.push_back("host-" + std::to_string(n));
    for (int n = 1; n <= gateways; ++n) {
        const std::string name = "gateway-" + std::to_string(n);
        all.push_back(name);
        all.push_back("clients > " + name);
        for (const char* const to : {"counter", "discovery"}) all.push_back(name + " > " + to);
        for (int host = 1; host <= hosts; ++host) all.push_back(name + " > host-" + std::to_string(host));
        for (int other = n + 1; members && other <= gateways; ++other)
            all.push_back(name + " > gateway-" + std::to_string(other));
        if (!rollout) continue;
        all.push_back("new-" + name + " > discovery");
        for (int host = 1; host <= hosts; ++host)
            all.push_back("new-" + name + " > host-" + std::to_string(host));
    }
    return all;
}

}  // namespace dewweir::rig

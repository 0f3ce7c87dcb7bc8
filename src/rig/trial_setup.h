// What a trial is set up with: its customers, the gateways' configurations, the usual script, and the names
// that a script can use.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "datagram_link.h"
#include "loop.h"
#include "referee.h"
#include "trial.h"

namespace dewweir::rig {

constexpr double trial_goal_ms = 500, trial_limit_ms = 2000, trial_grace_ms = 1000;
constexpr double trial_window_s = 3;  // a plan's burst over its rate

// The customers of the trial: two plans used well within their quotas, and one whose customers ask three
// times theirs.
struct TrialCustomers {
    const char* name;
    double rate;  // quota, units a second
    int customers;
    double asked;        // as a part of the quota
    double ceiling = 0;  // times the quota; 0: none
};
// With a ceiling: also one whose customers ask for more than their ceiling.
std::vector<TrialCustomers> trial_customers(const TrialPlan& plan);

std::vector<Quota> trial_quotas(const TrialPlan& plan);
// Throws errors::OutOfRoom.
void raise_descriptors(const TrialPlan& plan);
// The platform's JSON for one gateway, numbered from 1; `known` is the list it starts with.
std::string trial_configuration(const TrialPlan& plan, int number, const tcp::endpoint& at,
                                const std::string& known, const tcp::endpoint& discovery,
                                const tcp::endpoint& counter);
// The operator file of one that tells the others; `reach`: where it reaches each, by name.
std::string trial_operator(const TrialPlan& plan, const std::string& folder, const std::string& name,
                           const std::string& at, const std::map<std::string, std::string>& reach);
std::string usual_script(double seconds);
// Ports that were free a moment ago: held by nobody until a gateway listens there.
std::vector<tcp::endpoint> free_ports(Loop& loop, int n);
// One for datagrams, held as long as the socket is: no two gateways must be given the same.
udp::socket held_datagram_port(Loop& loop);

}  // namespace dewweir::rig

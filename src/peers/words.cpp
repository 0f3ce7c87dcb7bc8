#include "words.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "limits/moved.h"

namespace dewweir::peers {
namespace {

using members::GossipItem;
using nlohmann::json;

constexpr std::uint64_t sequences_per_ms =
    1024;                          // more than are published, so a later process starts above an earlier one
constexpr double min_loan = 0.01;  // units; smaller loans are not published
constexpr Time list_time_to_live = 100000;  // 10 s: a lost watch is restored within that time

}  // namespace

ReportExchange::ReportExchange(members::Members& members, net::ReportReceiver& report_receiver,
                               const std::string& name, std::uint64_t instance, std::uint64_t seed,
                               bool lending)
    : members_(members),
      report_receiver_(report_receiver),
      observations_({}, name, instance * sequences_per_ms),
      lists_(list_time_to_live),
      totals_({}, name),
      lending_({}, name, instance * sequences_per_ms, seed),
      lends_(lending) {
    members_.on_item = [this](Time now, const std::string&, const GossipItem& item) {
        verdicts::HostObservation observation;
        const bool fresh =
            verdicts::CounterTotals::is_item(item)             ? totals_.receive(now, item)
            : verdicts::HostListReports::is_item(item)         ? lists_.receive(now, item)
            : limits::QuotaLending::is_lending_item(item)      ? lends_ && lending_.receive(now, item)
            : verdicts::host_observation_of(item, observation) ? observations_.receive(now, observation)
                                                               : false;
        ++(fresh ? passed_on_ : dropped_);
        if (fresh) members_.publish(item);
    };
    members_.live_items = [this] {
        const Time now = members_.now();
        std::vector<GossipItem> all = lists_.live_items(now);
        for (const GossipItem& one : totals_.live_items(now)) all.push_back(one);
        for (const GossipItem& one : lending_.live_items(now)) all.push_back(one);
        for (const verdicts::HostObservation& one : observations_.live_observations(now))
            all.push_back(verdicts::item_of(one));
        return all;
    };
}

void ReportExchange::host_status_changed(Time now, const std::string& host, bool shut) {
    observations_.observe(now, host,
                          shut ? verdicts::HostCondition::ejected : verdicts::HostCondition::healthy);
}

void ReportExchange::attempt_ended(Time now, const std::string& host, AttemptOutcome outcome, Time took) {
    using AttemptResult = verdicts::HostObservations::AttemptResult;
    const bool inconclusive = outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::not_sent;
    const AttemptResult result = outcome == AttemptOutcome::ok ? AttemptResult::succeeded
                                 : outcome == AttemptOutcome::overloaded
                                     ? AttemptResult::alive  // no evidence against the host
                                 : inconclusive ? AttemptResult::inconclusive
                                                : AttemptResult::failed;
    observations_.attempt_ended(now, host, result, took);
}

bool ReportExchange::publish_total(Time now, std::uint64_t name, double total) {
    lending_.counter_answered(now);
    return totals_.record(now, name, total);
}

void ReportExchange::host_list_received(Time now, const net::HostList& listing) {
    std::vector<verdicts::ListedHost> hosts;
    for (const net::HostEntry& one : listing.entries)
        hosts.push_back({one.id, one.state == HostState::ready, one.up_since});
    lists_.update_own_list(now, listing.revision, listing.complete, hosts);
}

void ReportExchange::follow(Time now) {
    for (const verdicts::HostObservation& one : observations_.take_outgoing(now))
        members_.publish(verdicts::item_of(one));
    for (const GossipItem& one : lists_.take_outgoing()) members_.publish(one);
    for (const GossipItem& one : totals_.take_outgoing()) members_.publish(one);
    totals_.remove_expired(now);
    for (const limits::LoanRequest& one : lending_.take_requests())
        if (const double units = report_receiver_.lend_tokens(one.share, one.units); units >= min_loan)
            lending_.record_loan(now, one, units, limits::LoanBalance::expiry_of(now));
    for (const limits::Loan& one : lending_.take_loans())
        report_receiver_.receive_loan(one.tenant, one.units, one.expires_at);
    for (const GossipItem& one : lending_.take_outgoing(now)) members_.publish(one);
    std::set<std::string> changed;
    for (const std::string& host : observations_.take_changed(now)) changed.insert(host);
    for (const std::string& host : lists_.take_changed(now)) changed.insert(host);
    for (const std::string& host : changed) {
        const verdicts::HostObservations::Suspicion suspicion = observations_.suspicion_of(now, host);
        const verdicts::HostListReports::Report listed = lists_.report_of(now, host);
        const HostReport report{.suspicion = suspicion.score,
                                .last_failure = suspicion.last_failure,
                                .expires_at = std::max(suspicion.expires_at, listed.expires_at),
                                .draining = listed.draining,
                                .up_since = listed.up_since};
        const bool no_report =
            suspicion.failing_count + suspicion.healthy_count == 0 && listed.expires_at == 0;
        if (no_report ? delivered_.erase(host) > 0 : (delivered_[host] = report, true))
            report_receiver_.host_reported(host, report);
    }
}

bool ReportExchange::report_shortage(Time now, const QuotaShare& of, double units) {
    if (lends_) lending_.report_shortage(now, of, units);
    return lends_ && lending_.next_timer(now) <= now + 1;
}

Time ReportExchange::next(Time now) const {
    return std::min({observations_.next_timer(now), lists_.next_timer(now), totals_.next_timer(now),
                     lending_.next_timer(now)});
}

json ReportExchange::status(Time now) const {
    json observations = json::array();
    json hosts = json::array();
    for (const verdicts::HostObservation& one : observations_.live_observations(now))
        observations.push_back(
            {{"host", one.host},
             {"by", one.origin},
             {"finding", verdicts::name_of(one.condition)},
             {"found_ms", (now - one.observed_at) / 10},
             {"weight", one.origin == observations_.self() ? 1.0 : observations_.weight(now, one.origin)}});
    for (const auto& [host, report] : delivered_)
        hosts.push_back({{"host", host},
                         {"doubt", report.suspicion},
                         {"draining", report.draining},
                         {"started_again", report.up_since > 0},
                         {"for_ms", std::max<Time>(0, report.expires_at - now) / 10}});
    const limits::QuotaLending::Counters& counters = lending_.counters();
    const json lending = {{"wants", counters.requests},      {"loans_out", counters.loans_out},
                          {"units_out", counters.units_out}, {"loans_in", counters.loans_in},
                          {"units_in", counters.units_in},   {"refused", counters.refused}};
    return {{"words", observations},
            {"hosts", hosts},
            {"passed_on", passed_on_},
            {"dropped", dropped_},
            {"rights", lending}};
}

}  // namespace dewweir::peers

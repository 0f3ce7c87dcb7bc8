// Connects the packages under src/verdicts and the lending of quota to the members' gossip on one side and to
// the decisions on the other: publishes what this gateway observed, and delivers what its peers observed.
// Owns the last report that the decisions received of each host; it must never weigh an observation.
#pragma once

#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "limits/rights.h"
#include "members/members.h"
#include "net/peer_observer.h"
#include "verdicts/count_words.h"
#include "verdicts/host_words.h"
#include "verdicts/list_words.h"

namespace dewweir::peers {

class ReportExchange {
  public:
    // `instance`: of this process, as the members have it; sequence numbers start from it, so that those of a
    // later process of the same name are higher. `lending`: whether gateways lend each other quota.
    ReportExchange(members::Members& members, net::ReportReceiver& report_receiver, const std::string& name,
                   std::uint64_t instance, std::uint64_t seed, bool lending);

    void host_status_changed(Time now, const std::string& host, bool shut);
    Time attempt_started(Time now, const std::string& host) {
        return observations_.attempt_started(now, host);
    }
    void attempt_ended(Time now, const std::string& host, AttemptOutcome outcome, Time took);
    // The next two return whether `follow` has something to send.
    bool publish_total(Time now, std::uint64_t name, double total);
    bool report_shortage(Time now, const QuotaShare& of, double units);
    double corroborated_total(Time now, std::uint64_t name) const { return totals_.corroborated(now, name); }
    void host_list_received(Time now, const net::HostList& listing);
    void origin_removed(const std::string& origin) { observations_.origin_removed(origin); }

    // Publishes what is due, and delivers changed reports to the decisions. Must not be called from within a
    // call of the decision module.
    void follow(Time now);
    Time next(Time now) const;  // when `follow` is due next
    nlohmann::json status(Time now) const;

  private:
    members::Members& members_;
    net::ReportReceiver& report_receiver_;
    verdicts::HostObservations observations_;
    verdicts::HostListReports lists_;
    verdicts::CounterTotals totals_;
    limits::QuotaLending lending_;
    bool lends_;  // whether `lending_` is used
    // Items received: new ones, and those that were not passed on.
    std::uint64_t passed_on_ = 0, dropped_ = 0;
    std::map<std::string, HostReport> delivered_;  // to the decisions, by host, while it stands
};

}  // namespace dewweir::peers

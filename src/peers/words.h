// What our gateway found, told to the others, and what they found, told to ours: ties the pure packages of
// verdicts to the members' gossip and to the decisions. Owns which of a host's words the decisions were last
// told; it must never weigh one.
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

class Words {
  public:
    // `instance`: of this process, as the members have it; later ones of the name are later by it.
    // `rights`: whether parts of quotas move.
    Words(members::Members& members, net::ReportReceiver& report_receiver, const std::string& name,
          std::uint64_t instance, std::uint64_t seed, bool rights);

    void host_found(Time now, const std::string& host, bool shut);
    Time host_asked(Time now, const std::string& host) { return hosts_.asked(now, host); }
    void host_ended(Time now, const std::string& host, AttemptOutcome outcome, Time took);
    bool publish_total(Time now, std::uint64_t name, double total);      // whether there is news to tell
    bool report_shortage(Time now, const QuotaShare& of, double units);  // whether there is something to tell
    double corroborated_total(Time now, std::uint64_t name) const { return counts_.known(now, name); }
    void list_told(Time now, const net::HostList& listing);
    void gone(const std::string& origin) { hosts_.gone(origin); }

    // What has come to be told, to the others and to the decisions. Not from within a call of the decision
    // module's.
    void follow(Time now);
    Time next(Time now) const;
    nlohmann::json status(Time now) const;

  private:
    members::Members& members_;
    net::ReportReceiver& report_receiver_;
    verdicts::HostWords hosts_;
    verdicts::ListWords lists_;
    verdicts::CountWords counts_;
    limits::QuotaLending rights_;
    bool moves_;
    std::uint64_t passed_on_ = 0, dropped_ = 0;
    std::map<std::string, HostReport> told_;  // to the decisions, while it stands
};

}  // namespace dewweir::peers

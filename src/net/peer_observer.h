// The other gateways of the fleet, as the gateway knows them: where an operator file asks for them. Without
// one there is none, and nothing is called. Hosts go by the ids of the list: our numbers mean nothing
// elsewhere.
#pragma once

#include <string>

#include "configuration.h"
#include "dewweir/decisions.h"

namespace dewweir::net {

class PeerObserver {
  public:
    virtual ~PeerObserver() = default;
    // We are about to end: tells the others, so that they need not find it out.
    virtual void leave() = 0;

    // What we found ourselves. May be called from within a call of the decision module's: what follows comes
    // later.
    virtual void host_status_changed(const std::string& host, bool shut) = 0;
    virtual void attempt_started(const std::string& host) = 0;  // an attempt goes there
    virtual void attempt_ended(const std::string& host, AttemptOutcome outcome,
                               Time took) = 0;  // it has ended
    virtual void host_list_received(const HostList& listing) = 0;
    virtual void publish_total(std::uint64_t name, double total) = 0;
    virtual void report_shortage(const QuotaShare& of,
                                 double units) = 0;  // our part did, of a tenant's quota
    // What two others at least were told of that name, or more; 0: nothing.
    virtual double corroborated_total(std::uint64_t name) const = 0;
};

// Who is told what the others found.
class ReportReceiver {
  public:
    virtual ~ReportReceiver() = default;
    virtual void host_reported(const std::string& host, const HostReport& said) = 0;
    virtual double lend_tokens(const QuotaShare& of,
                               double units) = 0;  // how many of these our part can do without
    virtual void receive_loan(std::uint64_t tenant, double units, Time until) = 0;
};

}  // namespace dewweir::net

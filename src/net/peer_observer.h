// Interfaces between a gateway and its peers, the other gateways of the fleet. They are used only when the
// operator file configures membership. Hosts are identified by their ids in the host list, since host
// numbers are local to a process.
#pragma once

#include <string>

#include "configuration.h"
#include "dewweir/decisions.h"

namespace dewweir::net {

// Notified of this gateway's own observations, to share them with the peers.
class PeerObserver {
  public:
    virtual ~PeerObserver() = default;
    // Announces the shutdown of this gateway to the peers.
    virtual void leave() = 0;

    // May be called from within a callback of the decision module, so implementations defer their reactions.
    // `shut`: the host was ejected, else restored.
    virtual void host_status_changed(const std::string& host, bool shut) = 0;
    virtual void attempt_started(const std::string& host) = 0;
    virtual void attempt_ended(const std::string& host, AttemptOutcome outcome, Time took) = 0;
    virtual void host_list_received(const HostList& listing) = 0;
    virtual void publish_total(std::uint64_t name, double total) = 0;
    // The local share of a quota is short of `units`.
    virtual void report_shortage(const QuotaShare& of, double units) = 0;
    // Highest total of a counter that at least two peers report as reached; 0 if none.
    virtual double corroborated_total(std::uint64_t name) const = 0;
};

// Receives the observations and loans of the peers.
class ReportReceiver {
  public:
    virtual ~ReportReceiver() = default;
    virtual void host_reported(const std::string& host, const HostReport& said) = 0;
    // Lends up to `units` spare tokens of the local share; returns how many.
    virtual double lend_tokens(const QuotaShare& of, double units) = 0;
    virtual void receive_loan(std::uint64_t tenant, double units, Time until) = 0;
};

}  // namespace dewweir::net

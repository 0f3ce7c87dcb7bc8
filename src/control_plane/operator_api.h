// The HTTP API for operators: configuration, evacuations, status and history. Proposals and linearizable
// reads need the leader; other control planes redirect the caller to it.
#pragma once

#include "api/server.h"
#include "configuration/parser.h"
#include "control_plane/fleet_server.h"
#include "control_plane/replicated_log.h"
#include "control_plane/status_report.h"

namespace dewweir::control_plane {

class OperatorApi {
  public:
    OperatorApi(api::Server& server, ReplicatedLog& log, const FleetServer& fleet);

  private:
    void declare_configuration();
    void declare_evacuation();
    void declare_status();
    void declare_history();

    // Parses and validates a proposed configuration. One that was accepted before passes if it is still
    // readable, even if an earlier build with fewer checks accepted it, so that repeating a request succeeds.
    configuration::ParseResult read_proposal(const std::string& text) const;
    void put_configuration(const api::Request& request, const api::Respond& respond);
    void get_configuration(const api::Respond& respond);
    void get_history(const api::Respond& respond);
    LogStatus log_status() const;
    void set_evacuation(const api::Request& request, const api::Respond& respond, bool evacuated);
    void propose(const control::Command& command, const std::string& path, const api::Respond& respond);
    // Answers with a redirect to the leader, or with 503 and Retry-After while no leader is known.
    void redirect(const std::string& path, const api::Respond& respond) const;

    api::Server& server_;
    ReplicatedLog& log_;
    const FleetServer& fleet_;
};

}  // namespace dewweir::control_plane

// The calls of operators: configuration, evacuations, status and history. Each call is declared beside its
// handler. Calls that need the leader are sent on to it by a redirect.
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

    // Checks it as a proposal; one that has been accepted before, maybe by a build that checked less, passes.
    configuration::ParseResult read_proposal(const std::string& text) const;
    void put_configuration(const api::Request& request, const api::Respond& respond);
    void get_configuration(const api::Respond& respond);
    void get_history(const api::Respond& respond);
    LogStatus log_status() const;
    void set_evacuation(const api::Request& request, const api::Respond& respond, bool evacuated);
    void propose(const control::Command& command, const std::string& path, const api::Respond& respond);
    // Sends the caller on to the leader, or tells it to come back where none is known.
    void redirect(const std::string& path, const api::Respond& respond) const;

    api::Server& server_;
    ReplicatedLog& log_;
    const FleetServer& fleet_;
};

}  // namespace dewweir::control_plane

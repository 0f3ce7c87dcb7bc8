// The gateway as a program: reads its configuration at start and at SIGHUP, runs one event loop, and after
// SIGTERM or SIGINT answers the open requests and ends.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/log.h"
#include "net/part.h"
#include "net/peer_observer.h"
#include "net/tallies.h"

namespace dewweir {

struct OperatorFile;

// Optional features that the tools program adds to the gateway, so that the plain gateway program does not
// link them.
struct Extras {
    const OperatorFile& with;
    net::LineFormat json = nullptr;        // line format when the operator file asks for JSON
    std::string version, settings, label;  // logged with gateway.ready; may be empty
    // Creates the activity observer; `goals` are the latency goals of the route classes.
    std::function<std::unique_ptr<net::ActivityObserver>(Time every, std::vector<Time> goals)> tallies{};
    // Creates the link to the peers if the operator file configures membership.
    std::function<std::unique_ptr<net::PeerObserver>(const net::NodeContext&, net::ReportReceiver&)>
        peer_observer{};
};

// `extras` is null for the plain gateway. Returns 0 after a clean end, otherwise the exit code of the error
// (docs/errors.md).
int serve(const Extras* extras);

}  // namespace dewweir

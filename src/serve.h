// The gateway as a program: reads what it is told at start and again at SIGHUP, runs one loop until SIGTERM
// and whatever is then still to be answered, and ends.
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

// What the sub-commands' program adds to the gateway, so that the platform's carries none of it.
struct Extras {
    const OperatorFile& with;
    net::LineFormat json = nullptr;        // how lines are written where the file asks for JSON
    std::string version, settings, label;  // what it is, told with its readiness; may be empty
    // Makes what counts, told the goals of the tracks.
    std::function<std::unique_ptr<net::ActivityObserver>(Time every, std::vector<Time> goals)> tallies{};
    // Makes the observer of the other gateways, where the file asks for it.
    std::function<std::unique_ptr<net::PeerObserver>(const net::NodeContext&, net::ReportReceiver&)>
        peer_observer{};
};

// `extras`: nothing on the platform. 0 after a clean end, else the exit code of the
// error that ended it (docs/errors.md).
int serve(const Extras* extras);

}  // namespace dewweir

// References shared by the components of a gateway (clients, hosts, counter, discovery, peers). The objects
// are owned by the Node and outlive the components.
#pragma once

#include <asio/io_context.hpp>

#include "configuration.h"
#include "connections.h"
#include "deadlines.h"
#include "log.h"

namespace dewweir::net {

// Components inherit privately from it, hence the member names.
struct NodeContext {
    asio::io_context& io_;
    Deadlines& deadlines_;
    Connections& connections_;
    Log& log_;
    const Configuration& configuration_;
};

}  // namespace dewweir::net

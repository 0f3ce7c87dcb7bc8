// What every context of a gateway works with; owned by the node. A context must never keep any of it alive on
// its own.
#pragma once

#include <asio/io_context.hpp>

#include "configuration.h"
#include "connections.h"
#include "deadlines.h"
#include "log.h"

namespace dewweir::net {

struct NodeContext {
    asio::io_context& io_;
    Deadlines& deadlines_;
    Connections& connections_;
    Log& log_;
    const Configuration& configuration_;
};

}  // namespace dewweir::net

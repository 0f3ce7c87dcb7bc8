// What every part of a gateway works with; owned by the node. A part must never keep any of it alive on its
// own.
#pragma once

#include <asio/io_context.hpp>

#include "configuration.h"
#include "connections.h"
#include "deadlines.h"
#include "log.h"

namespace dewweir::net {

struct Part {
    asio::io_context& io_;
    Deadlines& deadlines_;
    Connections& connections_;
    Log& log_;
    const Configuration& told_;
};

}  // namespace dewweir::net

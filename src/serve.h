// The gateway as a program: reads what it is told at start and again at SIGHUP, runs one loop until SIGTERM
// and whatever is then still to be answered, and ends.
#pragma once

#include "net/log.h"

namespace dewweir {

struct OperatorFile;

// `with`: the operator file's settings, or nothing, as on the platform; `json`: how its lines are written
// where that file asks for JSON. 0 after a clean end, 1 when it cannot listen or finds a fault in itself, 2
// on a configuration that is bad at start.
int serve(const OperatorFile* with, net::LineForm json = nullptr);

}  // namespace dewweir

// What a gateway does, told as it happens to whoever counts it. The node calls it; without an operator file
// there is none, and nothing is called.
#pragma once

#include "dewweir/decisions.h"

namespace dewweir::net {

class Log;

class ActivityObserver {
  public:
    virtual ~ActivityObserver() = default;
    virtual void request_received(double units) = 0;
    virtual void attempt_started(bool first, double units) = 0;
    virtual void counter_called(double units) = 0;  // a call to the counter: added, or given back under 0
    virtual void served(int route_class, Time took) = 0;
    virtual void refused() = 0;
    virtual void failed() = 0;
    virtual void client_disconnected() = 0;
    virtual void report_decisions(const DecisionCounts& often) = 0;
    // Tells the log what was counted since the last time; `now` as the node has it.
    virtual void report(Log& log, Time now) = 0;
    virtual Time interval() const = 0;  // how often that is
};

}  // namespace dewweir::net

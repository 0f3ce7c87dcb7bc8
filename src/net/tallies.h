// Interface notified of everything that a gateway does, for counting. The node calls it; it exists only when
// the operator file asks for it.
#pragma once

#include "dewweir/decisions.h"

namespace dewweir::net {

class Log;

class ActivityObserver {
  public:
    virtual ~ActivityObserver() = default;
    virtual void request_received(double units) = 0;
    // `first`: the first attempt of its request.
    virtual void attempt_started(bool first, double units) = 0;
    // A call to the counter added `units`, or gave them back if negative.
    virtual void counter_called(double units) = 0;
    // `took`: from the arrival of the request to its 200 response.
    virtual void served(int route_class, Time took) = 0;
    virtual void refused() = 0;
    virtual void failed() = 0;
    virtual void client_disconnected() = 0;
    virtual void report_decisions(const DecisionCounts& often) = 0;
    // Logs the activity since the last report.
    virtual void report(Log& log, Time now) = 0;
    virtual Time interval() const = 0;  // time between two reports
};

}  // namespace dewweir::net

// Time constants of the links between gateways and control planes: heartbeats, timeouts, and how stale a
// control plane's state may be. Every delay that adds up between an acknowledged change and the last gateway
// that receives it is defined or derived here.
#pragma once

#include <chrono>

#include "runtime/event_loop.h"

namespace dewweir::distribution {

constexpr runtime::Time heartbeat_interval = 400 * runtime::tenths_per_millisecond;
// A peer from which no message has arrived for this long is considered dead; its session is closed.
constexpr runtime::Time unresponsive_timeout = 2200 * runtime::tenths_per_millisecond;
// The shortest time between two published member lists.
constexpr runtime::Time min_publication_interval = 100 * runtime::tenths_per_millisecond;
constexpr runtime::Time connect_timeout = 700 * runtime::tenths_per_millisecond;
// The delay before a control plane reconnects to the leader after their session was closed.
constexpr runtime::Time reconnect_delay = 150 * runtime::tenths_per_millisecond;

// Timing of a gateway's search for a control plane that is in sync with a majority.
struct SearchIntervals {
    // A gateway leaves a control plane whose proof of being in sync is older than this as soon as another one
    // has a younger proof.
    runtime::Time max_staleness = 0;
    // While no control plane is in sync, a further one is tried this often, beside the attempts still open.
    runtime::Time attempt_interval = 0;
    // An attempt without an answer is abandoned after this time.
    runtime::Time attempt_timeout = 0;
    // The longest time from the acknowledgement of a change until a gateway has received it.
    runtime::Time max_propagation = 0;
};

// `config_apply`: the configured bound on the time from an acknowledged change to every gateway;
// `unresponsive`: how many control planes may be unresponsive at once. max_propagation stays within
// `config_apply` unless that leaves less than the smallest max_staleness, 1000 ms.
SearchIntervals search_intervals(std::chrono::milliseconds config_apply, unsigned unresponsive);

}  // namespace dewweir::distribution

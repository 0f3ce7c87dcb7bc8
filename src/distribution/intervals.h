// How often processes tell each other that they live, when they are taken for gone, and how old what a
// control plane shows may be. All that adds up between an acknowledged change and the last gateway is derived
// here.
#pragma once

#include <chrono>

#include "runtime/event_loop.h"

namespace dewweir::distribution {

constexpr runtime::Time heartbeat_interval = 400 * runtime::tenths_per_millisecond;
// A peer that has said nothing for so long is taken for gone.
constexpr runtime::Time silence_limit = 2200 * runtime::tenths_per_millisecond;
// The shortest time between two lists of members.
constexpr runtime::Time publication_gap = 100 * runtime::tenths_per_millisecond;
constexpr runtime::Time connect_limit = 700 * runtime::tenths_per_millisecond;
constexpr runtime::Time reconnect_pause = 150 * runtime::tenths_per_millisecond;

// What a gateway goes by when it looks for a control plane that is in step.
struct SearchIntervals {
    // A control plane whose proof of being in step is older than this is left once another one's is younger.
    runtime::Time freshness_limit = 0;
    // While none is in step another one is asked so often, beside those that have not answered.
    runtime::Time attempt_gap = 0;
    // One that has not answered for so long is given up.
    runtime::Time attempt_limit = 0;
    // The longest from an acknowledgement until a gateway has the change, with so many control planes silent.
    runtime::Time worst_case = 0;
};

// `config_apply` is the rule's bound on a change; `silent` how many control planes may say nothing at once.
SearchIntervals search_intervals(std::chrono::milliseconds config_apply, unsigned silent);

}  // namespace dewweir::distribution

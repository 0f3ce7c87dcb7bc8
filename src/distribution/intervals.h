// How often processes tell each other that they live, and when they are taken for gone.
#pragma once

#include "runtime/event_loop.h"

namespace dewweir::distribution {

constexpr runtime::Time heartbeat_interval = 700 * runtime::tenths_per_millisecond;
// A peer that has said nothing for so long is taken for gone.
constexpr runtime::Time silence_limit = 2200 * runtime::tenths_per_millisecond;
// A control plane that has not heard the leader for so long may lag behind: its gateways look for another.
constexpr runtime::Time leader_silence_limit = 1200 * runtime::tenths_per_millisecond;
// The shortest time between two lists of members.
constexpr runtime::Time publication_gap = 100 * runtime::tenths_per_millisecond;
constexpr runtime::Time connect_limit = 700 * runtime::tenths_per_millisecond;
constexpr runtime::Time reconnect_pause = 150 * runtime::tenths_per_millisecond;

}  // namespace dewweir::distribution

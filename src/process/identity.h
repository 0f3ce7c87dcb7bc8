// How a process describes itself to the others of its system.
#pragma once

#include "settings/settings.h"
#include "wire/messages.h"

namespace dewweir::process {

// Where a process with these settings takes the system's own messages; with another address, where a process
// there does: the ports are alike on all machines.
settings::Endpoint internal_endpoint(const settings::Settings& settings);
settings::Endpoint internal_endpoint(const settings::Settings& settings, std::uint32_t ip);

// With a life of its own, drawn anew.
wire::Member describe_process(const settings::Settings& settings, wire::Role role);

}  // namespace dewweir::process

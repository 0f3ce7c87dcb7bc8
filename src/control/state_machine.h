// The state that all control planes agree on: the configuration and the evacuated zones, changed by commands
// in the order of the replicated log. Pure and deterministic: the same commands give the same state and the
// same results everywhere.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>

#include "wire/messages.h"

namespace dewweir::control {

// Puts a configuration in force if `base` is the version in force (0: none is).
struct PutConfiguration {
    std::uint32_t base = 0;
    std::uint32_t version = 0;
    std::string text;
    MSGPACK_DEFINE(base, version, text);
};

struct SetEvacuation {
    std::string zone;
    bool evacuated = false;
    MSGPACK_DEFINE(zone, evacuated);
};

using Command = std::variant<PutConfiguration, SetEvacuation>;

enum class Outcome : std::uint8_t {
    accepted,
    version_conflict,  // another version than the command's base is in force
    not_newer,         // the version is not greater than the one in force
    forgotten,         // so old that it is no longer known whether it was accepted
};

std::string encode_command(const Command& command);
std::optional<Command> decode_command(std::string_view bytes);

class StateMachine {
  public:
    // `index`: of the command's entry in the log.
    Outcome apply(std::uint64_t index, const Command& command);

    const wire::ConfigurationUpdate& configuration() const { return configuration_; }
    wire::EvacuationsUpdate evacuations() const;
    // The versions accepted, the last 1024 of them, each with a hash of its text.
    const std::map<std::uint32_t, std::uint64_t>& accepted() const { return accepted_; }
    // Whether exactly this configuration was accepted under its version, now or earlier.
    bool has_accepted(std::uint32_t version, std::string_view text) const;

    std::string snapshot() const;
    // Returns false where the bytes are no snapshot; nothing is changed then.
    bool restore(std::string_view bytes);

  private:
    Outcome put(const PutConfiguration& command);

    wire::ConfigurationUpdate configuration_;
    std::map<std::uint32_t, std::uint64_t> accepted_;  // version to hash of its text
    std::set<std::string> evacuated_;
    std::uint64_t evacuations_index_ = 0;
    std::uint32_t forgotten_ = 0;  // up to this version, what was accepted is no longer known
};

}  // namespace dewweir::control

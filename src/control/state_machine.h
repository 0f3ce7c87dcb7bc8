// The replicated state of the control planes: the configuration in force and the evacuated zones. Commands
// from the replicated log change it. Pure and deterministic: the same commands in the same order give the
// same state and outcomes on every replica.
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

// Compare-and-set of the configuration: takes effect only if the version in force is `base` (0: none is).
struct PutConfiguration {
    std::uint32_t base = 0;
    std::uint32_t version = 0;
    std::string text;
    MSGPACK_DEFINE(base, version, text);
};

// Marks a zone as evacuated, or ends its evacuation.
struct SetEvacuation {
    std::string zone;
    bool evacuated = false;
    MSGPACK_DEFINE(zone, evacuated);
};

using Command = std::variant<PutConfiguration, SetEvacuation>;

enum class Outcome : std::uint8_t {
    accepted,
    version_conflict,  // the version in force is not the command's base
    not_newer,         // the version is not greater than the one in force
    expired,           // the version is older than the history kept: whether it was accepted is not known
};

std::string encode_command(const Command& command);
// Returns nothing if the bytes are not exactly one command.
std::optional<Command> decode_command(std::string_view bytes);

class StateMachine {
  public:
    // `index` is the index of the command's log entry.
    Outcome apply(std::uint64_t index, const Command& command);

    const wire::ConfigurationUpdate& configuration() const { return configuration_; }
    wire::EvacuationsUpdate evacuations() const;
    // The last 1024 accepted versions, each with the XXH3 hash of its text.
    const std::map<std::uint32_t, std::uint64_t>& accepted_versions() const { return accepted_; }
    // Whether exactly this text was accepted under this version, now or earlier (within the history kept).
    bool has_accepted(std::uint32_t version, std::string_view text) const;

    std::string snapshot() const;
    // Returns false and changes nothing if the bytes are not a snapshot.
    bool restore(std::string_view bytes);

  private:
    Outcome put_configuration(const PutConfiguration& command);

    wire::ConfigurationUpdate configuration_;
    std::map<std::uint32_t, std::uint64_t> accepted_;  // version to hash of its text
    std::set<std::string> evacuated_;
    std::uint64_t evacuations_index_ = 0;  // log index of the last SetEvacuation
    std::uint32_t expired_up_to_ = 0;      // versions up to this one have left the history; 0: none has
};

}  // namespace dewweir::control

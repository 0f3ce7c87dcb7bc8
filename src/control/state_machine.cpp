#include "control/state_machine.h"

#include <xxhash.h>

#include <vector>

namespace dewweir::control {
namespace {

// How many accepted versions are kept, so that an operator's repeated request gets the same answer again.
constexpr std::size_t max_accepted_versions = 1024;

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

// How many fields the oldest snapshots that may exist have.
constexpr std::size_t min_snapshot_fields = 4;
// The content of a snapshot, encoded as a msgpack array; new fields are only added at the end.
struct SnapshotContent {
    wire::ConfigurationUpdate configuration;
    std::map<std::uint32_t, std::uint64_t> accepted;
    std::vector<std::string> evacuated;
    std::uint64_t evacuations_index = 0;
    std::uint32_t expired_up_to = 0;  // since 2026-12; absent in older snapshots
    MSGPACK_DEFINE(configuration, accepted, evacuated, evacuations_index, expired_up_to);
};

// Decodes the bytes as one object; throws if they are malformed or bytes follow the object.
msgpack::object_handle unpack(std::string_view bytes) {
    std::size_t taken = 0;
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size());
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), taken, nullptr, nullptr, limit);
    if (taken != bytes.size()) throw msgpack::type_error();
    return handle;
}

bool is_array_of(const msgpack::object& object, std::size_t min_size) {
    return object.type == msgpack::type::ARRAY && object.via.array.size >= min_size;
}

template <class Content> std::string pack(const Content& content) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, content);
    return std::string(buffer.data(), buffer.size());
}

}  // namespace

std::string encode_command(const Command& command) {
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(2);
    packer.pack(command.index());
    std::visit([&](const auto& fields) { packer.pack(fields); }, command);
    return std::string(buffer.data(), buffer.size());
}

std::optional<Command> decode_command(std::string_view bytes) {
    try {
        const msgpack::object_handle handle = unpack(bytes);
        const msgpack::object& command = handle.get();
        if (command.type != msgpack::type::ARRAY || command.via.array.size != 2) return std::nullopt;
        const auto kind = command.via.array.ptr[0].as<std::size_t>();
        if (kind == 0) return command.via.array.ptr[1].as<PutConfiguration>();
        if (kind == 1) return command.via.array.ptr[1].as<SetEvacuation>();
    } catch (const std::exception&) {
        // Unreadable bytes: reported as no command below.
    }
    return std::nullopt;
}

Outcome StateMachine::apply(std::uint64_t index, const Command& command) {
    if (const auto* const configuration = std::get_if<PutConfiguration>(&command))
        return put_configuration(*configuration);
    const auto& evacuation = std::get<SetEvacuation>(command);
    if (evacuation.evacuated) {
        evacuated_.insert(evacuation.zone);
    } else {
        evacuated_.erase(evacuation.zone);
    }
    evacuations_index_ = index;
    return Outcome::accepted;
}

Outcome StateMachine::put_configuration(const PutConfiguration& command) {
    if (has_accepted(command.version, command.text)) return Outcome::accepted;
    // A version no longer in the history may have been accepted, so it must not be refused as a conflict.
    if (expired_up_to_ > 0 && command.version <= expired_up_to_) return Outcome::expired;
    if (command.base != configuration_.version) return Outcome::version_conflict;
    if (command.version <= configuration_.version) return Outcome::not_newer;
    configuration_ = {command.version, command.text};
    accepted_[command.version] = hash_of(command.text);
    if (accepted_.size() > max_accepted_versions) {
        expired_up_to_ = accepted_.begin()->first;
        accepted_.erase(accepted_.begin());
    }
    return Outcome::accepted;
}

wire::EvacuationsUpdate StateMachine::evacuations() const {
    return {evacuations_index_, std::vector<std::string>(evacuated_.begin(), evacuated_.end())};
}

bool StateMachine::has_accepted(std::uint32_t version, std::string_view text) const {
    const auto found = accepted_.find(version);
    return found != accepted_.end() && found->second == hash_of(text);
}

std::string StateMachine::snapshot() const {
    const std::vector<std::string> evacuated(evacuated_.begin(), evacuated_.end());
    return pack(SnapshotContent{configuration_, accepted_, evacuated, evacuations_index_, expired_up_to_});
}

bool StateMachine::restore(std::string_view bytes) {
    try {
        const msgpack::object_handle handle = unpack(bytes);
        if (!is_array_of(handle.get(), min_snapshot_fields)) return false;
        const auto content = handle.get().as<SnapshotContent>();
        configuration_ = content.configuration;
        accepted_ = content.accepted;
        evacuated_ = {content.evacuated.begin(), content.evacuated.end()};
        evacuations_index_ = content.evacuations_index;
        expired_up_to_ = content.expired_up_to;
        return true;
    } catch (const std::exception&) { return false; }
}

}  // namespace dewweir::control

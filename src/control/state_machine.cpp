#include "control/state_machine.h"

#include <xxhash.h>

#include <vector>

namespace dewweir::control {
namespace {

// So many versions are remembered, so that a repeated call gets its answer again.
constexpr std::size_t most_accepted = 1024;

std::uint64_t hash_of(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

// What a snapshot holds; later versions add fields at the end.
constexpr std::size_t least_snapshot_fields = 4;
struct SnapshotContent {
    wire::ConfigurationUpdate configuration;
    std::map<std::uint32_t, std::uint64_t> accepted;
    std::vector<std::string> evacuated;
    std::uint64_t evacuations_index = 0;
    std::uint32_t forgotten = 0;  // since 2026-12
    MSGPACK_DEFINE(configuration, accepted, evacuated, evacuations_index, forgotten);
};

// All of the bytes as one object; throws where they are none or go on behind it.
msgpack::object_handle unpack(std::string_view bytes) {
    std::size_t taken = 0;
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size());
    msgpack::object_handle handle =
        msgpack::unpack(bytes.data(), bytes.size(), taken, nullptr, nullptr, limit);
    if (taken != bytes.size()) throw msgpack::type_error();
    return handle;
}

bool is_array_of(const msgpack::object& object, std::size_t least) {
    return object.type == msgpack::type::ARRAY && object.via.array.size >= least;
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
        // Falls through: unreadable.
    }
    return std::nullopt;
}

Outcome StateMachine::apply(std::uint64_t index, const Command& command) {
    if (const auto* const configuration = std::get_if<PutConfiguration>(&command)) return put(*configuration);
    const auto& evacuation = std::get<SetEvacuation>(command);
    if (evacuation.evacuated) {
        evacuated_.insert(evacuation.zone);
    } else {
        evacuated_.erase(evacuation.zone);
    }
    evacuations_index_ = index;
    return Outcome::accepted;
}

Outcome StateMachine::put(const PutConfiguration& command) {
    if (has_accepted(command.version, command.text)) return Outcome::accepted;
    // It may be one of those that were accepted and are forgotten: it must not be refused.
    if (forgotten_ > 0 && command.version <= forgotten_) return Outcome::forgotten;
    if (command.base != configuration_.version) return Outcome::version_conflict;
    if (command.version <= configuration_.version) return Outcome::not_newer;
    configuration_ = {command.version, command.text};
    accepted_[command.version] = hash_of(command.text);
    if (accepted_.size() > most_accepted) {
        forgotten_ = accepted_.begin()->first;
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
    return pack(SnapshotContent{configuration_, accepted_, evacuated, evacuations_index_, forgotten_});
}

bool StateMachine::restore(std::string_view bytes) {
    try {
        const msgpack::object_handle handle = unpack(bytes);
        if (!is_array_of(handle.get(), least_snapshot_fields)) return false;
        const auto content = handle.get().as<SnapshotContent>();
        configuration_ = content.configuration;
        accepted_ = content.accepted;
        evacuated_ = {content.evacuated.begin(), content.evacuated.end()};
        evacuations_index_ = content.evacuations_index;
        forgotten_ = content.forgotten;
        return true;
    } catch (const std::exception&) { return false; }
}

}  // namespace dewweir::control

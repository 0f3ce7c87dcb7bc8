#include "control_plane/status_report.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdio>
#include <map>

#include "configuration/version.h"

namespace dewweir::control_plane {
namespace {

using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

void write_text(Writer& writer, const char* key, const std::string& value) {
    writer.Key(key);
    writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
}

void write_number(Writer& writer, const char* key, std::uint64_t value) {
    writer.Key(key);
    writer.Uint64(value);
}

void write_flag(Writer& writer, const char* key, bool value) {
    writer.Key(key);
    writer.Bool(value);
}

std::string version_text(std::uint32_t version) {
    return configuration::to_string(configuration::Version{version});
}

const char* role_name(wire::Role role) { return role == wire::Role::gateway ? "gateway" : "control-plane"; }

void write_log(Writer& writer, const LogStatus& log) {
    write_text(writer, "role", log.is_leader ? "leader" : "follower");
    write_flag(writer, "leads", log.is_leader);
    write_number(writer, "term", log.term);
    write_text(writer, "leader", log.leader);
    write_text(writer, "leader_control", log.leader_control);
    write_number(writer, "commit_index", log.commit_index);
    write_number(writer, "applied_index", log.applied_index);
}

void write_member(Writer& writer, const wire::Member& member) {
    writer.StartObject();
    write_text(writer, "node", member.node);
    write_text(writer, "role", role_name(member.role));
    write_text(writer, "zone", member.zone);
    write_text(writer, "region", member.region);
    write_flag(writer, "ready", member.ready);
    write_text(writer, "internal", member.internal);
    write_text(writer, "front", member.front);
    write_text(writer, "control", member.control);
    writer.EndObject();
}

void write_members(Writer& writer, const distribution::View& view) {
    writer.Key("members");
    writer.StartArray();
    for (const auto& [node, member] : view.members()) write_member(writer, member);
    writer.EndArray();
}

const char* member_role_name(MemberRole part) {
    switch (part) {
        case MemberRole::voter: return "voter";
        case MemberRole::learner: return "learner";
        case MemberRole::outgoing: return "outgoing";
    }
    return "";
}

const char* disk_name(DiskState disk) {
    switch (disk) {
        case DiskState::writable: return "takes writes";
        case DiskState::stalled: return "hangs";
        case DiskState::failed: return "refuses";
    }
    return "";
}

// The group's members and their roles; the leader adds how many entries each lacks and the time since the
// last contact.
void write_replicas(Writer& writer, const std::vector<MemberStatus>& members) {
    writer.Key("replicas");
    writer.StartArray();
    for (const MemberStatus& member : members) {
        writer.StartObject();
        write_text(writer, "address", member.address);
        write_text(writer, "part", member_role_name(member.role));
        if (member.lag_entries) {
            write_number(writer, "behind", *member.lag_entries);
            write_number(writer, "silent_ms", member.since_last_contact / runtime::tenths_per_millisecond);
        }
        writer.EndObject();
    }
    writer.EndArray();
}

struct InstanceCounts {
    std::uint64_t ready = 0;
    std::uint64_t draining = 0;
};

std::map<std::string, InstanceCounts> count_instances(const distribution::View& view) {
    std::map<std::string, InstanceCounts> services;
    for (const auto& [id, instance] : view.instances()) {
        InstanceCounts& counts = services[instance.service];
        if (instance.state == wire::InstanceState::ready) {
            ++counts.ready;
        } else {
            ++counts.draining;
        }
    }
    return services;
}

void write_instances(Writer& writer, const distribution::View& view) {
    writer.Key("instances");
    writer.StartArray();
    for (const auto& [service, counts] : count_instances(view)) {
        writer.StartObject();
        write_text(writer, "service", service);
        write_number(writer, "ready", counts.ready);
        write_number(writer, "draining", counts.draining);
        writer.EndObject();
    }
    writer.EndArray();
}

void write_instance_zones(Writer& writer, const distribution::View& view) {
    std::set<std::string> zones;
    for (const auto& [id, instance] : view.instances()) zones.insert(instance.zone);
    writer.Key("instance_zones");
    writer.StartArray();
    for (const std::string& zone : zones) writer.String(zone.c_str());
    writer.EndArray();
}

void write_evacuated(Writer& writer, const control::StateMachine& state) {
    writer.Key("evacuated_zones");
    writer.StartArray();
    for (const std::string& zone : state.evacuations().zones) writer.String(zone.c_str());
    writer.EndArray();
}

std::string hash_text(std::uint64_t hash) {
    constexpr std::size_t hash_digits = 16;
    char text[hash_digits + 1];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(hash));
    return text;
}

}  // namespace

std::string status_body(const std::string& node, const LogStatus& log, const control::StateMachine& state,
                        const distribution::View& view) {
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    write_text(writer, "node", node);
    write_log(writer, log);
    if (log.staleness) write_number(writer, "staleness_ms", *log.staleness / runtime::tenths_per_millisecond);
    write_text(writer, "disk", disk_name(log.disk));
    write_replicas(writer, log.members);
    write_text(writer, "configuration", version_text(state.configuration().version));
    write_evacuated(writer, state);
    write_instances(writer, view);
    write_instance_zones(writer, view);
    write_members(writer, view);
    writer.EndObject();
    return buffer.GetString();
}

std::string history_body(const control::StateMachine& state) {
    const wire::ConfigurationUpdate& in_force = state.configuration();
    rapidjson::StringBuffer buffer;
    Writer writer(buffer);
    writer.StartObject();
    writer.Key("versions");
    writer.StartArray();
    std::uint64_t position = 0;
    for (const auto& [version, hash] : state.accepted_versions()) {
        writer.StartObject();
        write_number(writer, "position", ++position);
        write_text(writer, "version", version_text(version));
        write_text(writer, "hash", hash_text(hash));
        write_flag(writer, "in_force", version == in_force.version);
        if (version == in_force.version) write_number(writer, "bytes", in_force.text.size());
        writer.EndObject();
    }
    writer.EndArray();
    writer.EndObject();
    return buffer.GetString();
}

}  // namespace dewweir::control_plane

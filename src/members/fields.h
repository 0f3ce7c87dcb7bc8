// Reads the fields of a gossip item's payload one by one. Payloads come from other processes: a field that is
// missing or of another type is rejected.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "members/message.h"

namespace dewweir::members {

// The decoded payload; a discarded value, which is no object, where it is not valid CBOR.
inline nlohmann::json decode_payload(const GossipItem& item) {
    return nlohmann::json::from_cbor(item.payload, true, false);
}

// Reads the field `name` of `from`, which must be an object. Returns false, and leaves `into` unchanged,
// where the field is missing or of another type.
inline bool read_field(const nlohmann::json& from, const char* name, std::string& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_string() && (into = at->get<std::string>(), true);
}
inline bool read_field(const nlohmann::json& from, const char* name, bool& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_boolean() && (into = at->get<bool>(), true);
}
inline bool read_field(const nlohmann::json& from, const char* name, double& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number() && (into = at->get<double>(), true);
}
inline bool read_field(const nlohmann::json& from, const char* name, std::uint64_t& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number_unsigned() && (into = at->get<std::uint64_t>(), true);
}
inline bool read_field(const nlohmann::json& from, const char* name, Time& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number_integer() && (into = at->get<Time>(), true);
}

}  // namespace dewweir::members

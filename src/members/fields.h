// Fields of what a word carries, read one by one: each is there and of its kind, or it is not read. For
// whoever reads words of others, where nothing that comes may be believed to have the right form.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "members/message.h"

namespace dewweir::members {

// What it carries; no object where it is torn.
inline nlohmann::json carried_by(const Word& word) {
    return nlohmann::json::from_cbor(word.bytes, true, false);
}

// `from` is an object. False, and `into` as it was, where the field is missing or of another kind.
inline bool take(const nlohmann::json& from, const char* name, std::string& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_string() && (into = at->get<std::string>(), true);
}
inline bool take(const nlohmann::json& from, const char* name, bool& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_boolean() && (into = at->get<bool>(), true);
}
inline bool take(const nlohmann::json& from, const char* name, double& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number() && (into = at->get<double>(), true);
}
inline bool take(const nlohmann::json& from, const char* name, std::uint64_t& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number_unsigned() && (into = at->get<std::uint64_t>(), true);
}
inline bool take(const nlohmann::json& from, const char* name, Time& into) {
    const auto at = from.find(name);
    return at != from.end() && at->is_number_integer() && (into = at->get<Time>(), true);
}

}  // namespace dewweir::members

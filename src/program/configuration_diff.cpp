#include "program/configuration_diff.h"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <map>

namespace dewweir::program {
namespace {

using rapidjson::Value;

constexpr std::string_view secret_field = "api_keys";

std::string compact(const Value& value) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    value.Accept(writer);
    return buffer.GetString();
}

bool is_secret(const std::string& path) { return path.ends_with(secret_field); }

bool holds_parts(const Value& value) { return value.IsObject() || value.IsArray(); }

// What may be shown of a value at this path: whole lists of objects may hold keys.
std::string shown(const std::string& path, const Value& value) {
    if (is_secret(path)) return value.IsArray() ? std::to_string(value.Size()) + " keys" : "hidden";
    if (value.IsObject()) return {};
    if (value.IsArray() && std::any_of(value.Begin(), value.End(), holds_parts)) {
        return std::to_string(value.Size()) + " entries";
    }
    return compact(value);
}

// The text by which an element of a list is matched; nothing where it has none.
std::optional<std::string> element_name(const Value& element) {
    if (!element.IsObject()) return std::nullopt;
    for (const char* const field : {"name", "backend"}) {
        const auto found = element.FindMember(field);
        if (found != element.MemberEnd() && found->value.IsString()) return found->value.GetString();
    }
    return std::nullopt;
}

using Parts = std::map<std::string, const Value*>;

// The parts of an object or of a list whose elements all have names of their own; else nothing.
std::optional<Parts> parts_of(const Value& value) {
    Parts parts;
    if (value.IsObject()) {
        for (const auto& field : value.GetObject()) parts[field.name.GetString()] = &field.value;
        return parts;
    }
    if (!value.IsArray()) return std::nullopt;
    for (const Value& element : value.GetArray()) {
        const std::optional<std::string> name = element_name(element);
        if (!name || !parts.emplace(*name, &element).second) return std::nullopt;
    }
    return parts;
}

std::string joined(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "/" + name;
}

void compare(const std::string& path, const Value& before, const Value& after,
             std::vector<Difference>& differences);

void compare_parts(const std::string& path, const Parts& before, const Parts& after,
                   std::vector<Difference>& differences) {
    for (const auto& [name, value] : before) {
        const std::string place = joined(path, name);
        const auto found = after.find(name);
        if (found == after.end()) {
            differences.push_back({DifferenceKind::removed, place, shown(place, *value), {}});
        } else {
            compare(place, *value, *found->second, differences);
        }
    }
    for (const auto& [name, value] : after) {
        if (before.contains(name)) continue;
        const std::string place = joined(path, name);
        differences.push_back({DifferenceKind::added, place, {}, shown(place, *value)});
    }
}

void compare(const std::string& path, const Value& before, const Value& after,
             std::vector<Difference>& differences) {
    if (before == after) return;
    const bool by_parts = !is_secret(path) && before.GetType() == after.GetType();
    const std::optional<Parts> parts_before = parts_of(before);
    const std::optional<Parts> parts_after = parts_of(after);
    if (by_parts && parts_before && parts_after) {
        return compare_parts(path, *parts_before, *parts_after, differences);
    }
    differences.push_back({DifferenceKind::changed, path, shown(path, before), shown(path, after)});
}

}  // namespace

std::string_view to_string(DifferenceKind kind) {
    switch (kind) {
        case DifferenceKind::added: return "added";
        case DifferenceKind::removed: return "removed";
        case DifferenceKind::changed: return "changed";
    }
    return "";
}

std::optional<std::vector<Difference>> compare_configurations(const std::string& before,
                                                              const std::string& after) {
    rapidjson::Document left;
    rapidjson::Document right;
    left.Parse(before.data(), before.size());
    right.Parse(after.data(), after.size());
    if (left.HasParseError() || right.HasParseError()) return std::nullopt;
    std::vector<Difference> differences;
    compare({}, left, right, differences);
    return differences;
}

}  // namespace dewweir::program

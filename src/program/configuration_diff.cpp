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

// Whether the value is an object or a list.
bool is_container(const Value& value) { return value.IsObject() || value.IsArray(); }

// Text for a value at this path that reveals no API keys: objects and lists of containers, which may contain
// keys, are not printed.
std::string display_text(const std::string& path, const Value& value) {
    if (is_secret(path)) return value.IsArray() ? std::to_string(value.Size()) + " keys" : "hidden";
    if (value.IsObject()) return {};
    if (value.IsArray() && std::any_of(value.Begin(), value.End(), is_container)) {
        return std::to_string(value.Size()) + " entries";
    }
    return compact(value);
}

// Name by which an element of a list is matched; nothing if it has none.
std::optional<std::string> element_name(const Value& element) {
    if (!element.IsObject()) return std::nullopt;
    for (const char* const field : {"name", "backend"}) {
        const auto found = element.FindMember(field);
        if (found != element.MemberEnd() && found->value.IsString()) return found->value.GetString();
    }
    return std::nullopt;
}

using Children = std::map<std::string, const Value*>;

// Children by name: the fields of an object, or the elements of a list if all have distinct names. Nothing
// for other values.
std::optional<Children> children_of(const Value& value) {
    Children children;
    if (value.IsObject()) {
        for (const auto& field : value.GetObject()) children[field.name.GetString()] = &field.value;
        return children;
    }
    if (!value.IsArray()) return std::nullopt;
    for (const Value& element : value.GetArray()) {
        const std::optional<std::string> name = element_name(element);
        if (!name || !children.emplace(*name, &element).second) return std::nullopt;
    }
    return children;
}

std::string joined(const std::string& path, const std::string& name) {
    return path.empty() ? name : path + "/" + name;
}

void compare(const std::string& path, const Value& before, const Value& after,
             std::vector<Difference>& differences);

void compare_children(const std::string& path, const Children& before, const Children& after,
                      std::vector<Difference>& differences) {
    for (const auto& [name, value] : before) {
        const std::string child_path = joined(path, name);
        const auto found = after.find(name);
        if (found == after.end()) {
            differences.push_back(
                {DifferenceKind::removed, child_path, display_text(child_path, *value), {}});
        } else {
            compare(child_path, *value, *found->second, differences);
        }
    }
    for (const auto& [name, value] : after) {
        if (before.contains(name)) continue;
        const std::string child_path = joined(path, name);
        differences.push_back({DifferenceKind::added, child_path, {}, display_text(child_path, *value)});
    }
}

void compare(const std::string& path, const Value& before, const Value& after,
             std::vector<Difference>& differences) {
    if (before == after) return;
    const bool by_children = !is_secret(path) && before.GetType() == after.GetType();
    const std::optional<Children> children_before = children_of(before);
    const std::optional<Children> children_after = children_of(after);
    if (by_children && children_before && children_after) {
        return compare_children(path, *children_before, *children_after, differences);
    }
    differences.push_back(
        {DifferenceKind::changed, path, display_text(path, before), display_text(path, after)});
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

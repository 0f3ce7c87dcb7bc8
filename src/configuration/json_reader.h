// Reads typed fields out of a JSON object. The first thing that is wrong is kept as a rejection; later ones
// and the values read after it mean nothing.
#pragma once

#include <rapidjson/document.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/parser.h"

namespace dewweir::configuration {

// A place in the JSON text, linked to the places that hold it. Lives on the stack; made into a pointer only
// on faults.
struct Place {
    const Place* parent = nullptr;
    std::string_view name;             // of a field
    std::optional<std::size_t> index;  // of an element, in place of a name

    std::string pointer() const;
};

// Keeps the first rejection.
class Rejections {
  public:
    void add(Reason reason, const Place& place, std::string advice);
    bool any() const { return first_.has_value(); }
    const std::optional<Rejection>& first() const { return first_; }

  private:
    std::optional<Rejection> first_;
};

class JsonReader {
  public:
    // All three must outlive the reader. A value that is no object is rejected.
    JsonReader(const rapidjson::Value& value, const Place& place, Rejections& rejections);

    // The field's value; null where it is not there or null.
    const rapidjson::Value* find(std::string_view name) const;

    // Each rejects a missing field.
    std::string text(std::string_view name);
    std::chrono::milliseconds time(std::string_view name);

    // Each takes `fallback` for a missing field.
    std::string text_or(std::string_view name, std::string_view fallback);
    std::chrono::milliseconds time_or(std::string_view name, std::chrono::milliseconds fallback);
    bool flag_or(std::string_view name, bool fallback);
    double number_or(std::string_view name, double fallback);
    std::uint32_t count_or(std::string_view name, std::uint32_t fallback);
    std::uint64_t size_or(std::string_view name, std::uint64_t fallback);

    // A list of texts, empty for a missing field.
    std::vector<std::string> texts(std::string_view name);

    // The elements of a list; null and rejected unless the field is a list.
    const rapidjson::Value* list(std::string_view name);

    void reject(Reason reason, std::string_view name, std::string advice);
    Place at(std::string_view name) const { return {&place_, name, std::nullopt}; }
    Rejections& rejections() { return rejections_; }

  private:
    const rapidjson::Value* require(std::string_view name);
    std::string to_text(const rapidjson::Value& value, std::string_view name);
    std::chrono::milliseconds to_time(const rapidjson::Value& value, std::string_view name);
    std::uint64_t whole_or(std::string_view name, std::uint64_t fallback, std::uint64_t largest);

    const rapidjson::Value& value_;
    const Place& place_;
    Rejections& rejections_;
};

}  // namespace dewweir::configuration

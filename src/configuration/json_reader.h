// Reads typed fields from a JSON object and records the first error as a rejection. After an error, the
// values returned by later reads are meaningless and later errors are dropped.
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

// Location of a value in a JSON document, linked to the location of its parent. Lives on the stack; the JSON
// pointer is built only when an error is reported.
struct JsonLocation {
    const JsonLocation* parent = nullptr;  // null for the whole document
    std::string_view name;                 // name of the field, unless `index` is set
    std::optional<std::size_t> index;      // position of a list's element

    // JSON pointer (RFC 6901); "" for the whole document.
    std::string pointer() const;
};

// Keeps the first rejection that is added; ignores later ones.
class FirstRejection {
  public:
    void add(Reason reason, const JsonLocation& location, std::string advice);
    bool present() const { return rejection_.has_value(); }
    const std::optional<Rejection>& get() const { return rejection_; }

  private:
    std::optional<Rejection> rejection_;
};

// Reads the fields of one JSON object. A field that is null counts as missing.
class JsonReader {
  public:
    // All three arguments must outlive the reader. A value that is not an object is rejected.
    JsonReader(const rapidjson::Value& value, const JsonLocation& location, FirstRejection& rejection);

    // The field's value; a null pointer if it is missing.
    const rapidjson::Value* find(std::string_view name) const;

    // Required fields: rejected if missing.
    std::string text(std::string_view name);
    std::chrono::milliseconds time(std::string_view name);

    // Optional fields: `fallback` if missing. Numbers must be at least 0.
    std::string text_or(std::string_view name, std::string_view fallback);
    std::chrono::milliseconds time_or(std::string_view name, std::chrono::milliseconds fallback);
    bool flag_or(std::string_view name, bool fallback);
    double number_or(std::string_view name, double fallback);
    std::uint32_t count_or(std::string_view name, std::uint32_t fallback);
    std::uint64_t size_or(std::string_view name, std::uint64_t fallback);

    // An optional list of strings: empty if missing.
    std::vector<std::string> texts(std::string_view name);

    // A required list. Returns a null pointer and rejects if the field is missing or not a list.
    const rapidjson::Value* list(std::string_view name);

    // Records a rejection of the field `name`.
    void reject(Reason reason, std::string_view name, std::string advice);
    // Location of the field `name`; refers to this reader's own location.
    JsonLocation at(std::string_view name) const { return {&location_, name, std::nullopt}; }
    FirstRejection& rejection() { return rejection_; }

  private:
    const rapidjson::Value* require(std::string_view name);
    std::string to_text(const rapidjson::Value& value, std::string_view name);
    std::chrono::milliseconds to_time(const rapidjson::Value& value, std::string_view name);
    std::uint64_t integer_or(std::string_view name, std::uint64_t fallback, std::uint64_t largest);

    const rapidjson::Value& value_;
    const JsonLocation& location_;
    FirstRejection& rejection_;
};

}  // namespace dewweir::configuration

#include "configuration/json_reader.h"

#include <cmath>
#include <limits>
#include <utility>

#include "settings/duration.h"

namespace dewweir::configuration {
namespace {

std::string_view string_view_of(const rapidjson::Value& value) {
    return {value.GetString(), value.GetStringLength()};
}

}  // namespace

// RFC 6901. Needs no escaping: no field that is read has '/' or '~' in its name.
std::string JsonLocation::pointer() const {
    if (parent == nullptr) return "";
    const std::string last = index ? std::to_string(*index) : std::string(name);
    return parent->pointer() + '/' + last;
}

void FirstRejection::add(Reason reason, const JsonLocation& location, std::string advice) {
    if (rejection_) return;
    rejection_ = Rejection{reason, location.pointer(), std::move(advice)};
}

JsonReader::JsonReader(const rapidjson::Value& value, const JsonLocation& location, FirstRejection& rejection)
    : value_(value), location_(location), rejection_(rejection) {
    if (!value.IsObject()) rejection.add(Reason::wrong_type, location, "must be an object");
}

const rapidjson::Value* JsonReader::find(std::string_view name) const {
    if (!value_.IsObject()) return nullptr;
    const auto length = static_cast<rapidjson::SizeType>(name.size());
    const auto member = value_.FindMember(rapidjson::Value(rapidjson::StringRef(name.data(), length)));
    if (member == value_.MemberEnd() || member->value.IsNull()) return nullptr;
    return &member->value;
}

const rapidjson::Value* JsonReader::require(std::string_view name) {
    const rapidjson::Value* value = find(name);
    if (value == nullptr) reject(Reason::missing_field, name, "must be given");
    return value;
}

void JsonReader::reject(Reason reason, std::string_view name, std::string advice) {
    rejection_.add(reason, at(name), std::move(advice));
}

std::string JsonReader::to_text(const rapidjson::Value& value, std::string_view name) {
    if (value.IsString()) return std::string(string_view_of(value));
    reject(Reason::wrong_type, name, "must be a text");
    return {};
}

std::chrono::milliseconds JsonReader::to_time(const rapidjson::Value& value, std::string_view name) {
    using settings::DurationError;
    if (!value.IsString()) {
        reject(Reason::wrong_type, name, "must be a text like 1500ms or 2.5s");
        return {};
    }
    const settings::ParsedDuration parsed = settings::parse_duration(string_view_of(value));
    if (!parsed.error) return parsed.value;
    switch (*parsed.error) {
        case DurationError::malformed:
            reject(Reason::malformed_time, name, "must be a number and its unit, like 1500ms or 2.5s");
            break;
        case DurationError::negative: reject(Reason::negative_number, name, "must be 0ms or more"); break;
        case DurationError::too_long:
            reject(Reason::number_out_of_range, name, "must be a year or less");
            break;
    }
    return {};
}

std::string JsonReader::text(std::string_view name) {
    const rapidjson::Value* value = require(name);
    return value == nullptr ? std::string() : to_text(*value, name);
}

std::chrono::milliseconds JsonReader::time(std::string_view name) {
    const rapidjson::Value* value = require(name);
    return value == nullptr ? std::chrono::milliseconds{0} : to_time(*value, name);
}

std::string JsonReader::text_or(std::string_view name, std::string_view fallback) {
    const rapidjson::Value* value = find(name);
    return value == nullptr ? std::string(fallback) : to_text(*value, name);
}

std::chrono::milliseconds JsonReader::time_or(std::string_view name, std::chrono::milliseconds fallback) {
    const rapidjson::Value* value = find(name);
    return value == nullptr ? fallback : to_time(*value, name);
}

bool JsonReader::flag_or(std::string_view name, bool fallback) {
    const rapidjson::Value* value = find(name);
    if (value == nullptr) return fallback;
    if (value->IsBool()) return value->GetBool();
    reject(Reason::wrong_type, name, "must be true or false");
    return fallback;
}

double JsonReader::number_or(std::string_view name, double fallback) {
    const rapidjson::Value* value = find(name);
    if (value == nullptr) return fallback;
    if (!value->IsNumber()) {
        reject(Reason::wrong_type, name, "must be a number");
        return fallback;
    }
    const double number = value->GetDouble();
    if (number < 0.0) reject(Reason::negative_number, name, "must be 0 or more");
    return number;
}

// An integer may also be written with a zero fraction, like 2.0.
std::uint64_t JsonReader::integer_or(std::string_view name, std::uint64_t fallback, std::uint64_t largest) {
    const double number = number_or(name, static_cast<double>(fallback));
    const rapidjson::Value* value = find(name);
    if (value == nullptr || !value->IsNumber() || number < 0.0) return fallback;
    if (number != std::floor(number)) {
        reject(Reason::wrong_type, name, "must be a whole number");
        return fallback;
    }
    constexpr double kLargestExactInteger = 9007199254740992.0;  // 2^53: above it a double skips integers
    const bool too_large = number > kLargestExactInteger || number > static_cast<double>(largest);
    if (too_large) reject(Reason::number_out_of_range, name, "is too large");
    return too_large ? fallback : static_cast<std::uint64_t>(number);
}

std::uint32_t JsonReader::count_or(std::string_view name, std::uint32_t fallback) {
    return static_cast<std::uint32_t>(integer_or(name, fallback, std::numeric_limits<std::uint32_t>::max()));
}

std::uint64_t JsonReader::size_or(std::string_view name, std::uint64_t fallback) {
    return integer_or(name, fallback, std::numeric_limits<std::uint64_t>::max());
}

std::vector<std::string> JsonReader::texts(std::string_view name) {
    std::vector<std::string> strings;
    if (find(name) == nullptr) return strings;
    const rapidjson::Value* elements = list(name);
    if (elements == nullptr) return strings;
    const JsonLocation here = at(name);
    strings.reserve(elements->Size());
    for (const auto& element : elements->GetArray()) {
        const JsonLocation location{&here, {}, strings.size()};
        if (!element.IsString()) {
            rejection_.add(Reason::wrong_type, location, "must be a text");
            return strings;
        }
        strings.emplace_back(string_view_of(element));
    }
    return strings;
}

const rapidjson::Value* JsonReader::list(std::string_view name) {
    const rapidjson::Value* value = require(name);
    if (value == nullptr || value->IsArray()) return value;
    reject(Reason::wrong_type, name, "must be a list");
    return nullptr;
}

}  // namespace dewweir::configuration

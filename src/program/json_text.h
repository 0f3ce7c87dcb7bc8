// Builds the JSON output of commands called with `--json`.
#pragma once

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace dewweir::program {

// Writer of one JSON object. Calls must be in document order; every begin needs its end.
class JsonText {
  public:
    void begin_object() { writer_.StartObject(); }
    void begin_object(const char* key) {
        writer_.Key(key);
        writer_.StartObject();
    }
    void end_object() { writer_.EndObject(); }
    void begin_list(const char* key) {
        writer_.Key(key);
        writer_.StartArray();
    }
    void end_list() { writer_.EndArray(); }
    void element(std::string_view value) { write(value); }
    void text(const char* key, std::string_view value) {
        writer_.Key(key);
        write(value);
    }
    void number(const char* key, std::uint64_t value) {
        writer_.Key(key);
        writer_.Uint64(value);
    }
    void flag(const char* key, bool value) {
        writer_.Key(key);
        writer_.Bool(value);
    }
    // The JSON text as one line, ending with a newline.
    std::string line() const { return std::string(buffer_.GetString()) + "\n"; }

  private:
    void write(std::string_view value) {
        writer_.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
    }

    rapidjson::StringBuffer buffer_;
    rapidjson::Writer<rapidjson::StringBuffer> writer_{buffer_};
};

}  // namespace dewweir::program

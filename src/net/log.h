// The log: owns the stream that lines go to, with a level filter. It must never hold up the loop: lines
// beyond its allowance or while the stream's reader lags are counted and not written, repeats are counted
// once.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <ostream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "events.h"

namespace dewweir::net {

// One typed value of an event.
struct Field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, const std::vector<std::int64_t>*> value;
};

using Fields = std::initializer_list<Field>;

// How a line is written, without its end; `unix_ms` is when. Handed in, so that the platform's program
// carries no form but its own.
using LineFormat = std::string (*)(std::int64_t unix_ms, const EventKind& kind, const std::string& text,
                                   Fields fields);
std::string text_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields fields);

class Log {
  public:
    // `descriptor` is what the stream writes to; it is asked whether it takes a line. -1: always. `lines` a
    // second are written at the most.
    Log(std::ostream& out, int descriptor, Level max_level, int lines_per_second = 100,
        LineFormat format = text_line)
        : out_(out),
          descriptor_(descriptor),
          max_level_(max_level),
          lines_per_second_(lines_per_second),
          format_(format) {}
    ~Log() { flush_repeats(); }
    bool shows(Event event) const { return kind_of(event).level <= max_level_; }
    // `text` is for people, the fields for programs; text lines have the first, JSON both.
    void record(Event event, std::string text, Fields fields = {});

  private:
    bool writable() const;
    void flush_repeats();
    void write(Event event, const std::string& text, Fields fields);
    std::string line(Event event, const std::string& text, Fields fields) const;

    std::ostream& out_;
    int descriptor_;
    Level max_level_;
    int lines_per_second_;
    LineFormat format_;
    std::string last_line_;  // event and text
    std::int64_t repeats_ = 0, lines_dropped_ = 0;
    int allowance_ = 0;
    std::chrono::steady_clock::time_point allowance_set_at_{};
};

}  // namespace dewweir::net

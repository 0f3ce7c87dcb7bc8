// Log of a gateway: writes one line per event to a stream, filtered by level. Logging never blocks the event
// loop: lines beyond the rate limit, or while the reader of the stream lags, are counted and dropped;
// consecutive repeats are collapsed.
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

// A named, typed value of an event.
struct Field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, const std::vector<std::int64_t>*> value;
};

using Fields = std::initializer_list<Field>;

// Formats a line without its line end; `unix_ms` is the time of the event. Passed in, so that the gateway
// program links only its own format.
using LineFormat = std::string (*)(std::int64_t unix_ms, const EventKind& kind, const std::string& text,
                                   Fields fields);
std::string text_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields fields);

class Log {
  public:
    // `descriptor`: file descriptor behind `out`, polled for writability before each line; -1 disables the
    // check. At most `lines_per_second` lines are written.
    Log(std::ostream& out, int descriptor, Level max_level, int lines_per_second = 100,
        LineFormat format = text_line)
        : out_(out),
          descriptor_(descriptor),
          max_level_(max_level),
          lines_per_second_(lines_per_second),
          format_(format) {}
    ~Log() { flush_repeats(); }
    bool shows(Event event) const { return kind_of(event).level <= max_level_; }
    // Logs an event. Text lines contain `text` only, JSON lines also the fields.
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
    std::string last_line_;  // event name and text of the last line
    std::int64_t repeats_ = 0, lines_dropped_ = 0;
    int allowance_ = 0;
    std::chrono::steady_clock::time_point allowance_set_at_{};
};

}  // namespace dewweir::net

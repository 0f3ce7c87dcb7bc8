// The log: owns the stream that lines go to, with a level filter. It must never hold up the loop: lines
// beyond its allowance or while the stream's reader lags are counted and not written, repeats are counted
// once.
#pragma once

#include <chrono>
#include <cstdint>
#include <ostream>
#include <string>

namespace dewweir::net {

enum class Level { error, warning, info, debug };

class Log {
  public:
    // `descriptor` is what the stream writes to; it is asked whether it takes a line. -1: always. `lines` a
    // second are written at the most.
    Log(std::ostream& out, int descriptor, Level most, int lines = 100)
        : out_(out), descriptor_(descriptor), most_(most), lines_(lines) {}
    ~Log() { flush_repeats(); }
    bool shows(Level level) const { return level <= most_; }
    void line(Level level, const std::string& text);

  private:
    bool writable() const;
    void flush_repeats();
    void write(const std::string& text);

    std::ostream& out_;
    int descriptor_;
    Level most_;
    int lines_;
    std::string last_;
    std::uint64_t repeats_ = 0, left_out_ = 0;
    int allowance_ = 0;
    std::chrono::steady_clock::time_point filled_{};
};

}  // namespace dewweir::net

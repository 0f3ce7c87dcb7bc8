#include "log.h"

#include <poll.h>

namespace dewweir::net {

void Log::line(Level level, const std::string& text) {
    if (!shows(level)) return;
    static const char* const names[] = {"error ", "warning ", "info ", "debug "};
    std::string full = names[static_cast<int>(level)] + text;
    if (full.size() > 1000) full.resize(1000);
    for (char& c : full)
        if (static_cast<unsigned char>(c) < ' ') c = ' ';  // a peer's bytes must not make lines of their own
    if (full == last_) {
        ++repeats_;
        return;
    }
    flush_repeats();
    write(full);
    last_ = std::move(full);
}

void Log::flush_repeats() {
    if (repeats_) write("info the line before came " + std::to_string(repeats_) + " more times");
    repeats_ = 0;
}

bool Log::writable() const {
    pollfd asked{descriptor_, POLLOUT, 0};
    return descriptor_ < 0 || (::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT));
}

void Log::write(const std::string& text) {
    const auto now = std::chrono::steady_clock::now();
    if (now - filled_ >= std::chrono::seconds(1)) filled_ = now, allowance_ = lines_;
    if (allowance_ <= 0 || !writable()) {
        ++left_out_;
        return;
    }
    --allowance_;
    if (left_out_) out_ << "warning " << left_out_ << " lines left out\n";
    left_out_ = 0;
    const auto unix_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                             std::chrono::system_clock::now().time_since_epoch())
                             .count();
    out_ << unix_ms / 1000 << '.' << std::to_string(1000 + unix_ms % 1000).substr(1) << ' ' << text << '\n';
    out_.flush();
}

}  // namespace dewweir::net

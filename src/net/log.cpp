#include "log.h"

#include <poll.h>

#include <utility>

namespace dewweir::net {
namespace {

constexpr std::size_t max_text_bytes = 1000;

}  // namespace

void Log::record(Event event, std::string text, Fields fields) {
    if (!shows(event)) return;
    if (text.size() > max_text_bytes) text.resize(max_text_bytes);
    for (char& c : text)
        if (static_cast<unsigned char>(c) < ' ') c = ' ';  // untrusted bytes must not inject lines
    std::string name_and_text = kind_of(event).name + (' ' + text);
    if (name_and_text == last_line_) {
        ++repeats_;
        return;
    }
    flush_repeats();
    write(event, text, fields);
    last_line_ = std::move(name_and_text);
}

void Log::flush_repeats() {
    if (const auto times = std::exchange(repeats_, 0))
        write(Event::log_repeated, "the line before came " + std::to_string(times) + " more times",
              {{"times", times}});
}

bool Log::writable() const {
    pollfd asked{descriptor_, POLLOUT, 0};
    return descriptor_ < 0 || (::poll(&asked, 1, 0) == 1 && (asked.revents & POLLOUT));
}

void Log::write(Event event, const std::string& text, Fields fields) {
    const auto now = std::chrono::steady_clock::now();
    if (now - allowance_set_at_ >= std::chrono::seconds(1)) {
        allowance_set_at_ = now;
        allowance_ = lines_per_second_;
    }
    if (allowance_ <= 0 || !writable()) {
        ++lines_dropped_;
        return;
    }
    --allowance_;
    std::string lines;
    if (lines_dropped_)
        lines = line(Event::log_left_out, std::to_string(lines_dropped_) + " lines left out",
                     {{"lines", lines_dropped_}});
    lines += line(event, text, fields);
    out_.clear();  // an earlier error such as a full disk may have been resolved
    out_ << lines << std::flush;
    if (out_) lines_dropped_ = 0;
    else ++lines_dropped_;
}

std::string Log::line(Event event, const std::string& text, Fields fields) const {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return format_(std::chrono::duration_cast<std::chrono::milliseconds>(now).count(), kind_of(event), text,
                   fields) +
           '\n';
}

std::string text_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields) {
    std::string line = std::to_string(unix_ms / 1000);
    line.append(".").append(std::to_string(1000 + unix_ms % 1000), 1);
    return line + ' ' + name_of(kind.level) + ' ' + text;
}

}  // namespace dewweir::net

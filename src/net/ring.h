// Ring buffer for one direction of a connection. Grows on demand and releases its memory when it is empty
// and trimmed.
#pragma once

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>
#include <string_view>

namespace dewweir::net {

class Ring {
  public:
    std::size_t size() const { return size_; }
    bool empty() const { return size_ == 0; }
    std::size_t room() const { return capacity_ - size_; }

    // Readable bytes in order; the second part is empty unless they wrap around.
    std::array<std::string_view, 2> filled() const {
        const std::size_t first = std::min(size_, capacity_ - head_);
        return {{{bytes_.get() + head_, first}, {bytes_.get(), size_ - first}}};
    }
    void consume(std::size_t n) {
        size_ -= n;
        if (n) head_ = (head_ + n) & (capacity_ - 1);
    }

    struct Space {
        char* at;
        std::size_t size;
    };
    // Writable space in order; `commit` makes written bytes readable.
    std::array<Space, 2> space() {
        if (capacity_ == 0) return {{{nullptr, 0}, {nullptr, 0}}};
        const std::size_t tail = (head_ + size_) & (capacity_ - 1);
        const std::size_t first = std::min(room(), capacity_ - tail);
        return {{{bytes_.get() + tail, first}, {bytes_.get(), room() - first}}};
    }
    void commit(std::size_t n) { size_ += n; }
    void append(std::string_view text) {
        make_room(text.size());
        const auto parts = space();
        const std::size_t first = std::min(parts[0].size, text.size());
        std::memcpy(parts[0].at, text.data(), first);
        if (first < text.size()) std::memcpy(parts[1].at, text.data() + first, text.size() - first);
        size_ += text.size();
    }

    // Grows so that at least `wanted` more bytes fit.
    void make_room(std::size_t wanted) {
        if (room() >= wanted) return;
        std::size_t capacity = std::max<std::size_t>(capacity_, 1024);
        while (capacity - size_ < wanted) capacity *= 2;
        std::unique_ptr<char[]> bytes(new char[capacity]);
        std::size_t at = 0;
        for (const std::string_view part : filled())
            if (!part.empty()) {
                std::memcpy(&bytes[at], part.data(), part.size());
                at += part.size();
            }
        bytes_ = std::move(bytes);
        capacity_ = capacity;
        head_ = 0;
    }
    // Releases the memory if the ring is empty.
    void trim() {
        if (size_) return;
        bytes_.reset();
        capacity_ = head_ = 0;
    }

  private:
    std::unique_ptr<char[]> bytes_;
    std::size_t capacity_ = 0, head_ = 0, size_ = 0;  // the capacity is a power of two, or 0
};

}  // namespace dewweir::net

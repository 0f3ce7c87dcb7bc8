// Table of slots addressed by handles of slot number and generation, so that a late event never reaches the
// new occupant of a slot. Elements never move. A handle of an occupied slot is never reused.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace dewweir::net {

using Handle = std::uint32_t;  // generation and slot number; 0 is none

template <class T> class Slots {
  public:
    static constexpr std::uint32_t slot_bits = 14;

    // 0 when every slot is taken.
    template <class... From> Handle add(From&&... from) {
        if (free_.empty()) {
            if (slots_.size() >> slot_bits) return 0;
            free_.push_back(static_cast<std::uint32_t>(slots_.size()));
            slots_.emplace_back();
        }
        const std::uint32_t n = free_.back();
        free_.pop_back();
        Slot& slot = slots_[n];
        if ((++slot.generation << slot_bits) == 0) slot.generation = 1;
        slot.held.emplace(std::forward<From>(from)...);
        ++size_;
        return slot.generation << slot_bits | n;
    }
    T* find(Handle handle) {
        const std::uint32_t n = handle & ((1u << slot_bits) - 1);
        if (n >= slots_.size() || !slots_[n].held || slots_[n].generation << slot_bits != (handle ^ n))
            return nullptr;
        return &*slots_[n].held;
    }
    void remove(Handle handle) {
        if (!find(handle)) return;
        const std::uint32_t n = handle & ((1u << slot_bits) - 1);
        slots_[n].held.reset();
        free_.push_back(n);
        --size_;
    }
    std::size_t size() const { return size_; }
    template <class Visit> void each(Visit visit) {
        for (std::uint32_t n = 0; n < slots_.size(); ++n)
            if (slots_[n].held) visit(slots_[n].generation << slot_bits | n, *slots_[n].held);
    }

  private:
    struct Slot {
        std::uint32_t generation = 0;
        std::optional<T> held;
    };
    std::deque<Slot> slots_;
    std::vector<std::uint32_t> free_;
    std::size_t size_ = 0;
};

}  // namespace dewweir::net

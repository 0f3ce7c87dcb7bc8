#include "counter.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "errors/errors.h"

namespace dewweir::model {

Counter::Counter(const CounterTraits& traits)
    : traits_(traits), free_(std::max<std::size_t>(1, traits.parts)) {
    if (traits.parts < 1) throw errors::BadCall("counter: parts", "is out of range");
    if (traits.each < 0) throw errors::BadCall("counter: each", "is out of range");
}

Counter::Answer Counter::call(Time now, const std::string& name, double amount, Time life) {
    const std::size_t part = XXH64(name.data(), name.size(), 0) % free_.size();
    const Time turn = std::llround(static_cast<double>(traits_.each) * slow);
    Time& free = free_[part];
    free = std::max(free, now);
    if (turn > 0 && free - now >= turn * static_cast<Time>(traits_.line))
        return {now, AttemptOutcome::overloaded, 0};
    free += turn;
    forget(now);
    Name& held = names_[name];
    if (held.until <= now) held = {0, now + std::clamp<Time>(life, 10, longest_life)};
    held.total += amount;
    return {silent || part < silent_parts ? -1 : free, AttemptOutcome::ok, held.total};
}

void Counter::forget(Time now) {
    if (now - forgot_ < longest_life / 60) return;
    forgot_ = now;
    std::erase_if(names_, [&](const auto& one) { return one.second.until <= now; });
}

}  // namespace dewweir::model

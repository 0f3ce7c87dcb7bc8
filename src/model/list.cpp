#include "list.h"

#include <algorithm>
#include <stdexcept>

namespace dewweir::model {

List::List(const ListTraits& traits) : traits_(traits) {
    if (traits.each < 1) throw std::invalid_argument("list: each is out of range");
    if (traits.patience < 1) throw std::invalid_argument("list: patience is out of range");
    if (traits.line < 0) throw std::invalid_argument("list: line is out of range");
}

List::Answer List::call(Time now) {
    free_ = std::max(free_, now);
    if (free_ - now > traits_.line * traits_.each) return {now, false};
    free_ += traits_.each;
    const Time last = now + traits_.patience;
    return {std::min(free_, last), free_ <= last};
}

}  // namespace dewweir::model

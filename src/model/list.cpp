#include "list.h"

#include <algorithm>
#include <cmath>

#include "errors/errors.h"

namespace dewweir::model {

List::List(const ListTraits& traits) : traits_(traits) {
    if (traits.each < 1) throw errors::BadCall("list: each", "is out of range");
    if (traits.patience < 1) throw errors::BadCall("list: patience", "is out of range");
    if (traits.line < 0) throw errors::BadCall("list: line", "is out of range");
}

List::Answer List::call(Time now, double slow) {
    free_ = std::max(free_, now);
    const Time each = std::llround(static_cast<double>(traits_.each) * slow);
    if (free_ - now > traits_.line * each) return {now, false};
    free_ += each;
    const Time last = now + traits_.patience;
    return {std::min(free_, last), free_ <= last};
}

}  // namespace dewweir::model

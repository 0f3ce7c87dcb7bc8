#include "gateway/carried_requests.h"

#include <xxhash.h>

#include <algorithm>

namespace dewweir::gateway {

CarriedRequests::Hash CarriedRequests::hash(std::string_view attempt_id) {
    return XXH3_64bits(attempt_id.data(), attempt_id.size());
}

void CarriedRequests::add(std::string_view attempt_id, bool head) {
    requests_.push_back(hash(attempt_id));
    if (head) head_requests_.push_back(requests_.back());
}

bool CarriedRequests::contains(std::string_view attempt_id) const {
    return std::find(requests_.begin(), requests_.end(), hash(attempt_id)) != requests_.end();
}

CarriedRequests::Framing CarriedRequests::response_framing(std::string_view attempt_id) const {
    if (head_requests_.empty()) return Framing::as_stated;
    if (head_requests_.size() == requests_.size()) return Framing::no_body;
    if (attempt_id.empty() || !contains(attempt_id)) return Framing::unknown;
    const Hash wanted = hash(attempt_id);
    const bool head = std::find(head_requests_.begin(), head_requests_.end(), wanted) != head_requests_.end();
    return head ? Framing::no_body : Framing::as_stated;
}

}  // namespace dewweir::gateway

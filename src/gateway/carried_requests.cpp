#include "gateway/carried_requests.h"

#include <xxhash.h>

#include <algorithm>

namespace dewweir::gateway {

CarriedRequests::Hash CarriedRequests::hash(std::string_view attempt_id) {
    return XXH3_64bits(attempt_id.data(), attempt_id.size());
}

void CarriedRequests::add(std::string_view attempt_id) { requests_.push_back(hash(attempt_id)); }

bool CarriedRequests::contains(std::string_view attempt_id) const {
    return std::find(requests_.begin(), requests_.end(), hash(attempt_id)) != requests_.end();
}

}  // namespace dewweir::gateway

#include "gateway/placement.h"

#include <xxhash.h>

namespace dewweir::gateway {

void Placement::update(const std::map<std::string, wire::Member>& members, runtime::Time now) {
    for (const auto& [node, member] : members) {
        if (member.role != wire::Role::gateway) continue;
        gateways_[node] = {XXH3_64bits(node.data(), node.size()), member, now};
    }
    std::erase_if(gateways_, [&](const auto& item) {
        return !members.contains(item.first) && now - item.second.seen_at > absence_limit;
    });
}

const wire::Member* Placement::holder_of(std::uint64_t tenant) const {
    const wire::Member* holder = nullptr;
    std::uint64_t highest = 0;
    for (const auto& [node, gateway] : gateways_) {
        const std::uint64_t key[] = {gateway.hash, tenant};
        const std::uint64_t score = XXH3_64bits(key, sizeof key);
        if (holder && score <= highest) continue;
        holder = &gateway.member;
        highest = score;
    }
    return holder;
}

}  // namespace dewweir::gateway

#include "control/member_table.h"

#include <algorithm>

namespace dewweir::control {

void MemberTable::report(Clock::time_point now, const std::string& reporter,
                         const std::vector<wire::Member>& members) {
    std::set<std::string> reported;
    for (const wire::Member& member : members) {
        reported.insert(member.node);
        entries_[member.node] = {member, reporter, std::nullopt};
    }
    for (auto& [node, entry] : entries_) {
        if (entry.reporter == reporter && !reported.contains(node))
            start_expiry(now, entry, options_.reconnect_grace);
    }
}

void MemberTable::reporter_lost(Clock::time_point now, const std::string& reporter) {
    for (auto& [node, entry] : entries_) {
        if (entry.reporter == reporter) start_expiry(now, entry, options_.reporter_grace);
    }
}

void MemberTable::start_expiry(Clock::time_point now, Entry& entry, std::chrono::milliseconds grace) {
    entry.reporter.clear();
    entry.expires_at = now + grace;
}

void MemberTable::inherit(Clock::time_point now, const std::vector<wire::Member>& members,
                          bool known_complete) {
    if (!known_complete) complete_at_ = now + options_.inherited_grace;
    for (const wire::Member& member : members) {
        entries_.try_emplace(member.node, Entry{member, {}, now + options_.inherited_grace});
    }
}

bool MemberTable::complete(Clock::time_point now) const { return !complete_at_ || *complete_at_ <= now; }

void MemberTable::expire(Clock::time_point now) {
    if (complete(now)) complete_at_.reset();
    std::erase_if(entries_, [&](const auto& item) {
        const std::optional<Clock::time_point>& expires_at = item.second.expires_at;
        return expires_at && *expires_at <= now;
    });
}

std::optional<Clock::time_point> MemberTable::next_expiry() const {
    std::optional<Clock::time_point> next = complete_at_;
    for (const auto& [node, entry] : entries_) {
        if (entry.expires_at && (!next || *entry.expires_at < *next)) next = entry.expires_at;
    }
    return next;
}

std::vector<wire::Member> MemberTable::members() const {
    std::vector<wire::Member> members;
    for (const auto& [node, entry] : entries_) members.push_back(entry.member);
    return members;
}

}  // namespace dewweir::control

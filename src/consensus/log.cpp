#include "consensus/log.h"

#include <algorithm>
#include <utility>

namespace dewweir::consensus {

Log::Log(std::optional<Snapshot> snapshot, std::vector<Entry> entries)
    : snapshot_(std::make_shared<const Snapshot>(std::move(snapshot).value_or(Snapshot{}))) {
    memberships_.push_back({snapshot_->index, snapshot_->membership});
    for (Entry& entry : entries) {
        const bool covered = entry.index < snapshot_->index;
        if (covered) continue;
        if (entry.index == snapshot_->index) {
            const bool conflicts = entry.term != snapshot_->term;
            if (conflicts) break;
            continue;
        }
        const bool follows = entry.index == last_index() + 1 && entry.term >= last_term();
        if (!follows) break;
        append(std::move(entry));
    }
}

Term Log::last_term() const { return entries_.empty() ? snapshot_->term : entries_.back().term; }

std::optional<Term> Log::term_at(Index index) const {
    if (index == snapshot_->index) return snapshot_->term;
    if (index < snapshot_->index || index > last_index()) return std::nullopt;
    return at(index).term;
}

const Entry& Log::at(Index index) const { return entries_[index - snapshot_->index - 1]; }

std::vector<Entry> Log::slice(Index first, std::size_t max_bytes) const {
    std::vector<Entry> result;
    std::size_t bytes = 0;
    for (Index index = first; index <= last_index(); ++index) {
        const Entry& entry = at(index);
        bytes += entry.payload.size();
        if (!result.empty() && bytes > max_bytes) break;
        result.push_back(entry);
    }
    return result;
}

std::vector<Entry> Log::range(Index first, Index last) const {
    std::vector<Entry> result;
    for (Index index = first; index <= last; ++index) result.push_back(at(index));
    return result;
}

void Log::append(Entry entry) {
    record_membership(entry);
    entries_.push_back(std::move(entry));
}

void Log::truncate_from(Index index) {
    entries_.resize(index - snapshot_->index - 1);
    while (memberships_.back().index >= index) memberships_.pop_back();
}

void Log::compact(Index index, std::string data) {
    Snapshot snapshot;
    snapshot.index = index;
    snapshot.term = *term_at(index);
    snapshot.membership = membership_at(index);
    snapshot.data = std::move(data);
    discard_through(index);
    snapshot_ = std::make_shared<const Snapshot>(std::move(snapshot));
}

bool Log::restore(std::shared_ptr<const Snapshot> snapshot) {
    const bool keeps_entries = matches(snapshot->index, snapshot->term);
    if (keeps_entries) {
        discard_through(snapshot->index);
        snapshot_ = std::move(snapshot);
        return true;
    }
    entries_.clear();
    memberships_.clear();
    memberships_.push_back({snapshot->index, snapshot->membership});
    snapshot_ = std::move(snapshot);
    return false;
}

const Membership& Log::membership_at(Index index) const {
    auto later = [index](const MembershipAt& item) { return item.index > index; };
    auto found = std::find_if(memberships_.begin(), memberships_.end(), later);
    if (found != memberships_.begin()) --found;
    return found->membership;
}

void Log::record_membership(const Entry& entry) {
    if (entry.kind != EntryKind::membership) return;
    memberships_.push_back({entry.index, entry.membership});
}

// Removes the entries and memberships that a snapshot at `index` covers. The membership in force there
// becomes the first one.
void Log::discard_through(Index index) {
    const auto count = static_cast<std::ptrdiff_t>(index - snapshot_->index);
    Membership at_index = membership_at(index);
    entries_.erase(entries_.begin(), entries_.begin() + count);
    auto covered = [index](const MembershipAt& item) { return item.index <= index; };
    std::erase_if(memberships_, covered);
    memberships_.insert(memberships_.begin(), {index, std::move(at_index)});
}

}  // namespace dewweir::consensus

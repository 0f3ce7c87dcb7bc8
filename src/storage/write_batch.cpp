#include "storage/write_batch.h"

#include <algorithm>
#include <iterator>

namespace dewweir::storage {

namespace {

constexpr std::size_t entry_overhead_bytes = 64;  // estimate for key, checksum and small fields

void truncate(WriteBatch& batch, consensus::Index from) {
    std::erase_if(batch.append, [from](const consensus::Entry& entry) { return entry.index >= from; });
    // The truncation also applies to entries that are stored already.
    batch.truncate_from = std::min(batch.truncate_from.value_or(from), from);
}

void replace_snapshot(WriteBatch& batch, consensus::Snapshot snapshot) {
    const consensus::Index covered = snapshot.index;
    std::erase_if(batch.append, [covered](const consensus::Entry& entry) { return entry.index <= covered; });
    batch.snapshot = std::move(snapshot);
}

}  // namespace

std::size_t approximate_size(const WriteBatch& batch) {
    std::size_t bytes = entry_overhead_bytes;
    for (const consensus::Entry& entry : batch.append) bytes += entry_overhead_bytes + entry.payload.size();
    if (batch.snapshot) bytes += batch.snapshot->data.size();
    return bytes;
}

void merge_into(WriteBatch& first, WriteBatch second) {
    if (second.self) first.self = std::move(second.self);
    if (second.hard_state) first.hard_state = second.hard_state;
    if (second.truncate_from) truncate(first, *second.truncate_from);
    if (second.snapshot) replace_snapshot(first, std::move(*second.snapshot));
    std::move(second.append.begin(), second.append.end(), std::back_inserter(first.append));
}

}  // namespace dewweir::storage

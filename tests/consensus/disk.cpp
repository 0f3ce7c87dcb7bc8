#include "consensus/disk.h"

#include <utility>

namespace dewweir::consensus::testing {
namespace {

void delete_from(PersistentState& state, Index from) {
    std::erase_if(state.entries, [from](const Entry& entry) { return entry.index >= from; });
}

void delete_through(PersistentState& state, Index last) {
    std::erase_if(state.entries, [last](const Entry& entry) { return entry.index <= last; });
}

}  // namespace

void Disk::submit(const Write& write) {
    const WriteSequence sequence = write.sequence;
    if (write.hard_state) {
        add(sequence, [hard = *write.hard_state](PersistentState& state) { state.hard_state = hard; });
    }
    if (write.snapshot) {
        add(sequence, [snapshot = write.snapshot](PersistentState& state) { state.snapshot = *snapshot; });
        const Index index = write.snapshot->index;
        add(sequence, [index](PersistentState& state) { delete_through(state, index); });
    }
    if (!write.entries) return;
    add(sequence, [from = write.entries->from](PersistentState& state) { delete_from(state, from); });
    for (const Entry& entry : write.entries->entries) {
        add(sequence, [entry](PersistentState& state) { state.entries.push_back(entry); });
    }
}

void Disk::sync_through(WriteSequence sequence) {
    while (!waiting_.empty() && waiting_.front().sequence <= sequence) {
        waiting_.front().operation(state_);
        waiting_.pop_front();
    }
}

void Disk::stop(std::size_t kept) {
    for (std::size_t done = 0; done < kept && !waiting_.empty(); ++done) {
        waiting_.front().operation(state_);
        waiting_.pop_front();
    }
    waiting_.clear();
}

void Disk::wipe() {
    waiting_.clear();
    state_ = PersistentState{};
}

void Disk::add(WriteSequence sequence, Operation operation) {
    waiting_.push_back({sequence, std::move(operation)});
}

}  // namespace dewweir::consensus::testing

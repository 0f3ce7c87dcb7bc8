#include "storage/state_loader.h"

#include <memory>

#include "storage/keys.h"

namespace dewweir::storage {

namespace {

NoState corrupt(std::string_view key, std::string what) {
    return NoState{NoStateReason::corrupt, std::string(key), std::move(what)};
}

leveldb::ReadOptions read_options() {
    leveldb::ReadOptions options;
    options.verify_checksums = true;
    options.fill_cache = false;
    return options;
}

// Loads the state in one pass over all keys. A member function that returns a NoState ends the pass.
class Loader {
  public:
    explicit Loader(leveldb::DB& database) : database_(database) {}

    LoadResult run() {
        if (auto fault = load_header()) return std::move(*fault);
        if (auto fault = load_all()) return std::move(*fault);
        if (auto fault = check_complete()) return std::move(*fault);
        return std::move(loaded_);
    }

  private:
    using Fault = std::optional<NoState>;

    // The header is loaded first, since chunks precede it in key order.
    Fault load_header() {
        std::string value;
        const leveldb::Status found = database_.Get(read_options(), std::string(keys::snapshot), &value);
        if (found.IsNotFound()) return std::nullopt;
        if (!found.ok()) return no_state_from(found, std::string(keys::snapshot));
        return read(keys::snapshot, value, decode_snapshot_header, loaded_.snapshot);
    }

    Fault load_all() {
        const std::unique_ptr<leveldb::Iterator> at(database_.NewIterator(read_options()));
        std::string last_key = "the start";
        for (at->SeekToFirst(); at->Valid(); at->Next()) {
            last_key = at->key().ToString();
            if (auto fault = load(last_key, std::string_view(at->value().data(), at->value().size())))
                return fault;
        }
        if (!at->status().ok()) return no_state_from(at->status(), "after " + last_key);
        return std::nullopt;
    }

    Fault load(const std::string& key, std::string_view value) {
        if (key == keys::snapshot) return std::nullopt;
        if (key == keys::self) return read(key, value, decode_replica, self_);
        if (key == keys::hard_state) return read(key, value, decode_hard_state, hard_state_);
        if (key.starts_with(keys::entry_prefix)) return load_entry(key, value);
        if (key.starts_with(keys::chunk_prefix)) return load_chunk(key, value);
        if (key.starts_with(keys::write_prefix)) return load_marker(key, value);
        return corrupt(key, "unknown key");
    }

    Fault load_entry(const std::string& key, std::string_view value) {
        std::optional<consensus::Entry> entry;
        if (auto fault = read(key, value, decode_entry, entry)) return fault;
        if (keys::entry(entry->index) != key) return corrupt(key, "the entry's index differs from its key");
        if (entry->index != next_index()) return corrupt(key, "the previous log entry is missing");
        loaded_.state.entries.push_back(std::move(*entry));
        return std::nullopt;
    }

    Fault load_chunk(const std::string& key, std::string_view value) {
        if (!loaded_.snapshot || !key.starts_with(keys::generation_prefix(loaded_.snapshot->generation))) {
            loaded_.orphaned_chunks.push_back(key);
            return std::nullopt;
        }
        const auto opened = unframe_value(key, value);
        if (const auto* fault = std::get_if<ValueFault>(&opened)) return unreadable(key, *fault);
        if (key != keys::chunk(loaded_.snapshot->generation, chunks_))
            return corrupt(key, "the previous chunk of the snapshot is missing");
        data_ += std::get<std::string_view>(opened);
        ++chunks_;
        return std::nullopt;
    }

    Fault load_marker(const std::string& key, std::string_view value) {
        const auto opened = unframe_value(key, value);
        if (const auto* fault = std::get_if<ValueFault>(&opened)) return unreadable(key, *fault);
        const auto number = keys::number_after(keys::write_prefix, key);
        if (!number) return corrupt(key, "malformed key of a write marker");
        if (loaded_.last_write != 0) return corrupt(key, "an earlier write is missing");
        loaded_.last_write = *number;
        return std::nullopt;
    }

    Fault check_complete() {
        if (auto fault = check_snapshot()) return fault;
        const bool holds_state = hard_state_ || loaded_.snapshot || !loaded_.state.entries.empty();
        if (holds_state && !self_) return corrupt(keys::self, "missing");
        if (self_ && loaded_.last_write == 0) return corrupt(keys::write_prefix, "missing");
        if (self_) loaded_.state.self = std::move(*self_);
        if (hard_state_) loaded_.state.hard_state = *hard_state_;
        return std::nullopt;
    }

    Fault check_snapshot() {
        if (!loaded_.snapshot) return std::nullopt;
        const SnapshotHeader& header = *loaded_.snapshot;
        if (chunks_ != header.chunks) return corrupt(keys::chunk(header.generation, chunks_), "missing");
        if (data_.size() != header.bytes)
            return corrupt(keys::snapshot, "the size of its chunks differs from its header");
        loaded_.state.snapshot =
            consensus::Snapshot{header.index, header.term, header.membership, std::move(data_)};
        return std::nullopt;
    }

    consensus::Index next_index() const {
        if (!loaded_.state.entries.empty()) return loaded_.state.entries.back().index + 1;
        return loaded_.snapshot ? loaded_.snapshot->index + 1 : 1;
    }

    template <typename Value>
    Fault read(std::string_view key, std::string_view value, std::optional<Value> (*decode)(std::string_view),
               std::optional<Value>& into) {
        const auto opened = unframe_value(key, value);
        if (const auto* fault = std::get_if<ValueFault>(&opened)) return unreadable(key, *fault);
        into = decode(std::get<std::string_view>(opened));
        if (!into) return corrupt(key, "the value cannot be decoded");
        return std::nullopt;
    }

    static NoState unreadable(std::string_view key, ValueFault fault) {
        if (fault == ValueFault::corrupt) return corrupt(key, "checksum differs");
        return NoState{NoStateReason::incompatible_version, std::string(key), "written in another format"};
    }

    leveldb::DB& database_;
    LoadedState loaded_;
    std::optional<consensus::Replica> self_;
    std::optional<consensus::HardState> hard_state_;
    std::string data_;          // of the snapshot's chunks read so far
    std::uint64_t chunks_ = 0;  // number of the snapshot's chunks read so far
};

}  // namespace

LoadResult load_state(leveldb::DB& database) { return Loader(database).run(); }

NoState no_state_from(const leveldb::Status& status, std::string where) {
    const bool altered = status.IsCorruption() || status.IsNotFound() || status.IsInvalidArgument();
    const NoStateReason reason = altered ? NoStateReason::corrupt : NoStateReason::io_error;
    return NoState{reason, std::move(where), status.ToString()};
}

}  // namespace dewweir::storage

#include "storage/replica_store.h"

#include <algorithm>
#include <string_view>

#include "storage/keys.h"
#include "storage/log_format.h"
#include "storage/manifest_tail.h"
#include "storage/values.h"

namespace dewweir::storage {

namespace {

constexpr std::size_t max_value_bytes = 64 * 1024;
constexpr std::size_t chunk_bytes = max_value_bytes - value_header_bytes;
constexpr std::uint64_t chunks_per_write = 4;              // bounds the memory that writing a snapshot takes
constexpr std::size_t block_cache_bytes = 32 * 1024;       // the log is read only at the start
constexpr std::size_t max_table_file_bytes = 1024 * 1024;  // LevelDB's minimum
constexpr int max_open_table_files = 30;                   // LevelDB raises it to its minimum of 74

constexpr std::string_view log_suffix = ".log";
constexpr std::string_view table_suffix = ".ldb";

// Suppresses LevelDB's log file, which would cost additional writes.
class SilentLogger : public leveldb::Logger {
  public:
    void Logv(const char*, std::va_list) override {}
};

leveldb::Slice slice(std::string_view text) { return leveldb::Slice(text.data(), text.size()); }

void put(leveldb::WriteBatch& batch, std::string_view key, std::string_view body) {
    batch.Put(slice(key), frame_value(key, body));
}

void put_chunk(leveldb::WriteBatch& batch, const std::string& data, std::uint64_t generation,
               std::uint64_t number) {
    put(batch, keys::chunk(generation, number),
        std::string_view(data).substr(number * chunk_bytes, chunk_bytes));
}

std::uint64_t chunks_for(const std::string& data) { return (data.size() + chunk_bytes - 1) / chunk_bytes; }

WriteResult invalid(std::string what) { return WriteError{WriteFault::invalid_batch, std::move(what)}; }

bool is_database_file(const std::string& name) {
    return name.ends_with(log_suffix) || name.ends_with(table_suffix);
}

}  // namespace

ReplicaStore::ReplicaStore(ReplicaStoreOptions options)
    : options_(std::move(options)),
      env_(options_.env, options_.sync_folder),
      log_(std::make_unique<SilentLogger>()),
      cache_(leveldb::NewLRUCache(block_cache_bytes)) {}

ReplicaStore::~ReplicaStore() = default;

OpenResult ReplicaStore::open(const std::string& folder) {
    database_.reset();
    folder_ = folder;
    failed_ = false;
    if (auto reason = open_database()) return refuse(std::move(*reason));
    LoadResult result = load_state(*database_);
    if (auto* reason = std::get_if<NoState>(&result)) return refuse(std::move(*reason));
    LoadedState& loaded = std::get<LoadedState>(result);
    last_write_ = loaded.last_write;
    snapshot_ = std::move(loaded.snapshot);
    orphaned_chunks_ = std::move(loaded.orphaned_chunks);
    has_self_ = loaded.state.self.id != 0;
    range_.first = snapshot_ ? snapshot_->index + 1 : 1;
    range_.last = range_.first - 1 + loaded.state.entries.size();
    if (!has_self_) return NoState{NoStateReason::empty, folder_, "nothing stored"};
    return std::move(loaded.state);
}

OpenResult ReplicaStore::refuse(NoState reason) {
    database_.reset();
    return reason;
}

std::optional<NoState> ReplicaStore::open_database() {
    leveldb::Status status = env_.ensure_folder(folder_);
    if (status.ok()) status = env_.finish_discard(folder_);
    if (!status.ok()) return NoState{NoStateReason::io_error, folder_, status.ToString()};
    if (auto reason = check_files()) return reason;
    status = repair_manifest_tail(env_, folder_);
    if (!status.ok()) return no_state_from(status, folder_);
    leveldb::Options options;
    options.env = &env_;
    options.info_log = log_.get();
    options.block_cache = cache_.get();
    options.create_if_missing = true;
    options.write_buffer_size = options_.write_buffer_bytes;
    options.max_file_size = max_table_file_bytes;
    options.max_open_files = max_open_table_files;
    options.compression = leveldb::kNoCompression;
    leveldb::DB* opened = nullptr;
    status = leveldb::DB::Open(options, folder_, &opened);
    database_.reset(opened);
    if (!status.ok()) return no_state_from(status, folder_);
    return std::nullopt;
}

// Detects corruption that LevelDB would ignore.
std::optional<NoState> ReplicaStore::check_files() {
    std::vector<std::string> names;
    const leveldb::Status listed = env_.GetChildren(folder_, &names);
    if (!listed.ok()) return NoState{NoStateReason::io_error, folder_, listed.ToString()};
    const std::string current = folder_ + "/CURRENT";
    const bool has_files = std::any_of(names.begin(), names.end(), is_database_file);
    // Without CURRENT, LevelDB would create a new database over the existing files.
    if (has_files && !env_.FileExists(current)) return NoState{NoStateReason::corrupt, current, "missing"};
    for (const std::string& name : names) {
        if (!name.ends_with(log_suffix)) continue;
        if (auto reason = check_log(folder_ + "/" + name)) return reason;
    }
    return std::nullopt;
}

// LevelDB silently drops a corrupt record and all records after it in its block.
std::optional<NoState> ReplicaStore::check_log(const std::string& name) {
    std::string bytes;
    const leveldb::Status status = leveldb::ReadFileToString(&env_, name, &bytes);
    if (!status.ok()) return no_state_from(status, name);
    if (!has_corrupt_record(bytes, read_log(bytes))) return std::nullopt;
    return NoState{NoStateReason::corrupt, name, "a synced record is incomplete or corrupt"};
}

WriteResult ReplicaStore::write(const WriteBatch& batch) {
    if (!database_) return WriteError{WriteFault::not_open, folder_};
    if (failed_) return WriteError{WriteFault::needs_reopen, folder_};
    if (auto error = check(batch)) return error;
    // Identifies this snapshot's chunks; unique, since write numbers only increase.
    const std::uint64_t generation = last_write_ + 1;
    if (batch.snapshot) {
        if (auto error = write_chunks(*batch.snapshot, generation)) return error;
    }
    leveldb::WriteBatch changes;
    Range range = range_;
    if (batch.self) put(changes, keys::self, encode(*batch.self));
    if (batch.hard_state) put(changes, keys::hard_state, encode(*batch.hard_state));
    if (batch.truncate_from) truncate(*batch.truncate_from, changes, range);
    delete_orphans(changes);
    if (batch.snapshot) replace_snapshot(*batch.snapshot, generation, changes, range);
    append(batch.append, changes, range);
    if (auto error = commit(changes)) return error;
    range_ = range;
    has_self_ = has_self_ || batch.self.has_value();
    return std::nullopt;
}

WriteResult ReplicaStore::check(const WriteBatch& batch) const {
    if (!has_self_ && !batch.self) return invalid("the first write must contain self");
    if (batch.self && batch.self->id == 0) return invalid("self has id 0");
    consensus::Index start = range_.first - 1;  // the snapshot's index
    consensus::Index last = range_.last;
    if (batch.truncate_from && *batch.truncate_from <= start)
        return invalid("truncates entries covered by the snapshot");
    if (batch.truncate_from) last = std::min(last, *batch.truncate_from - 1);
    if (batch.snapshot && batch.snapshot->index < std::max<consensus::Index>(start, 1)) {
        return invalid("the snapshot is older than the one stored");
    }
    if (batch.snapshot) last = std::max(last, batch.snapshot->index);
    if (batch.snapshot) start = batch.snapshot->index;
    consensus::Index before = 0;  // the previous entry in this batch
    for (const consensus::Entry& entry : batch.append) {
        if (before != 0 && entry.index != before + 1) return invalid("a gap in the entries");
        if (entry.index > start && entry.index != last + 1)
            return invalid("the entries do not follow the stored log");
        last = std::max(last, entry.index);
        before = entry.index;
    }
    return std::nullopt;
}

// Writes the snapshot's data in several small writes, so that a large snapshot does not become one huge
// write. The chunks take effect only when the header is written.
WriteResult ReplicaStore::write_chunks(const consensus::Snapshot& snapshot, std::uint64_t generation) {
    const std::uint64_t count = chunks_for(snapshot.data);
    std::uint64_t number = 0;
    while (number < count) {
        leveldb::WriteBatch chunks;
        const std::uint64_t end = std::min(count, number + chunks_per_write);
        for (; number < end; ++number) put_chunk(chunks, snapshot.data, generation, number);
        if (auto error = commit(chunks)) return error;
    }
    return std::nullopt;
}

// Performs one LevelDB write, synced and with its marker. All writes go through here.
WriteResult ReplicaStore::commit(leveldb::WriteBatch& batch) {
    const std::uint64_t number = last_write_ + 1;
    put(batch, keys::write_marker(number), {});
    if (last_write_ != 0) batch.Delete(keys::write_marker(last_write_));
    leveldb::WriteOptions options;
    options.sync = true;
    const leveldb::Status status = database_->Write(options, &batch);
    if (status.ok()) {
        last_write_ = number;
        return std::nullopt;
    }
    // LevelDB's log may now end with an incomplete record; anything written after it would not be read back.
    failed_ = true;
    return WriteError{WriteFault::io_error, status.ToString()};
}

void ReplicaStore::truncate(consensus::Index from, leveldb::WriteBatch& batch, Range& range) const {
    for (consensus::Index index = from; index <= range.last; ++index) batch.Delete(keys::entry(index));
    range.last = std::min(range.last, from - 1);
}

void ReplicaStore::replace_snapshot(const consensus::Snapshot& snapshot, std::uint64_t generation,
                                    leveldb::WriteBatch& batch, Range& range) {
    const consensus::Index covered = std::min(range.last, snapshot.index);
    for (consensus::Index index = range.first; index <= covered; ++index) batch.Delete(keys::entry(index));
    range.first = snapshot.index + 1;
    range.last = std::max(range.last, snapshot.index);
    const std::uint64_t old_chunks = snapshot_ ? snapshot_->chunks : 0;
    for (std::uint64_t number = 0; number < old_chunks; ++number) {
        batch.Delete(keys::chunk(snapshot_->generation, number));
    }
    SnapshotHeader header;
    header.index = snapshot.index;
    header.term = snapshot.term;
    header.membership = snapshot.membership;
    header.generation = generation;
    header.chunks = chunks_for(snapshot.data);
    header.bytes = snapshot.data.size();
    put(batch, keys::snapshot, encode(header));
    snapshot_ = std::move(header);  // also if the commit fails: the store is then reopened and reads it again
}

void ReplicaStore::append(const std::vector<consensus::Entry>& entries, leveldb::WriteBatch& batch,
                          Range& range) const {
    for (const consensus::Entry& entry : entries) {
        if (entry.index < range.first) continue;
        put(batch, keys::entry(entry.index), encode(entry));
        range.last = entry.index;
    }
}

void ReplicaStore::delete_orphans(leveldb::WriteBatch& batch) {
    for (const std::string& key : orphaned_chunks_) batch.Delete(key);
    orphaned_chunks_.clear();
}

NoState ReplicaStore::discard_all() {
    database_.reset();
    const leveldb::Status status = env_.discard_files(folder_);
    if (!status.ok()) return NoState{NoStateReason::io_error, folder_, status.ToString()};
    OpenResult opened = open(folder_);
    if (auto* reason = std::get_if<NoState>(&opened)) return std::move(*reason);
    return NoState{NoStateReason::corrupt, folder_, "the store still holds a state after it was discarded"};
}

std::uint64_t ReplicaStore::approximate_bytes() {
    std::vector<std::string> names;
    env_.GetChildren(folder_, &names);
    std::uint64_t sum = 0;
    for (const std::string& name : names) {
        std::uint64_t bytes = 0;
        if (env_.GetFileSize(folder_ + "/" + name, &bytes).ok()) sum += bytes;
    }
    return sum;
}

}  // namespace dewweir::storage

#include "storage/replica_store.h"

#include <catch2/catch.hpp>
#include <memory>

#include "storage/keys.h"
#include "storage/scripted_history.h"
#include "storage/values.h"

using namespace dewweir;
using namespace dewweir::storage;
using namespace dewweir::storage::tests;

namespace {

constexpr std::size_t bits_per_byte = 8;

std::unique_ptr<ReplicaStore> opened(PowerLossEnv& env) {
    auto store = std::make_unique<ReplicaStore>(options_on(env));
    store->open(folder);
    return store;
}

// What a process finds that starts now, with another one killed where it was.
OpenResult opened_by_next(const PowerLossEnv& env) {
    PowerLossEnv copy(env.disk());
    ReplicaStore store(options_on(copy));
    return store.open(folder);
}

consensus::PersistentState state_on(const PowerLossEnv& env) {
    return std::get<consensus::PersistentState>(opened_by_next(env));
}

NoState refusal_on(const PowerLossEnv& env) { return std::get<NoState>(opened_by_next(env)); }

WriteBatch entries(consensus::Index first, consensus::Index last) {
    WriteBatch batch;
    for (auto index = first; index <= last; ++index) batch.append.push_back(command(index, 1, "entry"));
    return batch;
}

WriteBatch snapshot(consensus::Index index, std::string data) {
    WriteBatch batch;
    batch.snapshot = consensus::Snapshot{index, 1, {{{11, "10.0.0.1:7460"}}, {}}, std::move(data)};
    return batch;
}

// A store that holds entries 1 to 9 and was closed.
void fill(PowerLossEnv& env) {
    const auto store = opened(env);
    REQUIRE_FALSE(store->write(first_batch()));
    for (consensus::Index index = 1; index <= 9; ++index) REQUIRE_FALSE(store->write(entries(index, index)));
}

// Looks at or changes the database behind the store's back.
void change(PowerLossEnv& env, const std::function<void(leveldb::DB&)>& function) {
    leveldb::Options options;
    options.env = &env;
    leveldb::DB* database = nullptr;
    REQUIRE(leveldb::DB::Open(options, folder, &database).ok());
    const std::unique_ptr<leveldb::DB> owned(database);
    function(*database);
}

void alter_value(PowerLossEnv& env, const std::string& key, const std::function<void(std::string&)>& alter) {
    change(env, [&](leveldb::DB& database) {
        std::string value;
        REQUIRE(database.Get({}, key, &value).ok());
        alter(value);
        REQUIRE(database.Put({}, key, value).ok());
    });
}

std::size_t count_keys(PowerLossEnv& env) {
    std::size_t count = 0;
    change(env, [&](leveldb::DB& database) {
        const std::unique_ptr<leveldb::Iterator> at(database.NewIterator({}));
        for (at->SeekToFirst(); at->Valid(); at->Next()) ++count;
    });
    return count;
}

std::size_t largest_value(PowerLossEnv& env) {
    std::size_t largest = 0;
    change(env, [&](leveldb::DB& database) {
        const std::unique_ptr<leveldb::Iterator> at(database.NewIterator({}));
        for (at->SeekToFirst(); at->Valid(); at->Next()) largest = std::max(largest, at->value().size());
    });
    return largest;
}

std::string file_containing(const MemoryDisk& disk, const std::string& part) {
    for (const std::string& name : disk.names()) {
        if (name.find(part) != std::string::npos) return name;
    }
    FAIL("no file " << part);
    return "";
}

WriteFault fault_of(const WriteResult& result) {
    REQUIRE(result);
    return result->fault;
}

}  // namespace

TEST_CASE("a flipped bit in any byte of a value is found and its key named") {
    PowerLossEnv env;
    fill(env);
    const std::string key =
        GENERATE(as<std::string>(), keys::entry(5), std::string(keys::hard_state), std::string(keys::self));
    std::size_t length = 0;
    alter_value(env, key, [&](std::string& value) { length = value.size(); });
    for (std::size_t at = 0; at < length; ++at) {
        PowerLossEnv flipped(env.disk());
        alter_value(flipped, key, [&](std::string& value) {
            value[at] = static_cast<char>(value[at] ^ (1U << (at % bits_per_byte)));
        });
        const NoState refusal = refusal_on(flipped);
        CHECK(refusal.reason == NoStateReason::corrupt);
        CHECK(refusal.where == key);
    }
}

TEST_CASE("a missing entry, one under another's key and an unknown key are named") {
    PowerLossEnv env;
    fill(env);
    const std::string key = keys::entry(5);
    std::string named = keys::entry(6);
    SECTION("missing") {
        change(env, [&](leveldb::DB& database) { REQUIRE(database.Delete({}, key).ok()); });
    }
    SECTION("of another index") {
        named = key;
        std::string other;
        alter_value(env, keys::entry(6), [&](std::string& value) { other = value; });
        alter_value(env, key, [&](std::string& value) { value = other; });
    }
    SECTION("a write between two others is missing") {
        named = keys::write_marker(10);  // the last one; the marker of the second should have gone
        const std::string left = keys::write_marker(2);
        change(env, [&](leveldb::DB& database) { REQUIRE(database.Put({}, left, frame_value(left, "")).ok()); });
    }
    SECTION("unknown") {
        named = "name";
        change(env, [&](leveldb::DB& database) { REQUIRE(database.Put({}, named, "value").ok()); });
    }
    const NoState refusal = refusal_on(env);
    CHECK(refusal.reason == NoStateReason::corrupt);
    CHECK(refusal.where == named);
}

TEST_CASE(
    "a flipped bit anywhere in LevelDB's log or manifest never yields another state than one that was") {
    PowerLossEnv env;
    fill(env);
    const std::size_t known = state_on(env).entries.size();
    const PowerLossEnv before(env.disk());
    PowerLossEnv writing(before.disk());
    {
        const auto store = opened(writing);
        for (consensus::Index index = 10; index <= 14; ++index)
            REQUIRE_FALSE(store->write(entries(index, index)));
    }
    const MemoryDisk disk = writing.disk();
    const std::string name = file_containing(disk, GENERATE(".log", "MANIFEST"));
    const std::size_t bytes = disk.size(*disk.file_of(name));
    std::size_t refused = 0;
    for (std::size_t at = 0; at < bytes; ++at) {
        MemoryDisk flipped = disk;
        flipped.flip_bit(name, at * bits_per_byte + at % bits_per_byte);
        PowerLossEnv reopened(std::move(flipped));
        ReplicaStore store(options_on(reopened));
        const OpenResult result = store.open(folder);
        const auto* state = std::get_if<consensus::PersistentState>(&result);
        if (state == nullptr) ++refused;
        // The last write can't be told from one that was torn before it was acknowledged.
        if (state != nullptr) CHECK(state->entries.size() >= known + 4);
    }
    CHECK(refused > bytes / 2);
}

TEST_CASE("a lost CURRENT is refused, not taken for an empty disk") {
    PowerLossEnv env;
    fill(env);
    REQUIRE(env.RemoveFile(std::string(folder) + "/CURRENT").ok());
    CHECK(refusal_on(env).reason == NoStateReason::corrupt);
}

TEST_CASE("a value of another format version is refused as such") {
    PowerLossEnv env;
    fill(env);
    const std::string key = keys::entry(5);
    alter_value(env, key,
                [&](std::string& value) { value = frame_value(key, value.substr(value_header_bytes), format_version + 1); });
    const NoState refusal = refusal_on(env);
    CHECK(refusal.reason == NoStateReason::incompatible_version);
    CHECK(refusal.where == key);
}

TEST_CASE("a snapshot replaces the entries up to it and the snapshot before") {
    PowerLossEnv env;
    fill(env);
    const auto store = opened(env);
    REQUIRE_FALSE(store->write(snapshot(3, noise(1, 200'000))));
    REQUIRE_FALSE(store->write(snapshot(7, "second")));
    const consensus::PersistentState state = state_on(env);
    CHECK(state.snapshot->data == "second");
    REQUIRE(state.entries.size() == 2);
    CHECK(state.entries.front().index == 8);
}

TEST_CASE("a snapshot of 5 MB comes back, in values of 64 KiB at most, and its room is given back") {
    constexpr std::size_t bytes = 5'000'000;
    PowerLossEnv env;
    fill(env);
    const std::string data = noise(7, bytes);
    const auto store = opened(env);
    for (int round = 0; round < 5; ++round) REQUIRE_FALSE(store->write(snapshot(9, data)));
    CHECK(store->approximate_bytes() < 5 * bytes);
    CHECK(state_on(env).snapshot->data == data);
    PowerLossEnv copy(env.disk());
    CHECK(largest_value(copy) <= 64 * 1024);
}

TEST_CASE("chunks of a snapshot that was never finished are deleted by the next write") {
    PowerLossEnv env;
    fill(env);
    const std::size_t keys_before = count_keys(env);
    std::vector<MemoryDisk> images;
    const auto store = opened(env);
    env.watch([&](const MemoryDisk& disk) { images.push_back(disk); });
    REQUIRE_FALSE(store->write(snapshot(3, noise(1, 400'000))));
    std::size_t with_chunks = 0;
    for (const MemoryDisk& image : images) {
        PowerLossEnv later(image);
        if (state_on(later).snapshot) continue;
        if (count_keys(later) > keys_before) ++with_chunks;
        REQUIRE_FALSE(opened(later)->write(entries(10, 10)));
        CHECK(count_keys(later) == keys_before + 1);
    }
    CHECK(with_chunks > 0);
}

TEST_CASE("a batch that would leave a gap or undo the snapshot is refused whole, and the store goes on") {
    PowerLossEnv env;
    const auto store = opened(env);
    CHECK(fault_of(store->write(entries(1, 1))) == WriteFault::invalid_batch);  // no self yet
    REQUIRE_FALSE(store->write(first_batch()));
    REQUIRE_FALSE(store->write(entries(1, 5)));
    REQUIRE_FALSE(store->write(snapshot(3, "snapshot")));
    WriteBatch truncating;
    truncating.truncate_from = 3;
    WriteBatch gap = entries(6, 7);
    gap.append[1].index = 8;
    for (const WriteBatch& wrong : {entries(7, 8), entries(5, 6), gap, truncating, snapshot(2, "older")}) {
        CHECK(fault_of(store->write(wrong)) == WriteFault::invalid_batch);
    }
    REQUIRE_FALSE(store->write(entries(6, 6)));
    CHECK(state_on(env).entries.size() == 3);
}

TEST_CASE("after a refused write nothing is written until the store is opened again") {
    PowerLossEnv env;
    fill(env);
    const auto store = opened(env);
    env.refuse_writes(true);
    CHECK(fault_of(store->write(entries(10, 10))) == WriteFault::io_error);
    env.refuse_writes(false);
    CHECK(fault_of(store->write(entries(10, 10))) == WriteFault::needs_reopen);
    const auto state = std::get<consensus::PersistentState>(store->open(folder));
    const consensus::Index next = state.entries.back().index + 1;
    CHECK_FALSE(store->write(entries(next, next)));
}

TEST_CASE("a discarded store is empty and takes a new replica") {
    PowerLossEnv env;
    fill(env);
    const auto store = opened(env);
    CHECK(store->discard_all().reason == NoStateReason::empty);
    WriteBatch batch = first_batch();
    batch.self->id = 12;
    REQUIRE_FALSE(store->write(batch));
    const consensus::PersistentState state = state_on(env);
    CHECK(state.self.id == 12);
    CHECK(state.entries.empty());
}

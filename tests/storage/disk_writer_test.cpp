#include "storage/disk_writer.h"

#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <mutex>

#include "storage/scripted_history.h"

using namespace dewweir;
using namespace dewweir::storage;
using namespace dewweir::storage::tests;
using namespace std::chrono_literals;

namespace {

constexpr auto generous_timeout = 60s;  // reached only if the test fails
const DiskWriter::TimePoint start{};

// Replaces the owner's event loop: functions posted to it run on the test's thread.
class Loop {
  public:
    DiskWriter::Poster poster() {
        return [this](std::function<void()> function) {
            const std::lock_guard lock(mutex_);
            posted_.push_back(std::move(function));
            changed_.notify_all();
        };
    }

    void run_until(const std::function<bool()>& done) {
        while (!done()) {
            std::unique_lock lock(mutex_);
            REQUIRE(changed_.wait_for(lock, generous_timeout, [this] { return !posted_.empty(); }));
            const std::function<void()> function = std::move(posted_.front());
            posted_.pop_front();
            lock.unlock();
            function();
        }
    }

  private:
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<std::function<void()>> posted_;
};

struct Fixture {
    PowerLossEnv env;
    Loop loop;
    std::vector<WriteCompletion> completions;
    std::shared_ptr<ReplicaStore> store = std::make_shared<ReplicaStore>(options_on(env));
    DiskWriter writer{store, loop.poster(),
                      [this](const WriteCompletion& done) { completions.push_back(done); }};

    // Opens the store and writes `self` as token 0.
    Fixture() {
        open();
        writer.submit(first_batch(), 0, start);
        await(1);
        completions.clear();
    }

    OpenResult open() {
        std::optional<OpenResult> opened;
        writer.open(
            folder, [&](OpenResult result) { opened = std::move(result); }, start);
        loop.run_until([&] { return opened.has_value(); });
        return std::move(*opened);
    }

    void await(std::size_t count) {
        loop.run_until([&] { return completions.size() >= count; });
    }

    void submit_entry(consensus::Index index, std::string payload = "entry",
                      DiskWriter::TimePoint now = start) {
        WriteBatch batch;
        batch.append = {command(index, 1, std::move(payload))};
        writer.submit(std::move(batch), index, now);
    }

    // Submits entry 1 and blocks in its sync.
    void block_first_entry() {
        env.hang_syncs();
        submit_entry(1);
        env.await_hanging_sync();
    }

    std::size_t stored_entries() const {
        PowerLossEnv copy(env.disk());
        ReplicaStore reader(options_on(copy));
        return std::get<consensus::PersistentState>(reader.open(folder)).entries.size();
    }
};

}  // namespace

TEST_CASE_METHOD(
    Fixture, "a hanging disk does not block submit; queued batches become one write and complete in order") {
    block_first_entry();
    const int before = env.syncs();
    for (consensus::Index index = 2; index <= 6; ++index) submit_entry(index, "entry", start + index * 1s);
    CHECK(completions.empty());
    CHECK(writer.oldest_pending_age(start + 3s) == 3000ms);
    env.release_syncs();
    await(6);
    CHECK(env.syncs() - before == 2);
    for (std::size_t i = 0; i < completions.size(); ++i) {
        CHECK(completions[i].token == i + 1);
        CHECK_FALSE(completions[i].result);
    }
    CHECK(writer.stop(StopMode::flush, generous_timeout).stopped);
    CHECK_FALSE(writer.oldest_pending_age(start + 9s));
    CHECK(stored_entries() == 6);
}

TEST_CASE_METHOD(Fixture, "queued batches are merged only up to the size limit") {
    constexpr std::size_t large_bytes = 150 * 1024;
    block_first_entry();
    const int before = env.syncs();
    for (consensus::Index index = 2; index <= 4; ++index)
        submit_entry(index, random_bytes(index, large_bytes));
    env.release_syncs();
    await(4);
    CHECK(env.syncs() - before == 4);
}

TEST_CASE_METHOD(Fixture, "a failed write is reported, and writes succeed again after reopening") {
    env.refuse_writes(true);
    submit_entry(1);
    await(1);
    REQUIRE(completions[0].result);
    CHECK(completions[0].result->fault == WriteFault::io_error);
    CHECK(std::get<NoState>(open()).reason == NoStateReason::io_error);
    env.refuse_writes(false);
    CHECK(std::holds_alternative<consensus::PersistentState>(open()));
    submit_entry(1);
    await(2);
    CHECK_FALSE(completions[1].result);
}

TEST_CASE_METHOD(Fixture, "stop is bounded while the disk hangs, and reports abandoned and unknown batches") {
    block_first_entry();
    submit_entry(2);
    const StopMode mode = GENERATE(StopMode::flush, StopMode::abandon);
    const StopReport hung = writer.stop(mode, 0ms);
    CHECK_FALSE(hung.stopped);
    CHECK(hung.abandoned == std::vector<WriteToken>{2});
    CHECK(hung.unknown == std::vector<WriteToken>{1});
    env.release_syncs();
    CHECK(writer.stop(StopMode::flush, generous_timeout).stopped);
    CHECK(stored_entries() == 1);
}

TEST_CASE("merged batches have the effect of applying them in order") {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
        std::mt19937_64 random(seed);
        consensus::PersistentState expected;
        WriteBatch joined = first_batch();
        apply(expected, joined);
        for (int count = 0; count < 6; ++count) {
            const consensus::Index start_index = expected.snapshot ? expected.snapshot->index : 0;
            consensus::Index last = start_index + expected.entries.size();
            WriteBatch batch;
            if (random() % 3 == 0) {
                batch.truncate_from = start_index + 1 + random() % (last - start_index + 1);
                last = *batch.truncate_from - 1;
            }
            if (random() % 4 == 0) {
                batch.snapshot = consensus::Snapshot{start_index + 1 + random() % 5, seed, {}, "data"};
                last = std::max(last, batch.snapshot->index);
            }
            for (std::uint64_t more = random() % 4; more > 0; --more) {
                batch.append.push_back(command(++last, random() % 9, "entry"));
            }
            apply(expected, batch);
            merge_into(joined, std::move(batch));
        }
        PowerLossEnv env;
        ReplicaStore store(options_on(env));
        store.open(folder);
        REQUIRE_FALSE(store.write(joined));
        REQUIRE(same(std::get<consensus::PersistentState>(store.open(folder)), expected));
    }
}

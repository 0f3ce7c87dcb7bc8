// Failures of the replica's disk on a real directory: a store that cannot be read must be kept, since it may
// hold acknowledged entries; a damaged one must be discarded and reported as such, so that the replica gets a
// new id.
#include "control_plane/replica_disk.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>

using namespace dewweir;
using namespace dewweir::control_plane;

namespace {

namespace fs = std::filesystem;

constexpr std::chrono::milliseconds test_timeout{5'000};
constexpr std::chrono::milliseconds longer_than_one_retry{700};
const consensus::Replica self{7, "10.0.0.1:7000"};

class TemporaryDirectory {
  public:
    TemporaryDirectory() : path_(fs::temp_directory_path() / ("replica-disk-" + std::to_string(::getpid()))) {
        fs::remove_all(path_);
    }
    ~TemporaryDirectory() { fs::remove_all(path_); }
    const fs::path& path() const { return path_; }

  private:
    fs::path path_;
};

struct StubOwner : DiskObserver {
    explicit StubOwner(const fs::path& directory) : loop(16), disk(loop, *this, directory.string()) {
        disk.open();
    }

    void disk_opened(DiskContent what, consensus::PersistentState state) override {
        content = what;
        opened_as = state.self.id;
    }
    void disk_written(consensus::WriteSequence sequence) override { written = sequence; }
    void disk_failed() override { ++failures; }
    void disk_recovered() override { ++recoveries; }

    bool wait_until(const std::function<bool()>& condition, std::chrono::milliseconds bound = test_timeout) {
        const auto end = std::chrono::steady_clock::now() + bound;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop.deadlines().update_now();
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        return true;
    }
    bool wait_until_opened() {
        return wait_until([this] { return content.has_value(); });
    }
    void write(consensus::WriteSequence sequence, consensus::Term term) {
        consensus::Write write;
        write.sequence = sequence;
        write.hard_state = consensus::HardState{term, 0, 0};
        disk.write(write, self);
    }

    runtime::EventLoop loop;
    ReplicaDisk disk;
    std::optional<DiskContent> content;
    consensus::ReplicaId opened_as = 0;
    consensus::WriteSequence written = 0;
    int failures = 0;
    int recoveries = 0;
};

}  // namespace

TEST_CASE("a store that cannot be read is retried and never discarded") {
    TemporaryDirectory directory;
    fs::create_directories(directory.path());
    const fs::path store = directory.path() / "replica";
    {
        StubOwner owner(store);
        REQUIRE(owner.wait_until_opened());
        CHECK(owner.content == DiskContent::empty);
        owner.write(1, 3);
        REQUIRE(owner.wait_until([&] { return owner.written == 1; }));
    }
    // Moved away, with a regular file in its place: every access is an I/O error.
    const fs::path moved = directory.path() / "away";
    fs::rename(store, moved);
    std::ofstream(store) << "no folder";
    StubOwner owner(store);
    CHECK_FALSE(owner.wait_until([&] { return owner.content.has_value(); }, longer_than_one_retry));
    fs::remove(store);
    fs::rename(moved, store);
    REQUIRE(owner.wait_until_opened());
    CHECK(owner.content == DiskContent::replica);
    CHECK(owner.opened_as == self.id);
}

TEST_CASE("a damaged store is discarded and reported as discarded") {
    TemporaryDirectory directory;
    fs::create_directories(directory.path());
    const fs::path store = directory.path() / "replica";
    {
        StubOwner owner(store);
        REQUIRE(owner.wait_until_opened());
        owner.write(1, 3);
        REQUIRE(owner.wait_until([&] { return owner.written == 1; }));
    }
    fs::remove(store / "CURRENT");
    StubOwner owner(store);
    REQUIRE(owner.wait_until_opened());
    CHECK(owner.content == DiskContent::discarded);
    CHECK(owner.opened_as == 0);
    owner.write(1, 1);
    CHECK(owner.wait_until([&] { return owner.written == 1; }));
}

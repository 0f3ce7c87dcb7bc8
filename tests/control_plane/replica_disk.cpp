// A replica's disk that cannot be read, is not whole, or refuses writes and takes them again, on a real
// folder.
#include "control_plane/replica_disk.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>

using namespace dewweir;
using namespace dewweir::control_plane;

namespace {

namespace fs = std::filesystem;

constexpr std::chrono::milliseconds patience{5'000};
constexpr std::chrono::milliseconds longer_than_one_retry{700};
const consensus::Replica self{7, "10.0.0.1:7000"};

class Folder {
  public:
    Folder() : path_(fs::temp_directory_path() / ("replica-disk-" + std::to_string(::getpid()))) {
        fs::remove_all(path_);
    }
    ~Folder() { fs::remove_all(path_); }
    const fs::path& path() const { return path_; }

  private:
    fs::path path_;
};

struct Owner : DiskUser {
    explicit Owner(const fs::path& folder) : loop(16), disk(loop, *this, folder.string()) { disk.open(); }

    void disk_opened(DiskContent what, consensus::PersistentState state) override {
        content = what;
        opened_as = state.self.id;
    }
    void disk_written(consensus::WriteSequence sequence) override { written = sequence; }
    void disk_refused() override { ++refusals; }
    void disk_recovered() override { ++recoveries; }

    bool until(const std::function<bool()>& reached, std::chrono::milliseconds bound = patience) {
        const auto end = std::chrono::steady_clock::now() + bound;
        while (!reached()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop.deadlines().update_now();
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        return true;
    }
    bool opens() {
        return until([this] { return content.has_value(); });
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
    int refusals = 0;
    int recoveries = 0;
};

}  // namespace

TEST_CASE("a disk that cannot be read is asked again, and nothing on it is thrown away") {
    Folder folder;
    fs::create_directories(folder.path());
    const fs::path store = folder.path() / "replica";
    {
        Owner owner(store);
        REQUIRE(owner.opens());
        CHECK(owner.content == DiskContent::empty);
        owner.write(1, 3);
        REQUIRE(owner.until([&] { return owner.written == 1; }));
    }
    // Away, with a file in its place: every access is an i/o error.
    const fs::path away = folder.path() / "away";
    fs::rename(store, away);
    std::ofstream(store) << "no folder";
    Owner owner(store);
    CHECK_FALSE(owner.until([&] { return owner.content.has_value(); }, longer_than_one_retry));
    fs::remove(store);
    fs::rename(away, store);
    REQUIRE(owner.opens());
    CHECK(owner.content == DiskContent::replica);
    CHECK(owner.opened_as == self.id);
}

TEST_CASE("a store that is not whole is discarded, and said to have been another's") {
    Folder folder;
    fs::create_directories(folder.path());
    const fs::path store = folder.path() / "replica";
    {
        Owner owner(store);
        REQUIRE(owner.opens());
        owner.write(1, 3);
        REQUIRE(owner.until([&] { return owner.written == 1; }));
    }
    fs::remove(store / "CURRENT");
    Owner owner(store);
    REQUIRE(owner.opens());
    CHECK(owner.content == DiskContent::discarded);
    CHECK(owner.opened_as == 0);
    owner.write(1, 1);
    CHECK(owner.until([&] { return owner.written == 1; }));
}

// Files of state on a real disk: whole or not at all, and every way of being torn told apart by type.
#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include "errors/errors.h"
#include "state/checked_file.h"
#include "state/latest_file.h"

using namespace dewweir;
using nlohmann::json;

namespace {

struct Place {
    Place() {
        char name[] = "/tmp/dewweir-state-XXXXXX";
        REQUIRE(mkdtemp(name));
        path = name;
    }
    ~Place() { std::filesystem::remove_all(path); }
    std::string path;
};
std::string contents(const std::string& file) {
    std::stringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

}  // namespace

TEST_CASE("a journal cut off at any byte gives back its whole lines, and goes on after them") {
    Place place;
    const std::string file = place.path + "/journal";
    {
        state::Journal journal(file);
        for (int n = 0; n < 4; ++n) journal.append({{"n", n}, {"text", "line\nwith an end in it"}});
    }
    const std::string whole = contents(file);
    std::size_t lines_before = 0;
    for (std::size_t cut = 0; cut <= whole.size(); ++cut) {
        std::ofstream(file, std::ios::trunc) << whole.substr(0, cut);
        state::Journal journal(file);
        CHECK(journal.lines().size() >= lines_before);
        lines_before = journal.lines().size();
        CHECK(journal.cut_short() == (cut > 0 && whole[cut - 1] != '\n'));
        journal.append({{"n", 99}});
        const state::Journal again(file);
        CHECK_FALSE(again.cut_short());
        CHECK(again.lines().size() == lines_before + 1);
        CHECK(again.lines().back()["n"] == 99);
    }
    CHECK(lines_before == 4);
}

TEST_CASE("torn in the middle, newer, foreign: a type for each, and nothing is changed") {
    Place place;
    const std::string file = place.path + "/journal";
    {
        state::Journal journal(file);
        journal.append({{"n", 1}});
        journal.append({{"n", 2}});
    }
    std::string text = contents(file);
    text[25] ^= 1;
    std::ofstream(file, std::ios::trunc) << text;
    CHECK_THROWS_AS(state::Journal{file}, errors::StateTorn);
    CHECK(contents(file) == text);
    std::ofstream(file, std::ios::trunc) << "2 0123456789abcdef {}\n";
    CHECK_THROWS_AS(state::Journal{file}, errors::StateNewer);
    std::ofstream(file, std::ios::trunc) << "hello\n";
    CHECK_THROWS_AS(state::Journal{file}, errors::StateTorn);
    CHECK_FALSE(state::read_whole(place.path + "/none"));
    state::write_whole(file, {{"a", 1}});
    CHECK((*state::read_whole(file))["a"] == 1);
}

TEST_CASE("a full disk: the type says so, the old file stays, and a journal goes on once there is room") {
    Place place;
    const std::string file = place.path + "/whole", lines = place.path + "/journal";
    state::write_whole(file, {{"a", 1}});
    state::Journal journal(lines);
    journal.append({{"n", 1}});
    // The nearest thing to a full disk that needs no rights: no file may grow past here.
    rlimit before{};
    getrlimit(RLIMIT_FSIZE, &before);
    std::signal(SIGXFSZ, SIG_IGN);
    const rlimit tight{60, before.rlim_max};
    setrlimit(RLIMIT_FSIZE, &tight);
    const json large = {{"b", std::string(500, 'x')}};
    CHECK_THROWS_AS(state::write_whole(file, large), errors::OutOfRoom);
    CHECK_THROWS_AS(journal.append(large), errors::OutOfRoom);
    setrlimit(RLIMIT_FSIZE, &before);
    CHECK((*state::read_whole(file))["a"] == 1);
    CHECK_FALSE(std::filesystem::exists(file + ".new"));
    journal.append({{"n", 2}});
    const state::Journal again(lines);
    CHECK(again.lines().size() == 2);
    CHECK(again.lines()[1]["n"] == 2);
}

TEST_CASE("a lock is held by one process, named to the other, and free once it has died") {
    Place place;
    const std::string file = place.path + "/lock";
    int ready[2];
    REQUIRE(pipe(ready) == 0);
    const pid_t child = fork();
    if (child == 0) {
        state::Lock lock(file);
        lock.say({{"name", "gateway-1"}});
        if (write(ready[1], "x", 1) != 1) _exit(1);
        pause();
        _exit(0);
    }
    char byte;
    REQUIRE(read(ready[0], &byte, 1) == 1);
    CHECK(state::Lock::holder(file) == child);
    CHECK((*state::read_whole(file))["name"] == "gateway-1");
    try {
        state::Lock second(file);
        FAIL("locked twice");
    } catch (const errors::Held& held) {
        CHECK(std::string(held.what()).find(std::to_string(child)) != std::string::npos);
    }
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    CHECK(state::Lock::holder(file) == 0);
    CHECK_NOTHROW(state::Lock{file});
    close(ready[0]), close(ready[1]);
}

TEST_CASE("the newest text stands in its file, and a disk that hangs holds nobody up") {
    using Clock = std::chrono::steady_clock;
    Place place;
    const std::string file = place.path + "/status";
    {
        state::LatestFile latest(file);
        for (int n = 0; n < 100; ++n) latest.write(std::to_string(n));
    }
    CHECK(contents(file) == "99");
    {
        state::LatestFile latest(place.path + "/no/such/folder");
        latest.write("x");
        for (int n = 0; n < 1000 && latest.writing(); ++n)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        CHECK(latest.failed());
        CHECK_FALSE(latest.failed());
    }
    // Nobody reads this pipe: whoever writes to it waits for ever.
    const std::string hung = place.path + "/hung";
    REQUIRE(::mkfifo((hung + ".new").c_str(), 0600) == 0);
    const auto began = Clock::now();
    {
        state::LatestFile latest(hung);
        for (int n = 0; n < 10; ++n) latest.write("x");
        CHECK(latest.writing());
    }
    CHECK(Clock::now() - began < std::chrono::seconds(5));
    std::ifstream reader(hung + ".new");  // lets the writer go, which outlives what it wrote for
}

// The stand-ins' models, the referee and the readers of files, without a socket or a clock.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "model/counter.h"
#include "model/host.h"
#include "net/check.h"
#include "net/json_line.h"
#include "operator/operator_file.h"
#include "rig/load.h"
#include "rig/referee.h"
#include "rig/script.h"
#include "rig/trial.h"

using namespace dewweir;
using namespace dewweir::model;

namespace {

HostTraits plain() {
    return {.cores = 2, .work = 100, .scatter = 0, .line = 3, .handshake = 0, .warms_in = 0};
}

std::string all_of(const std::vector<errors::FileProblem>& list) {
    std::string all;
    for (const errors::FileProblem& one : list) all += one.text() + "\n";
    return all;
}
template <class Read> std::string complaints(Read read) {
    try {
        read();
    } catch (const errors::BadFile& wrong) { return all_of(wrong.all); }
    return "none";
}
bool has(const std::string& text, const std::string& part) { return text.find(part) != text.npos; }

}  // namespace

TEST_CASE("a host works with all its cores, then through its line, and turns the rest away") {
    Host host(plain(), 1);
    CHECK_FALSE(host.take(0, 1));  // not started
    host.start(0, false);
    for (std::uint64_t piece = 1; piece <= 5; ++piece) CHECK(host.take(0, piece));
    CHECK_FALSE(host.take(0, 6));
    CHECK(host.due() == 100);
    // Asked late: the second round began when the first ended, not when we looked.
    const auto ended = host.ended(250);
    REQUIRE(ended.size() == 4);
    CHECK(ended[0].piece == 1);
    CHECK(ended[3].piece == 4);
    CHECK(host.due() == 300);
    host.die();
    CHECK(host.ended(1000).empty());
    CHECK(host.in_hand() == 0);
}

TEST_CASE("a cold host is slower by its age, and falls over when it is pushed") {
    HostTraits traits = plain();
    traits.cold_from = 0.5, traits.warms_in = 10000, traits.fall = 2000, traits.fall_multiple = 3,
    traits.line = 1000;
    Host host(traits, 1);
    host.start(0, true);
    CHECK(host.warmth(0) == doctest::Approx(0.5));
    CHECK(host.warmth(5000) == doctest::Approx(0.75));
    CHECK(host.take(0, 1));
    CHECK(host.due() == 200);
    SUBCASE("kept to the multiple it stands") {
        // It can do 0.01 a tenth at first: three times that is 60 in a fall.
        for (int n = 0; n < 60; ++n) CHECK(host.take(n * 33, 10 + static_cast<std::uint64_t>(n)));
        CHECK_FALSE(host.fallen());
    }
    SUBCASE("beyond it and the chance on top it goes down, and is back after a start") {
        int taken = 0;
        for (int n = 0; n < 200 && !host.fallen(); ++n)
            taken += host.take(n, 10 + static_cast<std::uint64_t>(n));
        CHECK(host.fallen());
        CHECK(taken > 60);
        CHECK(taken < 100);
        CHECK_FALSE(host.up());
        host.start(3000, true);
        CHECK(host.take(3000, 1));
    }
}

TEST_CASE("troubles of a host befall the part they are set for; the same seed has the same day") {
    HostTraits traits = plain();
    traits.scatter = 1, traits.line = 100000;
    std::vector<int> counts[2];
    Time last[2]{};
    for (int play = 0; play < 2; ++play) {
        Host host(traits, 7);
        host.start(0, false);
        host.troubles().errors = 0.2, host.troubles().spoilt = 0.1, host.troubles().mute = 0.1;
        for (std::uint64_t piece = 0; piece < 10000; ++piece) REQUIRE(host.take(0, piece));
        counts[play].resize(4);
        while (host.due() >= 0)
            for (const Finished& one : host.ended(last[play] = host.due()))
                ++counts[play][static_cast<std::size_t>(one.reply)];
        CHECK(host.in_hand() ==
              10000u - static_cast<unsigned>(counts[play][0] + counts[play][1] + counts[play][2]));
    }
    CHECK(counts[0] == counts[1]);
    CHECK(last[0] == last[1]);
    CHECK(std::abs(counts[0][1] - 2000) < 150);
    CHECK(std::abs(counts[0][2] - 1000) < 120);
    // Two cores, 9000 pieces with a mean of 100: half of 900,000, but for chance.
    CHECK(std::abs(static_cast<double>(last[0]) / 450000 - 1) < 0.05);
}

TEST_CASE("a counter adds by name, forgets after a life, and serves each part in turn") {
    Counter counter({.parts = 1, .each = 10, .line = 3});
    CHECK(counter.call(0, "a", 2, 1000).total == 2);
    CHECK(counter.call(0, "a", 1.5, 1000).total == 3.5);
    const auto third = counter.call(0, "b", 1, 1000);
    CHECK(third.at == 30);
    CHECK(third.total == 1);
    CHECK(counter.call(0, "b", 1, 1000).outcome == AttemptOutcome::overloaded);
    CHECK(counter.call(100, "b", 0, 1000).total == 1);    // what was turned away was not added
    CHECK(counter.call(999, "a", 0, 5000).total == 3.5);  // the life is the first call's
    CHECK(counter.call(1001, "a", 1, 1000).total == 1);
    counter.slow = 5;
    CHECK(counter.call(2000, "c", 0, 10).at == 2050);
    counter.silent = true;
    CHECK(counter.call(3000, "c", 4, 5000).at == -1);
    counter.silent = false, counter.slow = 1;
    CHECK(counter.call(4000, "c", 0, 5000).total == 4);  // it had been added all the same
    counter.empty();
    CHECK(counter.call(5000, "c", 0, 5000).total == 0);
}

TEST_CASE("parts of a counter fail alone") {
    Counter counter({.parts = 4, .each = 1, .line = 1000});
    counter.silent_parts = 2;
    int silent = 0;
    for (int n = 0; n < 400; ++n) silent += counter.call(0, std::to_string(n), 1, 1000).at < 0;
    CHECK(silent > 140);
    CHECK(silent < 260);
}

TEST_CASE("the referee sees each rule broken, and none where all is well") {
    rig::Referee referee({{0.001, 10, 0.0005, 5, 1}}, 1000);
    referee.executed(0, "a", "h", true, 0, "c", 1);
    referee.execution_over("a", false);
    referee.executed(10, "a", "h", true, 0, "c", 1);  // it had not run
    referee.execution_over("a", true);
    referee.draining(100, "h");
    referee.executed(1100, "b", "h", false, 0, "c", 1);
    referee.execution_over("b", true);
    CHECK(referee.breaks().empty());
    CHECK(referee.units() == 2);
    const auto breaks = [&](int rule) {
        std::size_t n = 0;
        for (const auto& one : referee.breaks()) n += one.rule == rule;
        return n;
    };
    referee.executed(1200, "a", "g", true, 0, "c", 1);
    CHECK(breaks(2) == 1);  // binding, and it has run
    referee.executed(1200, "d", "g", false, 0, "c", 1);
    referee.executed(1200, "d", "i", false, 0, "c", 1);
    CHECK(breaks(2) == 2);  // two out at once
    referee.executed(1200, "e", "h", false, 0, "c", 1);
    CHECK(breaks(3) == 1);
    referee.fell_over(1300, "g");
    CHECK(breaks(4) == 1);
    for (int n = 0; n < 9; ++n) referee.executed(1300, "f" + std::to_string(n), "g", false, 0, "c", 1);
    CHECK(breaks(5) > 0);
    CHECK(referee.units_beyond() > 0);
    referee.unanswered(1400, "a");
    referee.answered_twice(1400, "a");
    CHECK(breaks(1) == 2);
}

TEST_CASE("latencies are read off within their stated error") {
    rig::Latencies latencies;
    CHECK(latencies.quantile(0.5) == 0);
    for (Time n = 1; n <= 100000; ++n) latencies.add(n);
    for (const double part : {0.01, 0.5, 0.9, 0.99, 0.999}) {
        const double truth = part * 10000;
        CHECK(std::abs(latencies.quantile(part) / truth - 1) <= 1.01 * rig::Latencies::relative_error);
    }
}

TEST_CASE("a script's faults are all listed, with line and the nearest name") {
    const std::vector<std::string> there = {"host-1", "host-2", "counter"};
    const std::string wrong = complaints([&] {
        rig::parse_script(
            "[[trouble]]\nat = \"12s\"\nwhat = \"dye\"\nwhom = \"host-1\"\n"
            "[[trouble]]\nat = \"soon\"\nwhat = \"die\"\nwhom = \"host-9\"\n"
            "[[trouble]]\nat = \"1s\"\nwhat = \"slow\"\nwhom = \"counter\"\n"
            "[[trouble]]\nat = \"1s\"\nwhat = \"drain\"\nwhom = \"counter\"\nfro = \"2s\"\n",
            "s.toml", there);
    });
    CHECK(has(wrong, "s.toml:3: what: no such trouble: dye; did you mean die?"));
    CHECK(has(wrong, "s.toml:6: at: found 'soon'; it must be a time as 12s, 250ms or 5min"));
    CHECK(has(wrong, "s.toml:8: whom: names nobody: host-9; did you mean host-1?"));
    CHECK(has(wrong, "s.toml:9: amount: missing; it must be times a call's turn"));
    CHECK(has(wrong, "whom: drain cannot befall counter"));
    CHECK(has(wrong, "fro: no such key; did you mean for?"));
    CHECK(has(complaints([&] { rig::parse_script("[[trouble]\n", "s.toml", there); }), "s.toml:1: "));
    const auto good = rig::parse_script(
        "[[trouble]]\nat = \"2s\"\nwhat = \"empty\"\nwhom = \"counter\"\n"
        "[[trouble]]\nat = \"250ms\"\nwhat = \"slow\"\nwhom = \"host-2\"\namount = 4\nfor = \"1.5s\"\n",
        "s.toml", there);
    REQUIRE(good.size() == 2);
    CHECK(good[0].whoms == std::vector<std::string>{"host-2"});
    CHECK(good[0].at == 2500);
    CHECK(good[0].lasts == 15000);
    CHECK(good[0].amount == 4);
    CHECK(good[1].what == "empty");
}

TEST_CASE("an operator file's faults are all listed; what it leaves out is as without it") {
    const std::string wrong = complaints([] {
        parse_operator_file(
            "[log]\nlevl = \"info\"\nlines_a_second = 0\nlevel = \"inof\"\n[lgo]\nlevel = 1\n", "o.toml");
    });
    CHECK(has(wrong, "o.toml:2: log.levl: no such key; did you mean log.level?"));
    CHECK(has(wrong, "o.toml:3: log.lines_a_second: found 0; it must be a whole number from 1 to 100000"));
    CHECK(has(wrong,
              "o.toml:4: log.level: found 'inof'; it must be one of error, warning, info, debug; did you "
              "mean info?"));
    CHECK(has(wrong, "o.toml:5: lgo: no such key"));
    CHECK(has(complaints([] { parse_operator_file("log = 3\n", "o.toml"); }),
              "log: found 3; it must be a table"));
    CHECK(has(complaints([] { read_operator_file("/nowhere/o.toml"); }), "cannot be read"));
    const OperatorFile empty = parse_operator_file("", "o.toml"),
                       set = parse_operator_file("log.lines_a_second = 7\n", "o.toml");
    CHECK(set.log_lines == 7);
    CHECK(set.log_level == empty.log_level);
    CHECK(operator_key("log.level")->usual == empty.log_level);
    CHECK(operator_key("log.format")->usual == empty.log_format);
    CHECK(operator_key("log.lines_a_second")->usual == std::to_string(empty.log_lines));
}

TEST_CASE("the docs page of all keys is as the schema makes it") {
    std::stringstream page;
    page << std::ifstream(std::string(SOURCE) + "/docs/keys.md").rdbuf();
    CHECK_MESSAGE(page.str() == keys_page(),
                  "docs/keys.md is out of date: build/dewweir explain --page > docs/keys.md");
}

TEST_CASE("a platform configuration's faults are all listed, with their lines") {
    const std::string good =
        R"({"name":"n1","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","counter":"127.0.0.1:3",
"seed":"1f","limits":{"sockets":64},
"settings":{"step":2.0,"fleetSize":1,"discovery":"push",
"limits":{"maxAttempts":3,"cancel":true},"specifics":{"counter":true,"countLimit":50.0},
"contract":{"fall":2000.0,"fallMultiple":3.0,"coldFrom":0.3,"warmAfter":8000.0},
"profiles":[{"name":"check","goalTime":500.0,"idempotency":"retryable","keyScope":"all","dedupWindow":5000.0}],
"contracts":[{"name":"small","rate":2.0,"mostAtOnce":6.0}]}})";
    CHECK(all_of(net::check_configuration(good, "c.json")) == "");
    const auto with = [&](const std::string& what, const std::string& by) {
        std::string text = good;
        text.replace(text.find(what), what.size(), by);
        return text;
    };
    std::string text = with("\"listen\"", "\"lisen\"");
    text.replace(text.find("\"1f\""), 4, "\"xyz\"");
    text.replace(text.find("\"goalTime\":500.0"), 16, "\"goalTime\":\"soon\"");
    text.replace(text.find("\"coldFrom\":0.3,"), 15, "");
    const std::string wrong = all_of(net::check_configuration(text, "c.json"));
    CHECK(has(wrong, "c.json: listen: missing; did you mean lisen?"));
    CHECK(has(wrong, "c.json:2: seed: must be up to 16 hex digits"));
    CHECK(has(wrong, "c.json:5: settings.contract.coldFrom: setting missing (rules.cold_from in our words)"));
    CHECK(has(wrong, "c.json:6: settings.profiles.0.goalTime: setting unreadable"));
    CHECK(has(all_of(net::check_configuration("{\n\"name\": }", "c.json")), "c.json:2: no JSON"));
    CHECK(has(all_of(net::check_configuration("[]", "c.json")), "must be a JSON object"));
}

TEST_CASE("the log as JSON: an object a line, fields by their types, whatever a peer has sent") {
    std::stringstream out;
    {
        net::Log log(out, -1, net::Level::info, 100, net::json_line);
        log.record(net::Event::host_named, "host 3 is a\n\xff\"b", {{"host", 3}, {"id", "a\n\xff\"b"}});
        log.record(net::Event::client_refused, "below the level", {{"status", 400}});
        for (int n = 0; n < 4; ++n) log.record(net::Event::breaker_open, "open");
    }
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(out, line);)
        lines.push_back(nlohmann::json::parse(line, nullptr, false));
    REQUIRE(lines.size() == 3);
    CHECK(lines[0]["event"] == "host.named");
    CHECK(lines[0]["level"] == "info");
    CHECK(lines[0]["host"] == 3);
    CHECK(lines[0]["id"].is_string());
    CHECK(lines[0]["time"].is_number());
    CHECK(lines[1]["event"] == "breaker.open");
    CHECK(lines[2]["event"] == "log.repeated");
    CHECK(lines[2]["times"] == 3);
}

TEST_CASE("the log as text is a line an event, and past its allowance lines are counted") {
    std::stringstream out;
    net::Log log(out, -1, net::Level::info, 5);
    for (int n = 0; n < 9; ++n) log.record(net::Event::host_named, "host " + std::to_string(n));
    CHECK(has(out.str(), " info host 4\n"));
    CHECK_FALSE(has(out.str(), "host 5"));
    usleep(1050000);
    log.record(net::Event::gateway_ended, "over");
    CHECK(has(out.str(), " warning 4 lines left out\n"));
    CHECK(has(out.str(), " info over\n"));
}

TEST_CASE("a reader that has stopped holds nothing up, and is told how much it missed") {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::ofstream out("/proc/self/fd/" + std::to_string(ends[1]));
    net::Log log(out, ends[1], net::Level::info, 100000);
    const std::string text(900, 'x');
    for (int n = 0; n < 300; ++n)
        log.record(net::Event::host_named, std::to_string(n) + text);  // would block here
    char bytes[65536];
    std::size_t read_all = 0;
    for (ssize_t n; (n = read(ends[0], bytes, sizeof bytes)) > 0;) read_all += static_cast<std::size_t>(n);
    CHECK(read_all <= 65536);
    log.record(net::Event::gateway_ended, "over");
    const ssize_t n = read(ends[0], bytes, sizeof bytes);
    REQUIRE(n > 0);
    const std::string last(bytes, static_cast<std::size_t>(n));
    CHECK(has(last, " lines left out\n"));
    CHECK(has(last, " info over\n"));
    close(ends[0]);
    close(ends[1]);
}

TEST_CASE("a full disk behind the log loses lines, and no more than those") {
    std::ofstream full("/dev/full");
    REQUIRE(full.good());
    net::Log log(full, -1, net::Level::info);
    log.record(net::Event::gateway_ready, "to nowhere");
    log.record(net::Event::gateway_ended, "nor this");
    // Space again: another device behind the same stream.
    full.clear();
    full.close();
    char name[] = "/tmp/dewweir-log-XXXXXX";
    const int fd = mkstemp(name);
    REQUIRE(fd >= 0);
    full.open(name);
    log.record(net::Event::breaker_open, "heard");
    std::stringstream text;
    text << std::ifstream(name).rdbuf();
    CHECK(has(text.str(), " warning 2 lines left out\n"));
    CHECK(has(text.str(), " info heard\n"));
    close(fd);
    unlink(name);
}

TEST_CASE("the on-call page lists every event as the code does") {
    std::stringstream page;
    page << std::ifstream(std::string(SOURCE) + "/docs/oncall.md").rdbuf();
    CHECK_MESSAGE(has(page.str(), net::events_table()),
                  "docs/oncall.md: its table is not `dewweir explain --events`");
}

// Guards against exit 3 in place of 4 for a trial that was ended by a signal on a busy machine.
TEST_CASE("a trial that is cut short says so, also where its schedule was late") {
    using rig::TrialEnd;
    CHECK(rig::trial_end(true, false, true) == TrialEnd::cut_short);
    CHECK(rig::trial_end(true, true, true) == TrialEnd::cut_short);
    CHECK(rig::trial_end(true, false, false) == TrialEnd::invalid);
    CHECK(rig::trial_end(true, true, false) == TrialEnd::held);
    for (const bool on_schedule : {false, true}) {
        CHECK(rig::trial_end(false, on_schedule, true) == TrialEnd::broken);
        CHECK(rig::trial_end(false, on_schedule, false) == TrialEnd::broken);
    }
}

// The program's sub-commands, started as a person would: what they print, how they end.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

constexpr int patience_ms = 30000;

struct Program {
    explicit Program(std::vector<std::string> words, const std::function<void()>& before = {}) {
        int ends[2];
        REQUIRE(pipe2(ends, O_CLOEXEC) == 0);
        pid = fork();
        if (pid == 0) {
            prctl(PR_SET_PDEATHSIG, SIGTERM);
            dup2(ends[1], 1);
            dup2(ends[1], 2);
            if (before) before();
            words.insert(words.begin(), PROGRAM);
            std::vector<char*> all;
            for (std::string& word : words) all.push_back(word.data());
            all.push_back(nullptr);
            execv(PROGRAM, all.data());
            _exit(127);
        }
        close(ends[1]);
        from = ends[0];
    }
    ~Program() {
        if (pid > 0) kill(pid, SIGKILL), waitpid(pid, nullptr, 0);
        close(from);
    }
    // Reads on until `what` has been said; false when it ends or the time is up before.
    bool says(const std::string& what) {
        pollfd asked{from, POLLIN, 0};
        while (said.find(what) == said.npos) {
            char text[4096];
            if (poll(&asked, 1, patience_ms) != 1) return false;
            const auto n = read(from, text, sizeof text);
            if (n <= 0) return false;
            said.append(text, static_cast<std::size_t>(n));
        }
        return true;
    }
    // Its exit code, once it has said all.
    int ends() {
        static_cast<void>(says("\x01 never said"));
        int status = 0;
        for (int waited = 0; waited < patience_ms; waited += 5, poll(nullptr, 0, 5))
            if (waitpid(pid, &status, WNOHANG) == pid) {
                pid = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
        return -1;
    }
    pid_t pid;
    int from;
    std::string said;
};

struct Folder {
    Folder() {
        char name[] = "/tmp/dewweir-cli-XXXXXX";
        REQUIRE(mkdtemp(name));
        path = name;
    }
    ~Folder() { std::filesystem::remove_all(path); }
    std::string file(const std::string& name, const std::string& text) const {
        std::ofstream(path + "/" + name) << text;
        return path + "/" + name;
    }
    std::string path;
};

nlohmann::json read_json(const std::string& file) {
    std::ifstream in(file);
    return nlohmann::json::parse(in, nullptr, false);
}
const char* const configuration =
    R"({"name":"n1","listen":"127.0.0.1:%PORT%","discovery":"127.0.0.1:1","seed":"1",
"settings":{"step":2.0,"fleetSize":1,"discovery":"push","limits":{"maxAttempts":1},"specifics":{"counter":false},
"contract":{"fall":2000.0,"fallMultiple":3.0,"coldFrom":0.3,"warmAfter":8000.0},
"profiles":[{"name":"check","goalTime":500.0,"idempotency":"retryable","dedupWindow":5000.0}]}})";

std::string configuration_at_free_port() {
    asio::io_context io;
    const asio::ip::tcp::acceptor holder(io, {asio::ip::address_v4::loopback(), 0});
    std::string text = configuration;
    return text.replace(text.find("%PORT%"), 6, std::to_string(holder.local_endpoint().port()));
}

bool has(const std::string& text, const std::string& part) { return text.find(part) != text.npos; }

}  // namespace

TEST_CASE("help and bad arguments: what there is, and exit 2") {
    Program help({"--help"});
    CHECK(help.ends() == 0);
    for (const char* const word : {"serve", "check", "explain", "trial", "stand-in", "load"})
        CHECK(has(help.said, word));
    CHECK(Program({"nonsense"}).ends() == 2);
    CHECK(Program({"trial", "--hosts", "0"}).ends() == 2);
    Program far({"load", "--gateway", "10.0.0.1:80", "--plan", "a:1:1"});
    CHECK(far.ends() == 2);
    CHECK(has(far.said, "must be a loopback address"));
}

TEST_CASE("check lists the faults of every file, and explain says what a key is") {
    Folder folder;
    const std::string good = folder.file("good.toml", "log.level = \"debug\"\n");
    const std::string bad = folder.file("bad.toml", "log.levl = 1\nlog.lines_a_second = 0\n");
    const std::string json = folder.file("c.json", "{\"name\":\"a\"}");
    Program check({"check", good, bad, json});
    CHECK(check.ends() == 2);
    CHECK(has(check.said, good + ": good"));
    CHECK(has(check.said, "bad.toml:1: log.levl: no such key; did you mean log.level?"));
    CHECK(has(check.said, "bad.toml:2: log.lines_a_second: found 0"));
    CHECK(has(check.said, "c.json: discovery: missing"));
    CHECK(has(check.said, "c.json: seed: missing"));
    Program explain({"explain", "log.level"});
    CHECK(explain.ends() == 0);
    CHECK(has(explain.said, "one of error, warning, info, debug"));
    Program unknown({"explain", "log.lvel"});
    CHECK(unknown.ends() == 2);
    CHECK(has(unknown.said, "did you mean log.level?"));
    Program events({"explain", "--events"});
    CHECK(events.ends() == 0);
    CHECK(has(events.said, "| `breaker.open` | info |"));
    const std::string as_json = folder.file("json.toml", "log.format = \"json\"\n");
    Program logged({"serve", "--with", as_json}, [&] {
        setenv("EDGE_CONFIG", folder.file("run.json", configuration_at_free_port()).c_str(), 1);
    });
    CHECK(logged.says("\"event\":\"gateway.ready\",\"label\":\"\",\"level\":\"info\",\"name\":\"n1\""));
    kill(logged.pid, SIGTERM);
    CHECK(logged.ends() == 0);
    Program serve({"serve", "--with", bad});
    CHECK(serve.ends() == 2);
    CHECK(has(serve.said, "bad.toml:2: "));
}

TEST_CASE("a trial among its stand-ins keeps the rules, two of them at once") {
    Folder folder;
    const std::vector<std::string> usual = {"trial",   "--seconds", "5",       "--load", "1",
                                            "--hosts", "4",         "--quiet", "--json"};
    const auto with = [&](const std::string& file, const std::string& seed) {
        std::vector<std::string> words = usual;
        words.insert(words.end(), {folder.path + "/" + file, "--seed", seed});
        return words;
    };
    Program first(with("1.json", "1")), second(with("2.json", "2"));
    for (Program* const one : {&first, &second}) {
        const int end = one->ends();
        // 3: the machine was too busy to keep the schedule, which is said and no verdict on the gateways.
        CHECK_MESSAGE((end == 0 || end == 3), one->said);
        CHECK(has(one->said, "rule 1, one final answer"));
    }
    for (const char* const file : {"/1.json", "/2.json"}) {
        const auto result = read_json(folder.path + file);
        REQUIRE(result.is_object());
        CHECK(result["rules_broken"].empty());
        CHECK(result["faults"].empty());
        CHECK(result["executions"] > 100);
        CHECK(result["events"].size() == 8);
        CHECK(result["load"]["plans"][0]["delivered"] > 0);
        // The greedy plan asks three times its quota: some 300, of which 100 and its bursts, 60, are inside.
        const auto& greedy = result["load"]["plans"][2];
        const int bounced =
            greedy["bounced_with_advice"].get<int>() + greedy["bounced_without_advice"].get<int>();
        CHECK(bounced > 50);
    }
}

TEST_CASE(
    "a trial that cannot be: too few descriptors, a script that names nobody, a gateway that will not "
    "start") {
    Folder folder;
    Program poor({"trial", "--quiet"}, [] {
        const rlimit few{64, 64};
        setrlimit(RLIMIT_NOFILE, &few);
    });
    CHECK(poor.ends() == 15);  // out_of_room: docs/errors.md
    CHECK(has(poor.said, "descriptors: this process may hold 64; a trial of this size needs"));
    const std::string script =
        folder.file("s.toml", "[[trouble]]\nat = \"1s\"\nwhat = \"die\"\nwhom = \"host-77\"\n");
    Program nobody({"trial", "--quiet", "--faults", script});
    CHECK(nobody.ends() == 2);
    CHECK(has(nobody.said, "s.toml:4: whom: names nobody: host-77"));
    CHECK(has(nobody.said, "what to do: mend the places named"));
    Program nowhere({"trial", "--quiet", "--logs", script + "/logs"});  // under a file
    CHECK(nowhere.ends() == 11);
    CHECK(has(nowhere.said, "(cannot_start)"));
}

TEST_CASE("links with faults between four processes: rules kept, each fault counted, each gateway told of") {
    Folder folder;
    const std::string script =
        folder.file("s.toml",
                    "[[set]]\nname = \"branch\"\nmembers = [\"gateway-1\", \"gateway-2\"]\n"
                    "[[trouble]]\nat = \"0s\"\nwhat = \"absent\"\nwhom = \"gateway-3\"\nfor = \"1s\"\n"
                    "[[trouble]]\nat = \"1s\"\nwhat = \"silence\"\nwhom = \"branch > *\"\nfor = \"1s\"\n"
                    "[[trouble]]\nat = \"2s\"\nwhat = \"cut\"\nwhom = \"* > counter\"\nfor = \"1s\"\n"
                    "[[trouble]]\nat = \"2s\"\nwhat = \"kill\"\nwhom = \"gateway-4\"\nfor = \"1s\"\n"
                    "[[trouble]]\nat = \"3s\"\nwhat = \"end\"\nwhom = \"gateway-2\"\nfor = \"500ms\"\n"
                    "[[trouble]]\nat = \"3s\"\nwhat = \"pause\"\nwhom = \"gateway-1\"\nfor = \"500ms\"\n"
                    "[[trouble]]\nat = \"4s\"\nwhat = \"break\"\nwhom = \"gateway-* > host-*\"\namount = "
                    "1500\nfor = \"500ms\"\n"
                    "[[trouble]]\nat = \"4s\"\nwhat = \"anew\"\nwhom = \"discovery\"\n");
    Program trial({"trial", "--quiet", "--seconds", "6", "--gateways", "4", "--hosts", "4", "--faults",
                   script, "--json", folder.path + "/r.json"});
    const int end = trial.ends();
    CHECK_MESSAGE((end == 0 || end == 3), trial.said);  // 3: this machine was too busy to say more
    const auto result = read_json(folder.path + "/r.json");
    REQUIRE(result.is_object());
    CHECK(result["rules_broken"].empty());
    CHECK(result["faults"].empty());
    const auto& gateways = result["load"]["gateways"];
    REQUIRE(gateways.size() == 4);
    for (const auto& one : gateways) CHECK(one["delivered"] > 0);
    const auto& links = result["links"];
    for (int n = 1; n <= 4; ++n)
        CHECK(links["gateway-" + std::to_string(n) + " > counter"]["reset"].get<int>() <= 1);
    CHECK(links["gateway-3 > counter"]["reset"] == 1);
    CHECK(links["clients > gateway-3"]["refused"] > 0);
    int broken = 0;
    for (const auto& [name, counts] : links.items()) broken += counts["broken"].get<int>();
    CHECK(broken > 0);
}

TEST_CASE("SIGTERM in a trial: what there is until then, and no gateway is left") {
    Folder folder;
    Program trial({"trial", "--seconds", "60", "--load", "0.3", "--logs", folder.path + "/logs", "--json",
                   folder.path + "/t.json"});
    REQUIRE(trial.says("2.0 s  asked"));
    kill(trial.pid, SIGTERM);
    CHECK(trial.ends() == 4);
    CHECK(has(trial.said, "cut short"));
    CHECK(read_json(folder.path + "/t.json")["cut_short"] == true);
    std::stringstream log;
    log << std::ifstream(folder.path + "/logs/gateway-1.log").rdbuf();
    CHECK(has(log.str(), "gateway gateway-1 ended"));
}

TEST_CASE("a gateway that dies in a trial is named, and the trial ends") {
    Folder folder;
    Program trial(
        {"trial", "--seconds", "60", "--load", "0.3", "--gateways", "1", "--json", folder.path + "/t.json"});
    REQUIRE(trial.says("1.0 s  asked"));
    const std::string pid = std::to_string(trial.pid);
    std::ifstream children("/proc/" + pid + "/task/" + pid + "/children");
    pid_t gateway = 0;
    REQUIRE(static_cast<bool>(children >> gateway));
    kill(gateway, SIGKILL);
    CHECK(trial.ends() == 1);
    CHECK(has(trial.said, "fault: gateway-1 has ended by itself"));
    CHECK(read_json(folder.path + "/t.json")["faults"].size() > 0);
}

TEST_CASE("a stand-in whose address is taken says so; one alone plays its script") {
    asio::io_context io;
    asio::ip::tcp::acceptor holder(io, {asio::ip::address_v4::loopback(), 0});
    Program taken(
        {"stand-in", "counter", "--listen", "127.0.0.1:" + std::to_string(holder.local_endpoint().port())});
    CHECK(taken.ends() == 10);  // cannot_listen
    CHECK(has(taken.said, "Address already in use"));
    Folder folder;
    const std::string script = folder.file(
        "s.toml", "[[trouble]]\nat = \"50ms\"\nwhat = \"silent\"\nwhom = \"counter\"\nfor = \"50ms\"\n");
    Program counter({"stand-in", "counter", "--faults", script});
    CHECK(counter.says("listens at 127.0.0.1:"));
    CHECK(counter.says("counter: silent is over"));
    kill(counter.pid, SIGTERM);
    CHECK(counter.ends() == 0);
}

TEST_CASE("load against a host, and load that cannot keep its schedule says so") {
    Program host({"stand-in", "host", "--work-ms", "1", "--warms-ms", "0"});
    REQUIRE(host.says("\n"));
    const std::string at =
        host.said.substr(host.said.find("127."), host.said.find('\n') - host.said.find("127."));
    SUBCASE("kept") {
        Program load({"load", "--gateway", at, "--plan", "a:3:20", "--seconds", "1", "--lag-ms", "20000"});
        CHECK(load.ends() == 0);
        const auto result = nlohmann::json::parse(load.said, nullptr, false);
        REQUIRE(result.is_object());
        CHECK(result["valid"] == true);
        CHECK(result["plans"][0]["delivered"] == result["plans"][0]["asked"]);
        CHECK(result["plans"][0]["asked"] > 20);
    }
    SUBCASE("stopped for a while: what was due meanwhile is sent late, counted, and the result is invalid") {
        Folder folder;
        Program load({"load", "--gateway", at, "--plan", "a:3:50", "--seconds", "2", "--json",
                      folder.path + "/l.json"});
        poll(nullptr, 0, 500);
        kill(load.pid, SIGSTOP);
        poll(nullptr, 0, 700);
        kill(load.pid, SIGCONT);
        CHECK(load.ends() == 1);
        CHECK(has(load.said, "INVALID"));
        const auto result = read_json(folder.path + "/l.json");
        CHECK(result["valid"] == false);
        CHECK(result["sent_behind_schedule"] > 20);
        CHECK(result["worst_lag_ms"] > 400);
        // The stall shows in the latencies too: they run from the intended moment.
        CHECK(result["plans"][0]["p99_ms"] > 400);
    }
    SUBCASE("answers past the limit are told apart from those that never come") {
        // The host stands still; what it answers to then is worth nothing, but half a second late is not
        // lost.
        for (const auto& [still_ms, lost] : {std::pair(400, false), std::pair(1500, true)}) {
            Program load({"load", "--gateway", at, "--plan", "a:3:20", "--seconds", "2.5", "--retries", "0",
                          "--limit-ms", "200", "--goal-ms", "100", "--lag-ms", "20000"});
            poll(nullptr, 0, 600);
            kill(host.pid, SIGSTOP);
            poll(nullptr, 0, still_ms);
            kill(host.pid, SIGCONT);
            load.ends();
            const auto result = nlohmann::json::parse(load.said, nullptr, false);
            REQUIRE(result.is_object());
            CHECK(result["plans"][0]["answered_after_limit"] > 0);
            CHECK((result["plans"][0]["unanswered"] > 0) == lost);
        }
    }
    SUBCASE("nobody there: each is counted as unconnected, none is lost from the count") {
        kill(host.pid, SIGKILL);
        host.ends();
        Program load({"load", "--gateway", at, "--plan", "a:2:20", "--seconds", "0.5", "--retries", "0",
                      "--lag-ms", "20000"});
        CHECK(load.ends() == 0);
        const auto result = nlohmann::json::parse(load.said, nullptr, false);
        CHECK(result["plans"][0]["unconnected"] == result["plans"][0]["asked"]);
    }
}

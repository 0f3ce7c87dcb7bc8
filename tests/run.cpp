// Plays every scenario of tests/scenarios/. Its lines change settings, report events to the decisions, or
// check the actions taken. `wait` lets time pass and timers expire; the counter answers in the way `counter`
// sets.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
#include <malloc.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <vector>

#include "dewweir/decisions.h"
#include "errors/errors.h"
#include "model/list.h"
#include "scenario_stage.h"

using namespace dewweir;

namespace {

const char* default_settings =
    R"(step=1 gateways=2 zone=0 discovery=push limits.executions=3 limits.cancel=true limits.advice=true
limits.longest_advice=1000 service.counter=true service.count_limit=50 service.largest=1 rules.fall=2000 rules.fall_multiple=3
rules.cold_from=0.2 rules.warm_after=15000 rules.ask_within=10000 tracks.count=1 tracks.0.latency_goal=1000
tracks.0.time_limit=4000 tracks.0.remembered=5000 tracks.0.repeats=retriable tracks.0.scope=all tracks.0.late_value=0.2
plans.count=1 plans.0.rate=5 plans.0.burst=10 plans.0.extra_benefit=0 plans.0.overrun_cost=0.5)";

double value(std::istringstream& line, const std::string& name, double fallback) {
    std::istringstream copy(line.str());
    for (std::string word; copy >> word;)
        if (word.rfind(name + "=", 0) == 0) return std::stod(word.substr(name.size() + 1));
    return fallback;
}

void read_settings(Settings& settings, std::istream& words) {
    for (std::string word; words >> word;)
        settings[word.substr(0, word.find('='))] =
            word.find('=') + 1 < word.size() ? word.substr(word.find('=') + 1) : "";
}

struct Play {
    Stage stage;
    Settings settings;
    std::unique_ptr<Decisions> decisions;
    std::string counter = "answers";
    double earlier = 0;
    std::map<std::string, double> memory;
    std::uint64_t seed = 1;

    Play() {
        std::istringstream words(default_settings);
        read_settings(settings, words);
    }

    AttemptOutcome outcome(const std::string& word) {
        const std::vector<std::string> words = {"ok",     "error",     "full", "timeout", "no_connection",
                                                "broken", "called_off"};
        const auto at = std::find(words.begin(), words.end(), word);
        REQUIRE(at != words.end());
        return static_cast<AttemptOutcome>(at - words.begin());
    }

    void answer_counts() {
        while (!stage.asked.empty() && counter != "silent") {
            const auto [name, amount] = stage.asked.front();
            stage.asked.erase(stage.asked.begin());
            if (amount == 0) stage.counts.try_emplace(name, earlier);
            if (counter != "full") stage.counts[name] += amount;
            const AttemptOutcome answer = counter == "answers" ? AttemptOutcome::ok
                                          : counter == "full"  ? AttemptOutcome::overloaded
                                                               : AttemptOutcome::broken;
            decisions->counter_replied(stage.now, name, answer, stage.counts[name], 20);
        }
    }

    void wait(Time time) {
        const Time until = stage.now + time;
        while (!stage.timers.empty() && stage.timers.begin()->first <= until) {
            const auto [at, token] = *stage.timers.begin();
            stage.timers.erase(stage.timers.begin());
            stage.now = std::max(stage.now, at);
            decisions->timer_expired(stage.now, token);
            answer_counts();
        }
        stage.now = until;
    }

    // Feeds bytes to the simulator's adapter; `error`: what it must report, empty if it must accept them.
    void feed(const std::string& hex, const std::string& error) {
        std::string bytes, out;
        for (std::size_t n = 0; n + 1 < hex.size(); n += 2) bytes += "\\x" + hex.substr(n, 2);
        FILE* pipe = popen(("bash -c \"printf '" + bytes + "'\" | " SIMHOST " 2>&1 >/dev/null").c_str(), "r");
        REQUIRE(pipe);
        char text[512];
        while (std::fgets(text, sizeof text, pipe)) out += text;
        const int status = pclose(pipe);
        CHECK(WIFEXITED(status));
        CHECK((WEXITSTATUS(status) == 0) == error.empty());
        CHECK_MESSAGE(out.find(error) != std::string::npos, "reported: " << out);
    }

    void happen(const std::string& text) {
        std::istringstream line(text);
        std::string word;
        line >> word;
        if (word.empty() || word[0] == '#') return;
        if (word == "terms") return read_settings(settings, line);
        if (word == "without") {
            line >> word;
            settings.erase(word);
            return;
        }
        if (word == "feed") {  // feed HEX [ERROR]
            std::string hex, error;
            line >> hex >> std::ws;
            std::getline(line, error);
            return feed(hex, error);
        }
        if (word == "fault") {
            line >> word;
            try {
                Decisions(stage, settings, 1, stage.now);
                FAIL_CHECK("no fault named");
            } catch (const errors::BadSetting& fault) {
                CHECK_MESSAGE(std::string(fault.what()).find(word) != std::string::npos, fault.what());
            }
            return;
        }
        if (!decisions) decisions = std::make_unique<Decisions>(stage, settings, seed, stage.now);
        if (word == "counter") {  // answers, silent, full, spoilt; forgets: answers, having lost its data
            line >> counter;
            if (counter == "forgets") stage.counts.clear(), counter = "answers";
            return answer_counts();
        }
        if (word == "earlier") {  // total of a window that is read before anything was added to it
            line >> earlier;
            return;
        }
        if (word == "others") {  // other gateways add so much to every counter
            double amount;
            line >> amount;
            for (auto& [name, total] : stage.counts) total += amount;
            return;
        }
        if (word == "hosts" || word == "news") {  // hosts: a complete list; news: an update
            decisions->list_begins(stage.now, word == "hosts");
            std::uint32_t id;
            while (line >> id >> word)
                decisions->host_listed(stage.now, id,
                                       word == "draining" ? HostState::draining
                                       : word == "gone"   ? HostState::removed
                                                          : HostState::ready,
                                       word == "young" ? stage.now : 0, id % 10, id);
            return decisions->list_ends(stage.now);
        }
        if (word == "heard_total") {  // two other gateways were told this total of every counter
            double total;
            line >> total;
            for (const auto& [name, counted] : stage.counts) stage.others[name] = total;
            return;
        }
        // heard ID [doubt=] [found=1] [for=ms] [draining=1] [young=1] [ahead=1]: a report of other gateways
        if (word == "heard") {
            std::uint32_t id;
            line >> id;
            const Time ahead = value(line, "ahead", 0) > 0 ? 1000000000 : 0;
            const bool young = ahead > 0 || value(line, "young", 0) > 0;
            return decisions->host_reported(
                stage.now, id,
                {.suspicion = value(line, "doubt", 0),
                 .last_failure = value(line, "found", 0) > 0 ? stage.now : 0,
                 .expires_at = stage.now + std::llround(value(line, "for", 5000) * 10),
                 .draining = value(line, "draining", 0) > 0,
                 .up_since = young ? stage.now + ahead : 0});
        }
        if (word == "fleet") {  // so many hosts that no queue forms
            decisions->list_begins(stage.now, true);
            for (std::uint32_t id = 1; id <= 20; ++id)
                decisions->host_listed(stage.now, id, HostState::ready, 0, 0, 0);
            return decisions->list_ends(stage.now);
        }
        if (word == "wait") {
            double ms;
            line >> ms;
            return wait(std::llround(ms * 10));
        }
        if (word == "see") {
            std::getline(line >> std::ws, word);
            const auto at = std::find(stage.seen.begin(), stage.seen.end(), word);
            if (at != stage.seen.end()) return static_cast<void>(stage.seen.erase(at));
            std::string all;
            for (const std::string& one : stage.seen) all += "[" + one + "] ";
            FAIL_CHECK("not seen: " << word << ", but " << all);
            return;
        }
        if (word == "never") {
            std::getline(line >> std::ws, word);
            for (const std::string& one : stage.seen) CHECK_MESSAGE(one.rfind(word, 0) != 0, "seen: " << one);
            return;
        }
        if (word == "times") {  // how often actions that begin so were seen since the last `forget`
            int least, most;
            line >> least >> most;
            std::getline(line >> std::ws, word);
            const auto n = std::count_if(stage.seen.begin(), stage.seen.end(),
                                         [&](const std::string& one) { return one.rfind(word, 0) == 0; });
            CHECK_MESSAGE((n >= least && n <= most), word << " seen " << n << " times");
            return;
        }
        if (word == "spread") {  // over how many hosts what was executed since the last `forget` went
            std::size_t least, most;
            line >> least >> most;
            std::set<std::string> hosts;
            for (const std::string& one : stage.seen)
                if (const auto at = one.find(" on "); at != one.npos) hosts.insert(one.substr(at));
            CHECK_MESSAGE((hosts.size() >= least && hosts.size() <= most), hosts.size() << " hosts");
            return;
        }
        if (word == "advice") {  // Retry-After of the last refusal, in ms
            double least, most;
            line >> least >> most;
            CHECK_MESSAGE((stage.last_advice >= least * 10 && stage.last_advice <= most * 10),
                          stage.last_advice);
            return;
        }
        if (word == "forget") return stage.seen.clear();
        if (word == "memory") {  // memory ID: notes the memory in use; memory ID KB: it has grown by less
            double most;
            line >> word;
            stage.runs.clear(), stage.on.clear(), stage.seen.shrink_to_fit();
            const auto in_use = static_cast<double>(mallinfo2().uordblks + mallinfo2().hblkhd) / 1024;
            if (line >> most)
                CHECK_MESSAGE(in_use - memory[word] < most, in_use << " KB, was " << memory[word]);
            else memory[word] = in_use;
            return;
        }
        if (word == "alarms") {  // how many timers are running
            std::size_t n;
            line >> n;
            CHECK(stage.timers.size() == n);
            return;
        }
        if (word == "follow_failed") return decisions->list_failed(stage.now);
        std::uint32_t id;
        line >> id;
        // serve ID OUTCOME [upto=ID] ...: submits and ends each request in turn; one gateway shares the
        // tenant's quota unless `gateways=` says otherwise
        if (word == "serve") {
            std::string outcome, how;
            const std::uint32_t last = value(line, "upto", id);
            line >> outcome;
            std::getline(line, how);
            for (; id <= last; ++id) {
                const std::string one = std::to_string(id), only = " upto=" + one + how;
                happen("submit " + one + only + " gateways=1");
                happen("end " + one + " " + outcome + only + " settled=1");
            }
            return;
        }
        // submit ID [upto=ID] [every=ms] [customer=, 0: each its own] [plan=] [units=] [gateways=]
        // [patience=]
        if (word == "submit")
            for (std::uint32_t last = value(line, "upto", id); id <= last; ++id) {
                const double customer = value(line, "customer", 1);
                decisions->request_received(stage.now, id, 0, value(line, "plan", 0),
                                            customer ? customer : id, value(line, "units", 1),
                                            value(line, "gateways", 2), value(line, "patience", 4000) * 10);
                answer_counts();
                wait(std::llround(value(line, "every", 0) * 10));
            }
        else if (word == "end") {  // end ID OUTCOME [host=ID] [took=ms] [upto=ID] [settled=1] [billed=]
            line >> word;
            for (std::uint32_t last = value(line, "upto", id); id <= last; ++id) {
                decisions->attempt_ended(stage.now, id, stage.runs[id] - 1, value(line, "host", stage.on[id]),
                                         outcome(word), value(line, "took", 50) * 10,
                                         value(line, "settled", word == "ok"), value(line, "billed", 0));
                answer_counts();
            }
        } else if (word == "gone") {
            decisions->client_disconnected(stage.now, id);
        } else if (word == "stream") {
            decisions->stream_started(stage.now, id, 0);
        } else {
            FAIL("unknown line: " << text);
        }
    }
};

// Slow start limits what all gateways together send a cold host, while each decides for itself at random: the
// sum must stay under the limit, and the host must not be starved.
TEST_CASE("a hundred gateways together send a cold host its fraction: not more, and not nothing") {
    constexpr int gateways = 100, steps = 100, window = 20;  // steps of 100 ms; rules.fall is 20 of them
    std::vector<Play> plays(gateways);
    std::vector<int> cold(steps), all(steps);
    for (int g = 0; g < gateways; ++g) {
        Play& play = plays[g];
        play.seed = 1 + g;
        play.happen("terms gateways=100 limits.idle_close=15000");
        play.happen("fleet");
        for (int step = 0; step < steps; ++step) {
            if (step == steps / 2) play.happen("news 21 young");
            play.happen("serve " + std::to_string(step + 1) + " ok customer=0");
            for (const std::string& one : play.stage.seen) {
                all[step] += one.rfind("execute", 0) == 0;
                cold[step] += one.ends_with(" on 21");
            }
            play.stage.seen.clear();
            play.happen("wait 100");
        }
    }
    for (int from = steps / 2; from + window <= steps; ++from) {
        double sent = 0, warm_host = 0, part = 0;
        for (int step = from; step < from + window; ++step) {
            sent += cold[step], warm_host += all[step] / 20.0;
            part += (0.2 + 0.8 * (step - steps / 2) / 150) / window;
        }
        INFO(from << ": " << sent << " sent, a warm host has " << warm_host << ", its fraction is " << part);
        CHECK(sent < 3 * part * warm_host * 0.75);  // the fall multiple, with a quarter to spare
        CHECK(sent > part * warm_host * 0.3);
    }
}

// Plays gateways that all ask one discovery for the host list from the same moment on, and again when their
// decisions say so. Returns how many have been answered after each second.
std::vector<int> answered_a_second(int gateways, int seconds, model::List list) {
    std::vector<Play> plays(gateways);
    std::multimap<Time, std::pair<int, bool>> due;  // answers by time: gateway, whether it has the list
    std::vector<bool> has(gateways);
    for (int g = 0; g < gateways; ++g) {
        plays[g].seed = 1 + g;
        plays[g].happen("terms discovery=ask gateways=" + std::to_string(gateways));
        plays[g].happen("hosts 1 ready 2 ready");
    }
    std::vector<int> answered;
    const Time begun = plays[0].stage.now;
    for (int ms = 1; ms <= seconds * 1000; ++ms) {
        for (int g = 0; g < gateways; ++g) {
            Play& play = plays[g];
            play.wait(10);
            const auto asked = std::erase(play.stage.seen, "follow");
            if (asked > 1) FAIL_CHECK("asked twice at once");
            if (!asked || has[g]) continue;
            const model::List::Answer answer = list.call(play.stage.now);
            due.emplace(answer.at, std::pair{g, answer.served});
        }
        while (!due.empty() && due.begin()->first <= begun + ms * 10) {
            const auto [g, served] = due.begin()->second;
            due.erase(due.begin());
            plays[g].happen(served ? "news" : "follow_failed");
            has[g] = has[g] || served;
        }
        if (ms % 1000 == 0) answered.push_back(static_cast<int>(std::count(has.begin(), has.end(), true)));
    }
    return answered;
}

// Guards against retries that are too frequent: every second or two, only the first 40 calls were answered.
// The discovery serves twenty calls a second, so a hundred gateways need five seconds, half of ask_within.
TEST_CASE("a hundred gateways that lose their watch at once soon get their list from one discovery") {
    const model::List slow({.each = 500, .patience = 20000, .line = 1000});
    const std::vector<int> answered = answered_a_second(100, 12, slow);
    CHECK(answered[2] >= 25);  // the discovery is never idle: it can answer 20 a second
    CHECK(answered[6] >= 85);  // half of ask_within, and the longest wait for an answer
    CHECK(answered[11] == 100);
    const std::vector<int> few = answered_a_second(3, 2, slow);
    CHECK(few[0] == 3);  // few gateways need not wait
    // Five calls a second and a queue of ten: most calls are refused at once, and each refusal takes time.
    const std::vector<int> crowded = answered_a_second(100, 40, model::List({2000, 20000, 10}));
    CHECK(crowded[39] >= 50);
}

TEST_CASE("scenarios") {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) files.push_back(entry.path());
    std::sort(files.begin(), files.end());
    REQUIRE(!files.empty());
    for (const auto& file : files) {
        std::ifstream in(file);
        std::unique_ptr<Play> play;
        std::string title;
        int number = 0;
        for (std::string line; std::getline(in, line);) {
            ++number;
            if (line.rfind("== ", 0) == 0) title = line.substr(3), play = std::make_unique<Play>();
            else if (play) {
                INFO(file.filename().string() << ":" << number << " (" << title << "): " << line);
                play->happen(line);
            }
        }
    }
}

}  // namespace

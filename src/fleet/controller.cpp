#include "controller.h"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <filesystem>
#include <utility>

namespace dewweir::fleet {
namespace {

using nlohmann::json;
using rollout::Phase;
using rollout::Position;

constexpr int beat_ms = 200;
constexpr Time a_second = 10000, check_every = 2 * a_second;

Time read_clock() {
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count() / 100;
}

const std::string& made(const std::string& folder) {
    std::error_code fault;
    std::filesystem::create_directories(folder, fault);
    if (fault) errors::throw_of_system<errors::Refused>(fault.value(), folder);
    return folder;
}

std::string digest_of(const Fleet& fleet) {
    std::string all = file_text(fleet.file);
    for (std::size_t n = 0; n < fleet.members.size(); ++n)
        all += settings_digest(fleet, n, false) + settings_digest(fleet, n, true);
    return state::digest(all);
}

json told(const Position& at) {
    json leaving = json::array();
    for (const auto& [gateway, asked] : at.leaving) leaving.push_back({gateway, asked});
    return {{"phase", static_cast<int>(at.phase)},
            {"stage", at.stage},
            {"held", at.held},
            {"since", at.since},
            {"why", at.why},
            {"leaving", leaving}};
}
Position position_of(const json& line) {
    Position at{static_cast<Phase>(line.at("phase").get<int>()), line.at("stage").get<std::size_t>(),
                line.at("held").get<bool>(), line.at("since").get<Time>(), line.at("why").get<std::string>()};
    for (const json& one : line.at("leaving"))
        at.leaving[one.at(0).get<std::size_t>()] = one.at(1).get<Time>();
    return at;
}

}  // namespace

Controller::Controller(const Fleet& fleet, net::Log& log)
    : fleet_(fleet),
      log_(log),
      lock_(made(fleet.folder) + "/lock"),
      journal_(fleet.in_folder("journal")),
      judge_(fleet.judge),
      processes_(fleet),
      reader_(fleet) {
    lock_.say({{"pid", ::getpid()}});
    const std::string digest = digest_of(fleet);
    Position at;
    if (!journal_.lines().empty()) {
        at = position_of(journal_.lines().back().at("at"));
        const bool same = journal_.lines().front().at("fleet") == digest;
        const bool over = at.phase == Phase::done || at.phase == Phase::taken_back;
        if (!same && !over)
            throw errors::Refused(
                fleet.file, "it, or a file it names, has changed since the rollout began",
                "put it back as it was and go on or back; or put the journal aside if nothing runs");
        began_ = journal_.lines().front().at("at").at("since").get<Time>();
        for (const json& line : journal_.lines())
            if (const Position one = position_of(line.at("at")); !changed_ && one.phase == Phase::forward)
                changed_ = one.since;
    }
    machine_.emplace(fleet.machine, fleet.members.size(), read_clock(), at);
    if (journal_.lines().empty()) {
        began_ = machine_->position().since;
        journal_.append({{"fleet", digest}, {"at", told(machine_->position())}});
    }
    kept_ = machine_->position();
}

void Controller::keep(Time now) {
    const Position& at = machine_->position();
    if (at == kept_) return;
    journal_.append({{"at", told(at)}});
    const bool moved = at.phase != kept_.phase || at.stage != kept_.stage;
    const bool told_so = moved || at.held != kept_.held;
    kept_ = at;
    if (!told_so) return;
    log_.record(net::Event::rollout_phase,
                std::string("rollout: ") + rollout::name_of(at.phase) + ", stage " +
                    std::to_string(at.stage + 1) + " of " + std::to_string(fleet_.machine.stages.size()) +
                    (at.held ? ", held" : "") + (at.why.empty() ? "" : ": " + at.why),
                {{"phase", rollout::name_of(at.phase)},
                 {"stage", static_cast<std::int64_t>(at.stage + 1)},
                 {"held", std::int64_t{at.held}},
                 {"why", at.why}});
    if (!moved) return;
    if (at.phase == Phase::forward && !changed_) changed_ = now;
    if (at.phase == Phase::watch) judge_anew();
    told_ = 0;
}

void Controller::judge_anew() {
    judge_ = rollout::Judge(fleet_.judge);
    for (const auto& one : counted_)
        if (!changed_ || one.to <= changed_) judge_.past(one.window);
    judge_.stage(machine_->fresh());
    for (const auto& one : counted_) feed(one);
}

// A window of the stage that is watched, clear of the time in which gateways that have just started settle.
void Controller::feed(const CountsReader::Counted& one) {
    const Position& at = machine_->position();
    if (at.phase == Phase::watch && one.from >= at.since + fleet_.settle) judge_.see(one.window);
}

std::string Controller::stop_reason(Time now) {
    if (fleet_.memory_mb > 0)
        for (std::size_t n = 0; n < fleet_.members.size(); ++n)
            if (machine_->wanted(n) == rollout::Version::fresh && reader_.memory_mb(n) > fleet_.memory_mb)
                return fleet_.members[n].name + " has " +
                       std::to_string(static_cast<int>(reader_.memory_mb(n))) +
                       " MB of memory, over its limit";
    if (fleet_.check.empty() || now - checked_ < check_every) return {};
    checked_ = now;
    const auto [code, line] = run_check(fleet_.check);
    return code == 0 ? "" : "the check ended with " + std::to_string(code) + ": " + line;
}

void Controller::obey(Time now) {
    const std::string file = fleet_.in_folder("command");
    std::optional<json> command;
    try {
        command = state::read_whole(file);
    } catch (const errors::Error&) {}
    if (!command) return;
    const std::string what = command->value("do", "");
    if (what == "hold" || what == "go_on") machine_->hold(what == "hold");
    if (what == "back") machine_->back(now, "asked for");
    keep(now);  // on disk before the asking is forgotten
    std::error_code ignored;
    std::filesystem::remove(file, ignored);
}

void Controller::must_be_open() const {
    if (!machine_->over()) return;
    throw errors::Refused(
        fleet_.in_folder("journal"),
        std::string("a rollout of this folder is over: ") + rollout::name_of(machine_->position().phase),
        "for another one name another folder, or put the journal aside");
}

void Controller::hold(bool on) { machine_->hold(on), keep(read_clock()); }
void Controller::back(const std::string& why) { machine_->back(read_clock(), why), keep(read_clock()); }

void Controller::look(Time now) {
    for (auto& one : reader_.read(now)) {
        if (one.from < began_) continue;
        if (machine_->position().phase == Phase::past && !changed_) judge_.past(one.window);
        feed(one);
        counted_.push_back(std::move(one));
    }
    // What was compared before a kill is in the logs: the judge is brought to where it was.
    if (!std::exchange(judged_, true) && machine_->position().phase == Phase::watch) judge_anew();
    obey(now);
    std::vector<rollout::Seen> seen = processes_.look();
    for (std::size_t n = 0; n < seen.size(); ++n) seen[n].unseen &= reader_.alive(n, now);
    const auto acts =
        machine_->step(now, seen, judge_.verdict(), judge_.why(), judge_.past_enough(), stop_reason(now));
    keep(now);
    for (const rollout::Act& act : acts) {
        static const char* const names[] = {"end", "kill", "start"};
        const char* const what = names[static_cast<int>(act.what)];
        const std::string& name = fleet_.members[act.gateway].name;
        log_.record(
            net::Event::rollout_act,
            "rollout: step " + std::to_string(++steps_) + ": " + name + ": " + what +
                (act.what == rollout::Act::What::start ? std::string(" as ") + rollout::name_of(act.version)
                                                       : ""),
            {{"gateway", name}, {"act", what}, {"version", rollout::name_of(act.version)}});
        try {
            processes_.act(act);
        } catch (const errors::Error& fault) {
            // Tried again by the machine, ever more seldom.
            log_.record(net::Event::rollout_fault,
                        std::string("rollout: ") + fault.what() + "; " + fault.to_do(),
                        {{"gateway", name}, {"why", fault.what()}});
        }
    }
    if (now - told_ >= a_second) tell_status(now, seen);
}

void Controller::tell_status(Time now, const std::vector<rollout::Seen>& seen) {
    told_ = now;
    const Position& at = machine_->position();
    json gateways = json::array();
    for (std::size_t n = 0; n < seen.size(); ++n)
        gateways.push_back({{"name", fleet_.members[n].name},
                            {"runs", rollout::name_of(seen[n].runs)},
                            {"wanted", rollout::name_of(machine_->wanted(n))},
                            {"ready", seen[n].ready},
                            {"unseen", seen[n].unseen},
                            {"pid", processes_.pid(n)},
                            {"memory_mb", reader_.memory_mb(n)}});
    json findings = json::array();
    for (const rollout::Finding& one : judge_.findings())
        findings.push_back({{"measure", rollout::name_of(one.measure)},
                            {"whole", one.whole},
                            {"difference", one.difference},
                            {"low", one.low},
                            {"high", one.high},
                            {"interval", one.interval_says_something()},
                            {"allowed", one.allowed},
                            {"strength", one.strength},
                            {"proven", one.proven}});
    const json status = {{"fleet", fleet_.name},
                         {"at", now / 10},
                         {"phase", rollout::name_of(at.phase)},
                         {"stage", at.stage + 1},
                         {"stages", fleet_.machine.stages},
                         {"held", at.held},
                         {"since", at.since / 10},
                         {"why", at.why},
                         {"waits_for", machine_->waits_for()},
                         {"past_windows", judge_.past_seen()},
                         {"windows", judge_.seen()},
                         {"tries", judge_.tries()},
                         {"gateways", gateways},
                         {"findings", findings}};
    try {
        state::write_whole(fleet_.in_folder("status"), status);
    } catch (const errors::Error& fault) {
        log_.record(net::Event::rollout_fault,
                    std::string("rollout: status: ") + fault.what() + "; " + fault.to_do(),
                    {{"gateway", ""}, {"why", fault.what()}});
    }
}

Outcome Controller::run(const volatile std::sig_atomic_t& left) {
    while (!machine_->over()) {
        if (left) return Outcome::left;
        try {
            look(read_clock());
        } catch (const errors::OutOfRoom& full) {
            // Nothing was done that is not on disk: the same step is looked at again once there is room.
            log_.record(net::Event::rollout_fault,
                        std::string("rollout: ") + full.what() + "; " + full.to_do(),
                        {{"gateway", ""}, {"why", full.what()}});
            ::poll(nullptr, 0, 4 * beat_ms);
        }
        if (!machine_->over()) ::poll(nullptr, 0, beat_ms);
    }
    const std::vector<rollout::Seen> seen = processes_.look();
    tell_status(read_clock(), seen);
    return machine_->position().phase == Phase::done ? Outcome::done : Outcome::taken_back;
}

void ask_controller(const Fleet& fleet, const std::string& what) {
    if (!state::Lock::holder(fleet.in_folder("lock")))
        throw errors::Unreachable(
            fleet.folder, "no rollout is being carried out there",
            "`dewweir rollout go-on FILE` goes on with one that was left, `back` takes it back");
    state::write_whole(fleet.in_folder("command"), {{"do", what}});
}

std::optional<json> read_status(const Fleet& fleet) { return state::read_whole(fleet.in_folder("status")); }

std::string status_text(const json& s, bool runs) {
    char line[400];
    std::string all = "fleet " + s.value("fleet", "") + ": " + s.value("phase", "") + ", stage " +
                      std::to_string(s.value("stage", 0)) + " of " + std::to_string(s.at("stages").size()) +
                      (s.value("held", false) ? ", held" : "") + (runs ? "" : " (no controller runs)") + "\n";
    if (!s.value("why", "").empty()) all += "why: " + s.value("why", "") + "\n";
    if (!s.value("waits_for", "").empty()) all += "waits for: " + s.value("waits_for", "") + "\n";
    std::snprintf(line, sizeof line, "%-16s %-6s %-7s %-6s %8s %10s\n", "gateway", "runs", "wanted", "ready",
                  "pid", "memory MB");
    all += line;
    for (const json& one : s.at("gateways")) {
        std::snprintf(line, sizeof line, "%-16s %-6s %-7s %-6s %8d %10.1f\n", one.value("name", "").c_str(),
                      one.value("runs", "").c_str(), one.value("wanted", "").c_str(),
                      one.value("ready", false)    ? "yes"
                      : one.value("unseen", false) ? "unseen"
                                                   : "no",
                      one.value("pid", 0), one.value("memory_mb", 0.0));
        all += line;
    }
    std::snprintf(line, sizeof line,
                  "compared over %d windows, %.0f tries of the new ones; %d windows before\n",
                  s.value("windows", 0), s.value("tries", 0.0), s.value("past_windows", 0));
    all += line;
    for (const json& one : s.at("findings")) {
        const double low = one.value("low", 0.0), high = one.value("high", 0.0),
                     allowed = one.value("allowed", 0.0);
        char range[64] = "too early for an interval";
        if (one.value("interval", false))
            std::snprintf(range, sizeof range, "from %+.4g to %+.4g", low, high);
        std::snprintf(line, sizeof line, "  %-12s %-9s %+10.4g  (%s), %.4g allowed%s\n",
                      one.value("measure", "").c_str(), one.value("whole", false) ? "whole" : "new - old",
                      one.value("difference", 0.0), range, allowed,
                      one.value("proven", false) ? ": WORSE" : "");
        all += line;
    }
    return all;
}

}  // namespace dewweir::fleet

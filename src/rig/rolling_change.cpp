#include "rolling_change.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "errors/errors.h"

namespace dewweir::rig {
namespace {

constexpr int look_ms = 20;
constexpr Time a_second = 10000;
const char* const fleet_name = "fleet.toml";

}  // namespace

RollingChange::RollingChange(const TrialRollout& plan, std::string program, std::string folder)
    : plan_(plan), program_(std::move(program)), folder_(std::move(folder)) {
    if (plan_.new_program.empty()) plan_.new_program = program_;
    write("operator.toml", "log.format = \"json\"\nlog.counts_every = \"1s\"\n");
}

RollingChange::~RollingChange() {
    if (pid_ > 0) ::kill(pid_, SIGKILL);
    end(a_second);
    // What the controller had begun and was not yet to be seen when the gateways were ended.
    std::ifstream children("/proc/thread-self/children");
    for (pid_t one; children >> one;) ::kill(one, SIGKILL), ::waitpid(one, nullptr, 0);
}

void RollingChange::write(const std::string& file, const std::string& text) const {
    write_file(folder_ + "/" + file, text);
}

void RollingChange::add(Gateways& gateways, const std::string& name, const tcp::endpoint& at,
                        const std::string& old_one, const std::string& new_one) {
    write(name + ".json", old_one);
    write("new-" + name + ".json", new_one);
    members_ += "[[gateway]]\nname = \"" + name + "\"\nconfiguration = \"" + name +
                ".json\"\nnew_configuration = \"new-" + name + ".json\"\n";
    gateways.attend(name, at, folder_ + "/rollout/" + name + ".identity");
}

void RollingChange::start() {
    char stages[400];
    std::snprintf(stages, sizeof stages,
                  "[stages]\nfirst = %d\nparts = [%s\"1\"]\nleast_time = \"%.0fms\"\nleast_tries = 100\n"
                  "settle = \"1s\"\nlongest = \"10min\"\n",
                  plan_.at_one_go ? 1000 : 1, plan_.at_one_go ? "" : "\"0.25\", \"0.5\", ",
                  1000 * plan_.least_time);
    // A trial is short: fewer windows before, a larger harm to rule out, and faster replacement than in
    // service.
    write(fleet_name, "name = \"trial\"\nfolder = \"rollout\"\n[old]\nprogram = \"" + program_ +
                          "\"\noperator = \"operator.toml\"\n[new]\nprogram = \"" + plan_.new_program +
                          "\"\noperator = \"operator.toml\"\n" + stages +
                          "[limits]\ndown_at_once = 2\nready_within = \"5s\"\nend_within = \"5s\"\n"
                          "[judge]\npast = 15\nharm = 0.2\ntolerance = 0.02\n" +
                          members_);
    ::prctl(PR_SET_CHILD_SUBREAPER, 1);  // the gateways come to us when the controller has ended
    pid_ = call("start");
}

// A controller, or a word to the one that runs.
pid_t RollingChange::call(const char* what) {
    const std::string file = folder_ + "/" + fleet_name, log = folder_ + "/rollout.log";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) errors::throw_of_system<errors::CannotStart>(errno, "rollout " + std::string(what));
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGTERM);
        if (::getppid() != parent) ::_exit(127);
        ::setpgid(0, 0);
        const int to = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(to, STDOUT_FILENO);
        ::dup2(to, STDERR_FILENO);
        ::close_range(STDERR_FILENO + 1, ~0u, 0);
        ::execl(program_.c_str(), program_.c_str(), "rollout", what, "--json", file.c_str(),
                static_cast<char*>(nullptr));
        ::_exit(127);
    }
    return pid;
}

std::vector<std::string> RollingChange::news() {
    std::vector<std::string> all;
    std::ifstream in(folder_ + "/rollout.log");
    in.seekg(read_);
    for (std::string line; std::getline(in, line) && !in.eof();) {
        read_ = static_cast<long>(in.tellg());
        const auto told = nlohmann::json::parse(line, nullptr, false);
        if (!told.is_object()) {
            all.push_back("rollout: " + line);
            continue;
        }
        if (told.value("event", "") == "rollout.phase") phase_ = told.value("phase", "");
        all.push_back(told.value("text", ""));
    }
    return all;
}

bool RollingChange::over() {
    int status = 0;
    if (pid_ > 0 && ::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
    return pid_ < 0;
}

int RollingChange::end(Time most) {
    if (!over()) ::kill(pid_, SIGTERM);
    for (Time waited = 0; !over() && waited < most; waited += look_ms * 10) ::poll(nullptr, 0, look_ms);
    if (!over()) {
        ::kill(pid_, SIGKILL);
        ::waitpid(pid_, nullptr, 0);
        pid_ = code_ = -1;
    }
    return code_;
}

}  // namespace dewweir::rig

#include "gateways.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include "errors/errors.h"
#include "state/checked_file.h"

namespace dewweir::rig {
namespace {

constexpr int look_ms = 10;

// Asked over a plain blocking socket with its own bound: there is no loop yet.
bool ready(const tcp::endpoint& at) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) return false;
    const timeval bound{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &bound, sizeof bound);
    char text[64] = "";
    const std::string asked = "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    const bool said =
        ::connect(fd, at.data(), static_cast<socklen_t>(at.size())) == 0 &&
        ::send(fd, asked.data(), asked.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(asked.size()) &&
        ::recv(fd, text, sizeof text - 1, 0) > 0;
    ::close(fd);
    return said && std::strncmp(text, "HTTP/1.1 200 ", 13) == 0;
}

}  // namespace

void write_file(const std::string& file, const std::string& text) {
    std::ofstream out(file);
    out << text;
    out.close();
    if (!out) errors::throw_of_system<errors::CannotStart>(errno, file);
}

Gateways::Gateways(std::string program, std::string folder)
    : program_(std::move(program)), folder_(std::move(folder)), own_folder_(folder_.empty()) {
    if (own_folder_) {
        const char* const within = std::getenv("TMPDIR");
        folder_ = std::string(within && *within ? within : "/tmp") + "/dewweir-XXXXXX";
        if (!::mkdtemp(folder_.data()))
            errors::throw_of_system<errors::CannotStart>(errno, "a temporary folder");
    } else {
        std::error_code fault;
        std::filesystem::create_directories(folder_, fault);
        if (fault) errors::throw_of_system<errors::CannotStart>(fault.value(), folder_);
    }
}

Gateways::~Gateways() {
    for (One& one : all_)
        if (!reap(one)) kill_now(one);
    std::error_code ignored;
    if (own_folder_) std::filesystem::remove_all(folder_, ignored);
}

void Gateways::start(const std::string& name, const tcp::endpoint& at, const std::string& configuration,
                     bool later, const std::string& operator_file) {
    const std::string file = folder_ + "/" + name + ".json";
    write_file(file, configuration);
    all_.push_back({name, at});
    all_.back().meant = true;
    if (!operator_file.empty()) {
        all_.back().with = folder_ + "/" + name + ".toml";
        write_file(all_.back().with, operator_file);
    }
    if (!later) launch(name);
}

Gateways::One& Gateways::named(const std::string& name) {
    return *std::find_if(all_.begin(), all_.end(), [&](const One& one) { return one.name == name; });
}

bool Gateways::has(const std::string& name) const {
    return std::any_of(all_.begin(), all_.end(), [&](const One& one) { return one.name == name; });
}

void Gateways::attend(const std::string& name, const tcp::endpoint& at, const std::string& identity) {
    all_.push_back({name, at});
    all_.back().meant = true;
    all_.back().identity = identity;
}

void Gateways::launch(const std::string& name) {
    One& one = named(name);
    if (!one.identity.empty() || !reap(one)) return;
    const std::string file = folder_ + "/" + name + ".json", log = folder_ + "/" + name + ".log";
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) errors::throw_of_system<errors::CannotStart>(errno, "gateway " + name);
    if (pid == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // none outlives a trial that is killed
        if (::getppid() != parent) ::_exit(127);
        ::setpgid(0, 0);  // Ctrl-C is ours to pass on
        ::setenv("EDGE_CONFIG", file.c_str(), 1);
        const int to = ::open(log.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
        ::dup2(to, STDOUT_FILENO);
        ::dup2(to, STDERR_FILENO);
        // Nothing of ours goes along: a stand-in's door would stay open in there after it is closed here.
        ::close_range(STDERR_FILENO + 1, ~0u, 0);
        if (!one.with.empty())
            ::execl(program_.c_str(), program_.c_str(), "serve", "--with", one.with.c_str(),
                    static_cast<char*>(nullptr));
        ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    one.pid = pid;
    one.code = -1;
    one.meant = false;
}

void Gateways::signal(const std::string& name, int signal) {
    One& one = named(name);
    if (reap(one)) return;
    if (signal == SIGKILL || signal == SIGTERM) one.meant = true, ++one.ends;
    ::kill(one.pid, signal);
}

bool Gateways::reap(One& one) {
    if (!one.identity.empty()) {
        one.pid = state::Lock::holder(one.identity);
        if (one.pid <= 0) one.pid = -1, one.code = 0;
        return one.pid < 0;
    }
    if (one.pid < 0) return true;
    int status = 0;
    if (::waitpid(one.pid, &status, WNOHANG) != one.pid) return false;
    one.pid = -1;
    one.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

void Gateways::wait_until_ready(Time most) {
    for (One& one : all_) {
        if (one.pid < 0 && one.meant && one.identity.empty()) continue;  // comes later
        for (Time waited = 0; !ready(one.at); waited += look_ms * 10) {
            if (one.identity.empty() && reap(one))
                throw errors::CannotStart(
                    "gateway " + one.name,
                    "has ended with " + std::to_string(one.code) + ": " + last_words(one.name));
            if (waited >= most)
                throw errors::CannotStart("gateway " + one.name,
                                          "is not ready in time: " + last_words(one.name));
            ::poll(nullptr, 0, look_ms);
        }
    }
}

std::vector<std::string> Gateways::gone() {
    std::vector<std::string> names;
    for (One& one : all_)
        if (reap(one) && !one.meant) names.push_back(one.name);
    return names;
}

void Gateways::kill_now(One& one) {
    ::kill(one.pid, SIGKILL);
    if (one.identity.empty()) ::waitpid(one.pid, nullptr, 0);
    one.pid = -1;
}

bool Gateways::end(Time most) {
    for (One& one : all_)
        if (!reap(one)) ::kill(one.pid, SIGCONT), ::kill(one.pid, SIGTERM);
    bool clean = true;
    for (One& one : all_) {
        if (one.pid < 0 && one.meant) continue;  // was ended on purpose, and is not back
        for (Time waited = 0; !reap(one) && waited < most; waited += look_ms * 10)
            ::poll(nullptr, 0, look_ms);
        if (!reap(one)) {
            kill_now(one);
            if (!one.identity.empty()) one.code = 128 + SIGKILL;
        }
        clean &= one.code == 0;
    }
    return clean;
}

std::string Gateways::last_words(const std::string& name) const {
    std::ifstream in(folder_ + "/" + name + ".log");
    std::string last;
    for (std::string line; std::getline(in, line);)
        if (!line.empty()) last = line;
    return last.empty() ? "its log is empty" : last;
}

}  // namespace dewweir::rig

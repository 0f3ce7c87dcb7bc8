#include "gateways.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <stdexcept>

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

Gateways::Gateways(std::string program, std::string folder)
    : program_(std::move(program)), folder_(std::move(folder)), own_folder_(folder_.empty()) {
    if (own_folder_) {
        const char* const within = std::getenv("TMPDIR");
        folder_ = std::string(within && *within ? within : "/tmp") + "/dewweir-XXXXXX";
        if (!::mkdtemp(folder_.data()))
            throw std::runtime_error("no temporary folder: " + std::string(std::strerror(errno)));
    } else {
        std::filesystem::create_directories(folder_);
    }
}

Gateways::~Gateways() {
    for (One& one : all_)
        if (!reap(one)) ::kill(one.pid, SIGKILL), ::waitpid(one.pid, nullptr, 0);
    std::error_code ignored;
    if (own_folder_) std::filesystem::remove_all(folder_, ignored);
}

void Gateways::start(const std::string& name, const tcp::endpoint& at, const std::string& configuration) {
    const std::string file = folder_ + "/" + name + ".json", log = folder_ + "/" + name + ".log";
    std::ofstream out(file);
    out << configuration;
    out.close();
    if (!out) throw std::runtime_error("cannot write " + file);
    const pid_t parent = ::getpid();
    const pid_t pid = ::fork();
    if (pid < 0) throw std::runtime_error("cannot start a gateway: " + std::string(std::strerror(errno)));
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
        ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
        ::_exit(127);
    }
    all_.push_back({name, at, pid});
}

bool Gateways::reap(One& one) {
    if (one.pid < 0) return true;
    int status = 0;
    if (::waitpid(one.pid, &status, WNOHANG) != one.pid) return false;
    one.pid = -1;
    one.code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    return true;
}

void Gateways::wait_until_ready(Time most) {
    for (One& one : all_)
        for (Time waited = 0; !ready(one.at); waited += look_ms * 10) {
            if (reap(one))
                throw std::runtime_error("gateway " + one.name + " has ended with " +
                                         std::to_string(one.code) + ": " + last_words(one.name));
            if (waited >= most)
                throw std::runtime_error("gateway " + one.name +
                                         " is not ready in time: " + last_words(one.name));
            ::poll(nullptr, 0, look_ms);
        }
}

std::vector<std::string> Gateways::gone() {
    std::vector<std::string> names;
    for (One& one : all_)
        if (reap(one)) names.push_back(one.name);
    return names;
}

bool Gateways::end(Time most) {
    for (One& one : all_)
        if (!reap(one)) ::kill(one.pid, SIGTERM);
    bool clean = true;
    for (One& one : all_) {
        for (Time waited = 0; !reap(one) && waited < most; waited += look_ms * 10)
            ::poll(nullptr, 0, look_ms);
        if (!reap(one)) {
            ::kill(one.pid, SIGKILL);
            ::waitpid(one.pid, nullptr, 0);
            one.pid = -1;
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

#include "processes.h"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>

#include "state/checked_file.h"

namespace dewweir::fleet {
namespace {

using rollout::Seen;
using rollout::Version;

constexpr int probe_ms = 300, check_ms = 1000;

enum class Answer { none, no, yes };

// All are asked at once, and what has not answered by then is not ready: one that hangs costs no more than
// that.
std::vector<Answer> all_ready(const std::vector<Member>& members) {
    std::vector<pollfd> asked;
    const std::string text = "GET /health/ready HTTP/1.1\r\nConnection: close\r\n\r\n";
    for (const Member& one : members) {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
        if (fd >= 0)
            static_cast<void>(
                ::connect(fd, one.asked_at.data(), static_cast<socklen_t>(one.asked_at.size())));
        asked.push_back({fd, POLLOUT, 0});
    }
    std::vector<Answer> ready(members.size(), Answer::none);
    for (int left = probe_ms; left > 0; left -= 10) {
        bool open = false;
        for (const pollfd& one : asked) open |= one.fd >= 0;
        if (!open) break;
        if (::poll(asked.data(), asked.size(), 10) <= 0) continue;
        for (std::size_t n = 0; n < asked.size(); ++n) {
            pollfd& one = asked[n];
            if (one.fd < 0 || !one.revents) continue;
            char answer[64] = "";
            bool over = (one.revents & POLLERR) != 0;
            if (!over && (one.revents & POLLOUT)) {
                over = ::send(one.fd, text.data(), text.size(), MSG_NOSIGNAL) < 0;
                one.events = POLLIN;
            } else if (!over && (one.revents & (POLLIN | POLLHUP))) {
                if (::recv(one.fd, answer, sizeof answer - 1, 0) > 0)
                    ready[n] = std::strncmp(answer, "HTTP/1.1 200 ", 13) == 0 ? Answer::yes : Answer::no;
                over = true;
            }
            if (over) ::close(std::exchange(one.fd, -1));
        }
    }
    for (const pollfd& one : asked)
        if (one.fd >= 0) ::close(one.fd);
    return ready;
}

std::vector<std::string> filled(const std::vector<std::string>& command,
                                const std::map<std::string, std::string>& values) {
    std::vector<std::string> all = command;
    for (std::string& word : all)
        for (const auto& [name, value] : values)
            for (std::size_t at; (at = word.find("{" + name + "}")) != word.npos;)
                word.replace(at, name.size() + 2, value);
    return all;
}

// In a session of its own, so that neither our end nor our terminal's ends it.
int spawn(const std::vector<std::string>& command, const std::string& configuration, int out) {
    std::vector<char*> words;
    for (const std::string& word : command) words.push_back(const_cast<char*>(word.c_str()));
    words.push_back(nullptr);
    const int pid = ::fork();
    if (pid != 0) return pid;
    ::setsid();
    if (!configuration.empty()) ::setenv("EDGE_CONFIG", configuration.c_str(), 1);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0u, 0);
    ::execvp(words[0], words.data());
    ::_exit(127);
}

}  // namespace

std::vector<Seen> Processes::look() {
    const std::vector<Answer> ready = all_ready(fleet_.members);
    std::vector<Seen> all;
    for (std::size_t n = 0; n < fleet_.members.size(); ++n) {
        Seen seen;
        const int holder = state::Lock::holder(fleet_.identity(n));
        nlohmann::json told;
        try {
            told = state::read_whole(fleet_.identity(n)).value_or(nlohmann::json::object());
        } catch (const errors::Error&) { told = nlohmann::json::object(); }  // is being written
        const std::string label = told.value("label", ""), settings = told.value("settings", "");
        Version version = Version::other;
        for (const bool fresh : {false, true}) {
            if (!expected_[fresh].contains(n)) expected_[fresh][n] = settings_digest(fleet_, n, fresh);
            if (label == (fresh ? "new" : "old") && settings == expected_[fresh].at(n))
                version = fresh ? Version::fresh : Version::old;
        }
        auto child = children_.find(n);
        if (child != children_.end() && !child->second.ended &&
            ::waitpid(child->second.pid, nullptr, WNOHANG) == child->second.pid)
            child->second.ended = true;
        if (holder) {
            pids_[n] = holder;
            seen.runs = version;
            seen.ready = ready[n] == Answer::yes;
            seen.unseen = ready[n] == Answer::none;
        } else {
            pids_.erase(n);
            seen.ended = told.empty() ? Version::none : version;
            const bool ours_ended = child != children_.end() && child->second.ended;
            seen.start_failed = ours_ended && told.value("pid", 0) != child->second.pid;
            // One of ours that is still on its way to its identity is neither.
            if (child != children_.end() && !child->second.ended) seen.ended = Version::none;
        }
        if (!seen.ready) seen.last_words = last_words(n);
        all.push_back(std::move(seen));
    }
    return all;
}

void Processes::act(const rollout::Act& act) {
    switch (act.what) {
        case rollout::Act::What::start: return start(act.gateway, act.version == Version::fresh);
        case rollout::Act::What::end: return end(act.gateway, SIGTERM);
        case rollout::Act::What::kill: return end(act.gateway, SIGKILL);
    }
}

void Processes::start(std::size_t n, bool fresh) {
    if (const auto child = children_.find(n); child != children_.end() && !child->second.ended) {
        if (child->second.fresh == fresh) return;
        // It has never come as far as its identity, and the other version is wanted now.
        ::kill(child->second.pid, SIGKILL);
        ::waitpid(child->second.pid, nullptr, 0);
    }
    static const std::vector<std::string> built_in = {"{program}",  "serve",      "--with",  "{operator}",
                                                      "--identity", "{identity}", "--label", "{version}"};
    const Release& release = fleet_.releases[fresh];
    const std::string& configuration = fleet_.members[n].configuration[fresh];
    const auto command =
        filled(fleet_.start.empty() ? built_in : fleet_.start, {{"program", release.program},
                                                                {"operator", release.operator_file},
                                                                {"configuration", configuration},
                                                                {"identity", fleet_.identity(n)},
                                                                {"log", fleet_.log(n)},
                                                                {"name", fleet_.members[n].name},
                                                                {"version", fresh ? "new" : "old"}});
    const int out = ::open(fleet_.log(n).c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (out < 0) errors::throw_of_system<errors::CannotStart>(errno, fleet_.log(n));
    const int pid = spawn(command, configuration, out);
    const int why = errno;
    ::close(out);
    if (pid < 0) errors::throw_of_system<errors::CannotStart>(why, fleet_.members[n].name);
    children_[n] = {pid, fresh};
}

void Processes::end(std::size_t n, int signal) {
    const auto found = pids_.find(n);
    if (found == pids_.end()) return;
    if (!fleet_.end.empty() && signal == SIGTERM) {
        run_check(filled(fleet_.end, {{"pid", std::to_string(found->second)},
                                      {"name", fleet_.members[n].name},
                                      {"identity", fleet_.identity(n)}}));
        return;
    }
    // Asked again in this moment: a number that has gone to another process must not be hit.
    if (state::Lock::holder(fleet_.identity(n)) != found->second) return;
    ::kill(found->second, signal);
    if (signal == SIGKILL) ::kill(found->second, SIGCONT);
}

std::string Processes::last_words(std::size_t n) const {
    std::ifstream in(fleet_.log(n), std::ios::ate);
    if (!in) return {};
    const auto size = static_cast<long>(in.tellg());
    in.seekg(std::max(0L, size - 4096));
    std::string last;
    for (std::string line; std::getline(in, line);)
        if (!line.empty()) last = line;
    return last.substr(0, 300);
}

std::pair<int, std::string> run_check(const std::vector<std::string>& command) {
    int ends[2];
    if (::pipe2(ends, O_CLOEXEC) < 0) return {0, ""};
    const int pid = spawn(command, "", ends[1]);
    ::close(ends[1]);
    std::string said;
    int status = -1;
    for (int waited = 0; waited < check_ms; waited += 10) {
        pollfd come{ends[0], POLLIN, 0};
        char buffer[1024];
        if (::poll(&come, 1, 10) == 1)
            if (const ssize_t n = ::read(ends[0], buffer, sizeof buffer); n > 0)
                said.append(buffer, static_cast<std::size_t>(n));
        if (::waitpid(pid, &status, WNOHANG) == pid) {
            ::close(ends[0]);
            while (!said.empty() && said.back() == '\n') said.pop_back();
            return {WIFEXITED(status) ? WEXITSTATUS(status) : 128, said.substr(said.rfind('\n') + 1)};
        }
    }
    ::close(ends[0]);
    ::kill(pid, SIGKILL);
    ::waitpid(pid, nullptr, 0);
    return {128, "it did not end within its second"};
}

}  // namespace dewweir::fleet

// Helpers of the socket tests: the program under test, and plain ends of connections that a test plays host,
// counter, discovery or client with. Ports come from the system, and every wait is bounded.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

inline constexpr int patience_ms = 10000;  // what no healthy answer takes

class Line {  // one end of a connection
  public:
    explicit Line(int fd) : fd_(fd) {}
    Line(Line&& other) noexcept : fd_(std::exchange(other.fd_, -1)), got_(std::move(other.got_)) {}
    ~Line() { close(); }
    static Line to(int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address(port);
        REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return Line(fd);
    }
    static sockaddr_in address(int port) {
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(static_cast<std::uint16_t>(port));
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        return at;
    }
    void send(const std::string& text) {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            REQUIRE(n > 0);
            sent += static_cast<std::size_t>(n);
        }
    }
    // Reads up to and with `end`; fails when it does not come.
    std::string until(const std::string& end) {
        std::size_t at;
        while ((at = got_.find(end)) == got_.npos)
            if (!more(patience_ms)) FAIL("instead of `" << end << "` came `" << got_ << "` and no more");
        return take(at + end.size());
    }
    // A whole message with its head; its body goes by Content-Length.
    std::string message() {
        std::string head = until("\r\n\r\n");
        const std::size_t at = head.find("Content-Length: ");
        const std::size_t size = at == head.npos ? 0 : std::strtoul(&head[at + 16], nullptr, 10);
        while (got_.size() < size)
            if (!more(patience_ms)) FAIL("a body is cut short");
        return head + take(size);
    }
    // True when the other side has ended the connection, with nothing more said.
    bool ended() {
        while (more(patience_ms)) {}
        return got_.empty() && over_;
    }
    bool silent(int ms) { return got_.empty() && !more(ms) && !over_; }
    void close() {
        if (fd_ >= 0) ::close(fd_);
        fd_ = -1;
    }
    void reset() {
        const linger now{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
        close();
    }

  private:
    std::string take(std::size_t n) {
        std::string text = got_.substr(0, n);
        got_.erase(0, n);
        return text;
    }
    bool more(int ms) {
        pollfd asked{fd_, POLLIN, 0};
        if (over_ || poll(&asked, 1, ms) != 1) return false;
        char bytes[65536];
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) return over_ = true, false;
        got_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    int fd_;
    bool over_ = false;
    std::string got_;
};

class Door {  // a listening stand-in; closed, its port refuses
  public:
    explicit Door(bool open = true) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int yes = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in at = Line::address(0);
        socklen_t size = sizeof at;
        REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        port = ntohs(at.sin_port);
        if (open) this->open();
    }
    ~Door() { ::close(fd_); }
    void open(int queue = 64) { REQUIRE(listen(fd_, queue) == 0); }
    bool knocked(int ms) {
        pollfd asked{fd_, POLLIN, 0};
        return poll(&asked, 1, ms) == 1;
    }
    Line accept() {
        if (!knocked(patience_ms)) FAIL("nobody connects");
        return Line(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    int port = 0;

  private:
    int fd_;
};

// The program with a configuration of its own. `place` is reserved but not listened on, so nobody else has
// it.
class Gateway {
  public:
    explicit Gateway(const std::string& configuration, const std::string& level = "debug") {
        char name[] = "/tmp/dewweir-test-XXXXXX";
        REQUIRE(mkdtemp(name));
        folder_ = name;
        configure(configuration);
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG,
                  SIGKILL);  // a gateway left over would call at ports that others have by now
            setenv("EDGE_CONFIG", (folder_ + "/config.json").c_str(), 1);
            setenv("DEWWEIR_LOG", level.c_str(), 1);
            const int log = ::open((folder_ + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            dup2(log, 2);
            execl(PROGRAM, PROGRAM, nullptr);
            _exit(127);
        }
    }
    ~Gateway() {
        if (pid_ > 0) kill(pid_, SIGKILL), waitpid(pid_, nullptr, 0);
        unlink((folder_ + "/config.json").c_str());
        unlink((folder_ + "/log").c_str());
        rmdir(folder_.c_str());
    }
    void configure(const std::string& text) { std::ofstream(folder_ + "/config.json") << text; }
    void signal(int number) { kill(pid_, number); }
    pid_t pid() const { return pid_; }
    // Its exit code; -1 if it is still running after the wait, or was killed.
    int ends() {
        int status = 0;
        for (int waited = 0; waited < patience_ms; waited += 5) {
            if (waitpid(pid_, &status, WNOHANG) == pid_) {
                pid_ = -1;
                return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
            }
            poll(nullptr, 0, 5);
        }
        return -1;
    }
    std::string log() const {
        std::stringstream text;
        text << std::ifstream(folder_ + "/log").rdbuf();
        return text.str();
    }

  private:
    std::string folder_;
    pid_t pid_ = -1;
};

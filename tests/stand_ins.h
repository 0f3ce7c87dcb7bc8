// Helpers of the socket tests: the gateway process under test, and plain connections with which a test plays
// host, counter, discovery or client. The kernel chooses the ports, and every wait is bounded.
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

inline constexpr int timeout_ms = 10000;  // limit of every wait; a healthy gateway answers much sooner

// One end of a TCP connection.
class TestConnection {
  public:
    explicit TestConnection(int fd) : fd_(fd) {}
    TestConnection(TestConnection&& other) noexcept
        : fd_(std::exchange(other.fd_, -1)), received_(std::move(other.received_)) {}
    ~TestConnection() { close(); }
    static TestConnection to(int port) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in at = address(port);
        REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        return TestConnection(fd);
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
    // Reads up to and including `end`; fails on a timeout.
    std::string read_until(const std::string& end) {
        std::size_t at;
        while ((at = received_.find(end)) == received_.npos)
            if (!more(timeout_ms)) FAIL("instead of `" << end << "` came `" << received_ << "` and no more");
        return take(at + end.size());
    }
    // Reads a complete message; the body length comes from Content-Length.
    std::string read_message() {
        std::string head = read_until("\r\n\r\n");
        const std::size_t at = head.find("Content-Length: ");
        const std::size_t size = at == head.npos ? 0 : std::strtoul(&head[at + 16], nullptr, 10);
        while (received_.size() < size)
            if (!more(timeout_ms)) FAIL("a body is cut short");
        return head + take(size);
    }
    // Whether the other side closes the connection without sending anything more.
    bool ended() {
        while (more(timeout_ms)) {}
        return received_.empty() && closed_;
    }
    // Whether nothing arrives within `ms` and the connection stays open.
    bool silent(int ms) { return received_.empty() && !more(ms) && !closed_; }
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
        std::string text = received_.substr(0, n);
        received_.erase(0, n);
        return text;
    }
    bool more(int ms) {
        pollfd asked{fd_, POLLIN, 0};
        if (closed_ || poll(&asked, 1, ms) != 1) return false;
        char bytes[65536];
        const auto n = recv(fd_, bytes, sizeof bytes, 0);
        if (n <= 0) {
            closed_ = true;
            return false;
        }
        received_.append(bytes, static_cast<std::size_t>(n));
        return true;
    }
    int fd_;
    bool closed_ = false;
    std::string received_;
};

// A listening socket; while it is not open, its port refuses connections.
class StubServer {
  public:
    explicit StubServer(bool open = true) : fd_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        const int yes = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in at = TestConnection::address(0);
        socklen_t size = sizeof at;
        REQUIRE(bind(fd_, reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
        REQUIRE(getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size) == 0);
        port = ntohs(at.sin_port);
        if (open) this->open();
    }
    ~StubServer() { ::close(fd_); }
    void open(int queue = 64) { REQUIRE(listen(fd_, queue) == 0); }
    // Whether a connection is waiting to be accepted within `ms`.
    bool has_connection(int ms) {
        pollfd asked{fd_, POLLIN, 0};
        return poll(&asked, 1, ms) == 1;
    }
    TestConnection accept() {
        if (!has_connection(timeout_ms)) FAIL("nobody connects");
        return TestConnection(::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC));
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(port); }
    int port = 0;

  private:
    int fd_;
};

// A gateway process with its own configuration file and log.
class GatewayProcess {
  public:
    explicit GatewayProcess(const std::string& configuration, const std::string& level = "debug") {
        char name[] = "/tmp/dewweir-test-XXXXXX";
        REQUIRE(mkdtemp(name));
        folder_ = name;
        configure(configuration);
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG,
                  SIGKILL);  // a leftover gateway would connect to ports that other tests have reused
            setenv("EDGE_CONFIG", (folder_ + "/config.json").c_str(), 1);
            setenv("DEWWEIR_LOG", level.c_str(), 1);
            const int log = ::open((folder_ + "/log").c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
            dup2(log, 2);
            execl(PROGRAM, PROGRAM, nullptr);
            _exit(127);
        }
    }
    ~GatewayProcess() {
        if (pid_ > 0) {
            kill(pid_, SIGKILL);
            waitpid(pid_, nullptr, 0);
        }
        unlink((folder_ + "/config.json").c_str());
        unlink((folder_ + "/log").c_str());
        rmdir(folder_.c_str());
    }
    void configure(const std::string& text) { std::ofstream(folder_ + "/config.json") << text; }
    void signal(int number) { kill(pid_, number); }
    pid_t pid() const { return pid_; }
    // Exit code; -1 if it is still running after the timeout, or was killed.
    int wait_for_exit() {
        int status = 0;
        for (int waited = 0; waited < timeout_ms; waited += 5) {
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

// A gateway whose control plane's messages take long leaves it for one that answers at once.
#include <unistd.h>

#include <catch2/catch.hpp>

#include "gateway/control_session.h"

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

constexpr std::chrono::seconds wait_limit{5};
constexpr runtime::Time heartbeat_pause = 100 * runtime::tenths_per_millisecond;
constexpr std::uint16_t port = 18090;

// Differs between processes, so that test programs can run in parallel.
std::uint32_t stub_ip(std::uint32_t number) {
    constexpr std::uint32_t first = (127u << 24) + (1u << 23);
    return first + 2 * static_cast<std::uint32_t>(getpid()) + number;
}

class StubControlPlane : transport::SessionUser {
  public:
    StubControlPlane(runtime::EventLoop& loop, std::uint32_t number)
        : loop_(loop), sessions_(loop), timer_(loop) {
        REQUIRE_FALSE(sessions_.listen({asio::ip::address_v4(stub_ip(number)), port}, *this));
        beat();
    }
    // Its messages to gateways that are its members wait behind a long queue: none of them answers a stamp.
    bool backlogged = false;
    bool is_current() const { return member_ != 0; }

  private:
    void session_received(transport::SessionId session, wire::Message&& message) override {
        const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message);
        if (heartbeat && !backlogged) send(session, heartbeat->stamp);
        if (std::holds_alternative<wire::Probe>(message)) send(session, 0);
        if (std::holds_alternative<wire::Hello>(message)) member_ = session;
    }
    void session_closed(transport::SessionId session) override {
        if (session == member_) member_ = 0;
    }
    void beat() {
        if (member_) send(member_, 0);
        timer_.start(heartbeat_pause, [this] { beat(); });
    }
    void send(transport::SessionId session, std::uint64_t echo) {
        wire::Heartbeat heartbeat;
        heartbeat.staleness_ms = 100;
        heartbeat.list_age_ms = 100;
        heartbeat.echo = echo;
        sessions_.send(session, heartbeat);
    }

    runtime::EventLoop& loop_;
    transport::Sessions sessions_;
    transport::SessionId member_ = 0;
    runtime::Timer timer_;
};

settings::Settings gateway_settings() {
    settings::Settings settings;
    settings.self.node = "gateway";
    settings.network.ephemeral_ports = {port, port};
    settings.network.seed_nodes = {{stub_ip(0), port}, {stub_ip(1), port}};
    settings.invariants.fault_budget.machines = 1;
    settings.invariants.bounds.config_apply = std::chrono::milliseconds{2500};
    settings.invariants.bounds.drain = std::chrono::milliseconds{2500};
    settings.invariants.bounds.contact = std::chrono::seconds{5};
    return settings;
}

bool run_until(runtime::EventLoop& loop, const std::function<bool()>& reached) {
    const auto end = std::chrono::steady_clock::now() + wait_limit;
    while (!reached()) {
        if (std::chrono::steady_clock::now() > end) return false;
        loop.deadlines().run_due();
        loop.io().run_one_until(std::min(loop.deadlines().next(), end));
    }
    return true;
}

}  // namespace

TEST_CASE("A control plane whose words arrive steadily but late is left for one that answers at once") {
    runtime::EventLoop loop(100);
    StubControlPlane first(loop, 0);
    StubControlPlane second(loop, 1);
    transport::Sessions sessions(loop);
    ControlSession session(
        loop, sessions, gateway_settings(), wire::Member{}, [](const distribution::Changes&) {},
        [](const ListLease&) {}, [](runtime::Time) { return false; });
    session.start();
    REQUIRE(run_until(loop, [&] { return first.is_current() || second.is_current(); }));
    StubControlPlane& current = first.is_current() ? first : second;
    StubControlPlane& other = first.is_current() ? second : first;
    current.backlogged = true;
    CHECK(run_until(loop, [&] { return other.is_current(); }));
    loop.io().stop();
}

// Staleness proofs by echoed stamps, with a stub gateway or a stub leader on real sockets. An echo sent
// before the view, or a heartbeat without an echo taken as proof, would make stale state count as current.
#include "control_plane/fleet_server.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::control_plane;

namespace {

constexpr std::chrono::seconds test_timeout{5};
constexpr std::uint16_t first_port = 36000;
constexpr std::uint16_t last_port = 36800;
constexpr runtime::Time max_staleness = 2 * runtime::tenths_per_second;
constexpr std::uint64_t stamp = 7;
const asio::ip::address_v4 loopback = asio::ip::make_address_v4("127.0.0.1");

class StubLog : public ReplicatedLog {
  public:
    bool leading = true;
    std::optional<runtime::Time> age = 0;
    std::optional<std::string> leader;

    bool is_leader() const override { return leading; }
    std::uint64_t term() const override { return 1; }
    std::uint64_t commit_index() const override { return 0; }
    std::uint64_t applied_index() const override { return 0; }
    std::optional<runtime::Time> staleness() const override { return age; }
    DiskState disk_state() const override { return DiskState::writable; }
    std::vector<MemberStatus> members() const override { return {}; }
    std::optional<std::string> leader_address() const override { return leader; }
    const control::StateMachine& state() const override { return state_; }
    void propose(const control::Command&, std::function<void(const ProposalResult&)>) override {}
    void read_barrier(std::function<void(ProposalError)>) override {}

  private:
    control::StateMachine state_;
};

// The stub at the other end of the control plane's sessions; records what it receives.
class StubPeer : public transport::SessionUser {
  public:
    void session_opened(transport::SessionId id) override { session = id; }
    void session_received(transport::SessionId id, wire::Message&& message) override {
        session = id;
        received.push_back(std::move(message));
    }
    void session_closed(transport::SessionId) override { session = 0; }

    // One echo of the stamp: the reported age of the instance list, and whether the list had arrived before.
    struct Echo {
        std::uint32_t list_age_ms = 0;
        bool after_list = false;
    };
    std::vector<Echo> echoes() const {
        std::vector<Echo> echoes;
        bool listed = false;
        for (const wire::Message& message : received) {
            listed = listed || std::holds_alternative<wire::InstancesUpdate>(message);
            const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message);
            if (heartbeat && heartbeat->echo == stamp) echoes.push_back({heartbeat->list_age_ms, listed});
        }
        return echoes;
    }
    std::uint64_t last_stamp() const {
        std::uint64_t last = 0;
        for (const wire::Message& message : received) {
            if (const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message)) last = heartbeat->stamp;
        }
        return last;
    }

    transport::SessionId session = 0;
    std::vector<wire::Message> received;
};

struct TestHarness {
    TestHarness() : loop(64), own_sessions(loop), peer_sessions(loop) {
        wire::Member self;
        self.node = "control-plane";
        fleet.emplace(loop, own_sessions, self, log, max_staleness);
        while (port < last_port && fleet->listen({loopback, port})) ++port;
        REQUIRE(port < last_port);
    }
    ~TestHarness() { loop.io().stop(); }

    void wait_until(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        REQUIRE(condition());
    }
    // Connects a gateway that sends its Hello and its stamp at once.
    void connect_gateway() {
        peer_sessions.open({loopback, port}, peer, max_staleness);
        wait_until([&] { return peer.session != 0; });
        peer_sessions.send(peer.session, wire::Hello{wire::protocol_version, {}});
        wire::Heartbeat request;
        request.stamp = stamp;
        peer_sessions.send(peer.session, request);
    }
    // Makes this process a follower of the stub leader.
    void follow() {
        std::uint16_t leader = port + 1;
        while (leader < last_port && peer_sessions.listen({loopback, leader}, peer)) ++leader;
        REQUIRE(leader < last_port);
        log.leading = false;
        log.leader = "127.0.0.1:" + std::to_string(leader);
        fleet->leadership_changed();
        wait_until([&] { return peer.last_stamp() != 0; });
    }
    void leader_sends_heartbeat(std::uint64_t echo, std::uint32_t list_age_ms) {
        wire::Heartbeat heartbeat;
        heartbeat.echo = echo;
        heartbeat.list_age_ms = list_age_ms;
        peer_sessions.send(peer.session, heartbeat);
    }
    void read_list() { fleet->instance_list_read({{{"i", {}}}, loop.now(), 1}); }

    StubLog log;
    runtime::EventLoop loop;
    transport::Sessions own_sessions;
    transport::Sessions peer_sessions;
    StubPeer peer;
    std::uint16_t port = first_port;
    std::optional<FleetServer> fleet;
};

}  // namespace

TEST_CASE("a stamp is echoed after the view, not before it") {
    TestHarness harness;
    harness.read_list();
    harness.log.age.reset();  // not in sync: the view is withheld
    harness.connect_gateway();
    harness.wait_until([&] { return harness.peer.received.size() >= 2; });  // heartbeats only
    CHECK(harness.peer.echoes().empty());
    harness.log.age = 0;
    harness.wait_until([&] { return !harness.peer.echoes().empty(); });
    CHECK(harness.peer.echoes()[0].after_list);
    CHECK(harness.peer.echoes()[0].list_age_ms != wire::unknown_list_age_ms);
}

TEST_CASE("without an instance list a stamp is echoed without an age, and again as soon as there is a list") {
    TestHarness harness;
    harness.connect_gateway();
    harness.wait_until([&] { return harness.peer.echoes().size() == 1; });
    CHECK(harness.peer.echoes()[0].list_age_ms == wire::unknown_list_age_ms);
    harness.read_list();
    harness.wait_until([&] { return harness.peer.echoes().size() == 2; });
    CHECK(harness.peer.echoes()[1].after_list);
    CHECK(harness.peer.echoes()[1].list_age_ms < 1000);
}

TEST_CASE("a heartbeat of the leader proves nothing unless it echoes this process's stamp") {
    TestHarness harness;
    harness.follow();
    harness.leader_sends_heartbeat(0, 0);
    harness.leader_sends_heartbeat(0, 0);
    harness.wait_until([&] { return harness.peer.received.size() >= 4; });
    CHECK(*harness.fleet->staleness() > max_staleness);
    harness.leader_sends_heartbeat(harness.peer.last_stamp(), wire::unknown_list_age_ms);
    harness.wait_until([&] { return *harness.fleet->staleness() < max_staleness; });
}

TEST_CASE(
    "a gateway that reads more slowly than updates come is sent the whole view in place of all of them") {
    constexpr std::size_t updates = 300;
    constexpr std::size_t update_bytes = 100'000;
    TestHarness harness;
    harness.read_list();
    harness.connect_gateway();
    harness.wait_until([&] { return !harness.peer.echoes().empty(); });
    wire::Instance instance;
    instance.zone = std::string(update_bytes, 'z');
    const auto publish = [&](std::size_t number) {
        instance.id = std::to_string(number);
        harness.fleet->instance_list_read({{{instance.id, instance}}, harness.loop.now(), 1});
    };
    for (std::size_t number = 1; number <= updates; ++number) publish(number);
    const auto has_newest = [&] {
        return std::any_of(
            harness.peer.received.begin(), harness.peer.received.end(), [&](const wire::Message& message) {
                const auto* const update = std::get_if<wire::InstancesUpdate>(&message);
                return update && !update->changed.empty() && update->changed[0].id == std::to_string(updates);
            });
    };
    harness.wait_until(has_newest);
    CHECK(harness.peer.received.size() < updates / 2);
}

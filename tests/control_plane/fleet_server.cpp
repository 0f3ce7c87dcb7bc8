// What a control plane's answered stamps prove, between stand-ins on real sockets: a gateway, or the leader.
#include "control_plane/fleet_server.h"

#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::control_plane;

namespace {

constexpr std::chrono::seconds patience{5};
constexpr std::uint16_t first_port = 36000;
constexpr std::uint16_t last_port = 36800;
constexpr runtime::Time freshness_limit = 2 * runtime::tenths_per_second;
constexpr std::uint64_t stamp = 7;
const asio::ip::address_v4 loopback = asio::ip::make_address_v4("127.0.0.1");

class Log : public ReplicatedLog {
  public:
    bool leading = true;
    std::optional<runtime::Time> age = 0;
    std::optional<std::string> leader;

    bool leads() const override { return leading; }
    std::uint64_t term() const override { return 1; }
    std::uint64_t commit_index() const override { return 0; }
    std::uint64_t applied_index() const override { return 0; }
    std::optional<runtime::Time> staleness() const override { return age; }
    DiskState disk_state() const override { return DiskState::takes_writes; }
    std::vector<MemberStatus> members() const override { return {}; }
    std::optional<std::string> leader_address() const override { return leader; }
    const control::StateMachine& state() const override { return state_; }
    void propose(const control::Command&, std::function<void(const ProposalResult&)>) override {}
    void read_barrier(std::function<void(ProposalError)>) override {}

  private:
    control::StateMachine state_;
};

// The other end of the control plane's sessions; it says what it is told to.
class Peer : public transport::SessionUser {
  public:
    void session_opened(transport::SessionId id) override { session = id; }
    void session_received(transport::SessionId id, wire::Message&& message) override {
        session = id;
        received.push_back(std::move(message));
    }
    void session_closed(transport::SessionId) override { session = 0; }

    // The age told with each answer to the stamp, and whether the list of hosts had come before it.
    struct Answer {
        std::uint32_t list_age_ms = 0;
        bool behind_list = false;
    };
    std::vector<Answer> answers() const {
        std::vector<Answer> found;
        bool listed = false;
        for (const wire::Message& message : received) {
            listed = listed || std::holds_alternative<wire::InstancesUpdate>(message);
            const auto* const heartbeat = std::get_if<wire::Heartbeat>(&message);
            if (heartbeat && heartbeat->echo == stamp) found.push_back({heartbeat->list_age_ms, listed});
        }
        return found;
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

struct World {
    World() : loop(64), own(loop), others(loop) {
        wire::Member self;
        self.node = "control-plane";
        fleet.emplace(loop, own, self, log, freshness_limit);
        while (port < last_port && fleet->listen({loopback, port})) ++port;
        REQUIRE(port < last_port);
    }
    ~World() { loop.io().stop(); }

    void until(const std::function<bool()>& reached) {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        REQUIRE(reached());
    }
    // A gateway that says Hello and sends its stamp at once.
    void gateway_joins() {
        others.open({loopback, port}, peer, freshness_limit);
        until([&] { return peer.session != 0; });
        others.send(peer.session, wire::Hello{wire::protocol_version, {}});
        wire::Heartbeat asked;
        asked.stamp = stamp;
        others.send(peer.session, asked);
    }
    void follow() {
        std::uint16_t leader = port + 1;
        while (leader < last_port && others.listen({loopback, leader}, peer)) ++leader;
        REQUIRE(leader < last_port);
        log.leading = false;
        log.leader = "127.0.0.1:" + std::to_string(leader);
        fleet->leadership_changed();
        until([&] { return peer.last_stamp() != 0; });
    }
    void leader_says(std::uint64_t echo, std::uint32_t list_age_ms) {
        wire::Heartbeat heartbeat;
        heartbeat.echo = echo;
        heartbeat.list_age_ms = list_age_ms;
        others.send(peer.session, heartbeat);
    }
    void read_list() { fleet->instances_read({{{"i", {}}}, loop.now(), 1}); }

    Log log;
    runtime::EventLoop loop;
    transport::Sessions own;
    transport::Sessions others;
    Peer peer;
    std::uint16_t port = first_port;
    std::optional<FleetServer> fleet;
};

}  // namespace

TEST_CASE("a stamp is answered behind the view, not before it") {
    World world;
    world.read_list();
    world.log.age.reset();  // not in step: nobody is given the view
    world.gateway_joins();
    world.until([&] { return world.peer.received.size() >= 2; });  // heartbeats alone
    CHECK(world.peer.answers().empty());
    world.log.age = 0;
    world.until([&] { return !world.peer.answers().empty(); });
    CHECK(world.peer.answers()[0].behind_list);
    CHECK(world.peer.answers()[0].list_age_ms != wire::unknown_list_age_ms);
}

TEST_CASE("while no list is known a stamp gets no age, and one as soon as there is a list") {
    World world;
    world.gateway_joins();
    world.until([&] { return world.peer.answers().size() == 1; });
    CHECK(world.peer.answers()[0].list_age_ms == wire::unknown_list_age_ms);
    world.read_list();
    world.until([&] { return world.peer.answers().size() == 2; });
    CHECK(world.peer.answers()[1].behind_list);
    CHECK(world.peer.answers()[1].list_age_ms < 1000);
}

TEST_CASE("what the leader tells proves nothing but with the own stamp") {
    World world;
    world.follow();
    world.leader_says(0, 0);
    world.leader_says(0, 0);
    world.until([&] { return world.peer.received.size() >= 4; });
    CHECK(*world.fleet->staleness() > freshness_limit);
    world.leader_says(world.peer.last_stamp(), wire::unknown_list_age_ms);
    world.until([&] { return *world.fleet->staleness() < freshness_limit; });
}

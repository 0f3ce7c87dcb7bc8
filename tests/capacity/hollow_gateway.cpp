// A hollow gateway against a session's other end on loopback: it says who it is, takes a configuration and
// tells so.
#include "capacity_world/hollow_gateway.h"

#include <catch2/catch.hpp>

#include "transport/addresses.h"

using namespace dewweir;
using namespace dewweir::capacity_world;

namespace {

constexpr std::uint32_t loopback = 0x7f000001;
constexpr std::uint16_t first_port = 33100;
constexpr std::uint16_t last_port = 33900;
constexpr runtime::Time bound = 5 * runtime::tenths_per_second;
constexpr std::string_view configuration_text =
    R"({"epoch":"00000003","routes":[],"services":[],"limits":{},"tenants":[]})";

// The other end: in step when it is asked, and answers a gateway's greeting with a configuration.
struct ControlPlane : transport::SessionUser {
    explicit ControlPlane(transport::Sessions& sessions) : sessions(sessions) {}
    void session_received(transport::SessionId session, wire::Message&& message) override {
        if (std::holds_alternative<wire::Probe>(message)) {
            sessions.send(session, wire::Heartbeat{3, 0, {}, 0, 0, 0});
        }
        const auto* const hello = std::get_if<wire::Hello>(&message);
        if (!hello) return;
        node = hello->self.node;
        sessions.send(session, wire::ConfigurationUpdate{3, std::string(configuration_text)});
    }
    void session_closed(transport::SessionId) override {}

    transport::Sessions& sessions;
    std::string node;
};

settings::Settings common_settings(std::uint16_t port) {
    settings::Settings settings;
    settings.self.node = "hollow";
    settings.self.ip = loopback + 0x100;
    settings.network.ephemeral_ports = {port, port};
    settings.network.seed_nodes = {{loopback, port}};
    settings.network.zones = {{"north", "one"}, {"south", "two"}};
    return settings;
}

}  // namespace

TEST_CASE("hollow gateways of one file differ in name, address and zone") {
    const settings::Settings common = common_settings(first_port);
    const settings::Settings third = settings_of(common, 3);
    CHECK(third.self.node == "hollow-3");
    CHECK(third.self.ip == common.self.ip + 3);
    CHECK(third.self.zone == "south");
    CHECK(third.self.region == "two");
}

TEST_CASE("a hollow gateway takes the configuration of its control plane") {
    runtime::EventLoop loop(16);
    transport::Sessions served(loop);
    ControlPlane control_plane(served);
    std::uint16_t port = first_port;
    while (port < last_port && served.listen(transport::tcp_endpoint({loopback, port}), control_plane))
        ++port;
    REQUIRE(port < last_port);

    transport::Sessions sessions(loop);
    std::optional<TakenEvent> taken;
    HollowGateway gateway(loop, sessions, settings_of(common_settings(port), 0),
                          [&](const TakenEvent& event) {
                              taken = event;
                              loop.stop();
                          });
    REQUIRE_FALSE(gateway.start());
    runtime::Timer end(loop);
    end.start(bound, [&] { loop.stop(); });
    loop.run();

    REQUIRE(taken);
    CHECK(taken->what == Taken::configuration);
    CHECK(taken->version == 3);
    CHECK(taken->in_force_at >= taken->heard_at);
    CHECK(control_plane.node == "hollow-0");
    CHECK(gateway.has_configuration());
}

// The poller against a stub of the platform's API on a real socket; each test scripts the stub's answers and
// their order.
#include "control/instance_poller.h"

#include <catch2/catch.hpp>

#include "api/server.h"

using namespace dewweir;
using namespace dewweir::control;

namespace {

constexpr std::chrono::seconds test_timeout{5};
constexpr std::uint16_t first_port = 35000;
constexpr std::uint16_t last_port = 35800;
constexpr runtime::Time interval = 10 * runtime::tenths_per_millisecond;

std::string page(const std::string& id, const std::string& state, const std::string& zone,
                 const std::string& next) {
    return R"({"instances":{")" + zone + R"(":[{"id":")" + id + R"(","backend":"b","address":"a","state":")" +
           state + R"("}]},"next_token":")" + next + R"("})";
}

struct Platform {
    Platform() : loop(64), server(loop, 1 << 16) {
        server.declare("GET", "/instances", [this](const api::Request& request, const api::Respond& respond) {
            queries.emplace_back(request.query);
            answers.push_back(respond);
        });
        while (port < last_port && server.listen({address, port})) ++port;
        REQUIRE(port < last_port);
        poller.emplace(
            loop, asio::ip::tcp::endpoint(address, port), PollerOptions{{"z 1", "z2"}, interval, 0},
            [this](const InstanceReading& reading) { readings.push_back(reading); }, [this] { ++failures; });
        poller->start({{"k", {"k", "b", "a", "z0", 0, wire::InstanceState::ready, 0}}});
    }
    ~Platform() { loop.io().stop(); }

    void wait_until(const std::function<bool()>& condition) {
        const auto end = std::chrono::steady_clock::now() + test_timeout;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            loop.deadlines().run_due();
            loop.io().run_one_until(std::min(loop.deadlines().next(), end));
        }
        REQUIRE(condition());
    }
    // Waits for the request with this index (from 0) and answers it.
    void answer(std::size_t index, const std::string& body, api::Status status = api::Status::ok) {
        wait_until([&] { return queries.size() > index; });
        answers[index]({status, body});
    }

    // Answers the first reading, one request per zone, with empty lists.
    void first_reading() {
        for (std::size_t index = 0; index < 3; ++index) answer(index, R"({"instances":{}})");
    }

    const asio::ip::address_v4 address = asio::ip::make_address_v4("127.0.0.1");
    runtime::EventLoop loop;
    api::Server server;
    std::uint16_t port = first_port;
    std::vector<std::string> queries;  // of the requests received, in order
    std::vector<api::Respond> answers;
    std::vector<InstanceReading> readings;
    int failures = 0;
    std::optional<InstancePoller> poller;
};

}  // namespace

TEST_CASE("the first reading requests every known zone separately") {
    Platform platform;
    platform.wait_until([&] { return platform.queries.size() == 3; });
    CHECK(platform.queries == std::vector<std::string>{"zone=z%201", "zone=z0", "zone=z2"});
}

TEST_CASE("a list that fits one page is read with one request from then on") {
    Platform platform;
    platform.first_reading();
    platform.answer(3, page("i", "ready", "z2", ""));
    platform.wait_until([&] { return platform.queries.size() == 5; });
    REQUIRE(platform.readings.size() == 2);
    CHECK(platform.readings[1].pages == 1);
    CHECK(platform.queries[3].empty());
    CHECK(platform.queries[4].empty());
}

TEST_CASE("a longer list is read zone by zone in parallel and is complete with the last answer") {
    Platform platform;
    platform.first_reading();
    platform.answer(3, page("i", "ready", "z 1", "t/1"));
    platform.answer(4, page("j", "ready", "z3", ""));
    CHECK(platform.queries[4] == "page_token=t%2F1");
    // Including the zone that is only known from the list.
    platform.wait_until([&] { return platform.queries.size() == 8; });
    CHECK(std::vector<std::string>(platform.queries.begin() + 5, platform.queries.end()) ==
          std::vector<std::string>{"zone=z%201", "zone=z2", "zone=z3"});
    platform.answer(5, page("i", "ready", "z 1", ""));
    platform.answer(6, R"({"instances":{}})");
    CHECK(platform.readings.size() == 2);
    platform.answer(7, page("j", "draining", "z3", ""));
    platform.wait_until([&] { return platform.readings.size() == 3; });
    CHECK(platform.readings[2].pages == 3);
    CHECK(platform.readings[2].instances.at("j").state == wire::InstanceState::draining);
}

TEST_CASE("of an instance on two pages the later page's entry is used") {
    Platform platform;
    platform.first_reading();
    platform.answer(3, page("i", "ready", "z2", "t"));
    platform.answer(4, page("i", "draining", "z2", ""));
    platform.wait_until([&] { return platform.readings.size() == 2; });
    CHECK(platform.readings[1].instances.at("i").state == wire::InstanceState::draining);
}

// Guards against a list that lacks hosts, or a reading without end, after a late copy of an earlier page.
TEST_CASE("a page that leads back to one that was asked for already makes the reading fail") {
    Platform platform;
    platform.first_reading();
    platform.answer(3, page("i", "ready", "z2", "t"));
    platform.answer(4, page("i", "ready", "z2", "t"));
    platform.wait_until([&] { return platform.queries.size() == 6; });
    CHECK(platform.queries[4] == "page_token=t");
    CHECK(platform.queries[5].empty());  // a new reading from its first page
    CHECK(platform.failures == 1);
    CHECK(platform.readings.size() == 1);
}

TEST_CASE("a reading with a failed zone is discarded, and the next one uses no zone filter") {
    Platform platform;
    platform.answer(0, R"({"instances":{}})");
    platform.answer(1, page("i", "ready", "z0", ""));
    platform.answer(2, "", api::Status::too_many_requests);
    platform.wait_until([&] { return platform.queries.size() == 4; });
    CHECK(platform.failures == 1);
    CHECK(platform.readings.empty());
    CHECK(platform.queries[3].empty());
}

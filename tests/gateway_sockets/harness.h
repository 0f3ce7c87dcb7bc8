// Test harness: a gateway's proxy between stub clients and one stub host, all in one event loop. Tests wait
// for a state, with a time limit; nothing sleeps.
#pragma once

#include <unistd.h>

#include <catch2/catch.hpp>
#include <functional>

#include "gateway/proxy.h"
#include "peer.h"

namespace dewweir::gateway::tests {

// Longest wait for a state.
constexpr std::chrono::seconds wait_limit{5};

class GatewayHarness {
  public:
    explicit GatewayHarness(const configuration::ClientLimits& limits = {}, const RetryBound& retries = {})
        : loop_(max_connections),
          quotas_(loop_, "gateway", {}),
          proxy_(loop_, quotas_, options(retries)),
          host_(loop_.io(), {asio::ip::make_address_v4("127.0.0.1"), 0}) {
        accept();
        REQUIRE_FALSE(proxy_.front_end().listen(front_end_address()));
        configure(limits);
        add_host();
    }
    // The peers' handlers refer to the peers, so none of them may run any more.
    ~GatewayHarness() { loop_.io().stop(); }

    // Runs the event loop until the state is reached. Returns false at the time limit.
    bool run_until(const std::function<bool()>& reached) {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!reached()) {
            if (std::chrono::steady_clock::now() > end) return false;
            loop_.deadlines().run_due();
            if (reached()) return true;
            loop_.io().run_one_until(std::min(loop_.deadlines().next(), end));
        }
        return true;
    }

    // Runs one handler at a time until the state is reached, and no handler after that.
    void step_until(const std::function<bool()>& reached) {
        const auto end = std::chrono::steady_clock::now() + wait_limit;
        while (!reached()) {
            REQUIRE(std::chrono::steady_clock::now() < end);
            loop_.deadlines().run_due();
            if (!reached()) loop_.io().poll_one();
        }
    }

    // Lets the lease on the list of hosts expire by the clock alone.
    void expire_list_lease() {
        const runtime::Time end = loop_.now();
        proxy_.set_list_valid_until(end);
        while (loop_.now() <= end) loop_.deadlines().update_now();
    }

    // Runs until no socket of this process is ready.
    void settle() {
        constexpr int quiet_turns = 200;
        for (int quiet = 0; quiet < quiet_turns; ++quiet) {
            loop_.deadlines().run_due();
            if (loop_.io().poll() > 0) quiet = 0;
        }
    }

    Peer& connect() {
        asio::ip::tcp::socket socket(loop_.io());
        socket.connect(front_end_address());
        clients_.push_back(std::make_unique<Peer>(std::move(socket)));
        return *clients_.back();
    }
    // The host's side of its connection `number`; waits until the gateway has opened it.
    Peer& host(std::size_t number = 0) {
        REQUIRE(run_until([&] { return host_connections_.size() > number; }));
        return *host_connections_[number];
    }
    // Waits until the host's connection `number` has received `text`.
    Peer& await_host(std::string_view text, std::size_t number = 0) {
        Peer& connection = host(number);
        INFO("host: " << connection.received.substr(0, 2000));
        REQUIRE(run_until([&] { return connection.has(text); }));
        return connection;
    }
    void await_client(Peer& client, std::string_view text) {
        const bool reached = run_until([&] { return client.has(text); });
        INFO("client: " << client.received.substr(0, 2000));
        REQUIRE(reached);
    }
    void await_client_close(Peer& client) {
        REQUIRE(run_until([&] { return client.ended; }));
    }
    std::size_t host_connections() const { return host_connections_.size(); }
    // Lists the host as draining, or as ready again.
    void drain_host() {
        instance_.state = wire::InstanceState::draining;
        list_host();
    }
    void restore_host() {
        instance_.state = wire::InstanceState::ready;
        list_host();
    }
    // Evacuates the host's zone.
    void evacuate_zone() { proxy_.view_changed(view_, view_.apply(wire::EvacuationsUpdate{1, {"zone"}})); }
    runtime::EventLoop& loop() { return loop_; }
    Proxy& proxy() { return proxy_; }

  private:
    static constexpr std::size_t max_connections = 1000;

    static Proxy::Options options(const RetryBound& retries) {
        Proxy::Options options;
        options.retry_bound = retries;
        options.node = "gateway";
        options.locality = {"zone", "region", {{"zone", "region"}}};
        return options;
    }
    // Differs between processes, so that test programs can run in parallel.
    static asio::ip::tcp::endpoint front_end_address() {
        constexpr std::uint32_t first = (127u << 24) + (1u << 22);
        constexpr std::uint16_t port = 18080;
        return {asio::ip::address_v4(first + static_cast<std::uint32_t>(getpid())), port};
    }
    void accept() {
        host_.async_accept([this](const std::error_code& error, asio::ip::tcp::socket socket) {
            if (error) return;
            host_connections_.push_back(std::make_unique<Peer>(std::move(socket)));
            accept();
        });
    }
    void configure(const configuration::ClientLimits& limits) {
        using configuration::RouteClass;
        configuration::Configuration created;
        created.limits = limits;
        for (const RouteClass route_class : {RouteClass::idempotent, RouteClass::mutating}) {
            const bool idempotent = route_class == RouteClass::idempotent;
            configuration::Route route;
            route.name = idempotent ? "read" : "write";
            route.hostname = "shop.example";
            route.path_prefix = idempotent ? "/read/" : "/write/";
            route.route_class = route_class;
            route.deadline = std::chrono::seconds{30};
            route.target_latency = std::chrono::seconds{20};
            route.backends = {{"shop", 1.0}};
            route.max_tries = 2;
            created.routes.push_back(route);
        }
        configuration::Route once = created.routes.front();
        once.name = "once";
        once.path_prefix = "/once/";
        once.max_tries = 1;
        created.routes.push_back(once);
        configuration::Service service;
        service.name = "shop";
        service.max_conns = 100;
        created.services = {service};
        proxy_.configure(std::make_shared<const configuration::Configuration>(std::move(created)));
    }
    void add_host() {
        instance_.id = "i-1";
        instance_.service = "shop";
        instance_.address = "127.0.0.1:" + std::to_string(host_.local_endpoint().port());
        instance_.zone = "zone";
        instance_.capacity = 64;
        list_host();
    }
    void list_host() {
        const wire::InstancesUpdate update{{1, ++list_revision_}, true, {instance_}, {}};
        proxy_.view_changed(view_, view_.apply(update));
    }

    runtime::EventLoop loop_;
    QuotaClient quotas_;
    Proxy proxy_;
    distribution::View view_;
    wire::Instance instance_;
    std::uint64_t list_revision_ = 0;
    asio::ip::tcp::acceptor host_;
    std::vector<std::unique_ptr<Peer>> host_connections_;
    std::vector<std::unique_ptr<Peer>> clients_;
};

// ---- HTTP texts ----

// Start of a request head. Further header lines, each with its line end, and the empty line must follow.
inline std::string request_head(const std::string& method, const std::string& path,
                                const std::string& attempt_id) {
    return method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: " + attempt_id + "\r\n";
}
inline std::string get(const std::string& attempt_id, const std::string& fields = "") {
    return request_head("GET", "/read/x", attempt_id) + fields + "\r\n";
}
inline std::string post(const std::string& attempt_id, const std::string& body,
                        const std::string& fields = "") {
    return request_head("POST", "/write/x", attempt_id) + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// Start of a response head, without the fields that state the body's length.
inline std::string response_head(const std::string& status, const std::string& attempt_id) {
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: " + attempt_id + "\r\nX-Server-Seal: seal-" +
           attempt_id + "\r\n";
}
inline std::string response(const std::string& status, const std::string& attempt_id, const std::string& body,
                            const std::string& fields = "") {
    return response_head(status, attempt_id) + fields + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

}  // namespace dewweir::gateway::tests

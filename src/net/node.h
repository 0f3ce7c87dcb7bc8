// A gateway process: owns the open requests and the decision module, and connects the client listener, the
// upstream hosts, the counter client and the discovery client to it. Node carries out decisions and reports
// events; it makes no decisions itself, and it never calls the decision module from within one of that
// module's own callbacks.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "clients.h"
#include "configuration.h"
#include "connections.h"
#include "counter.h"
#include "dewweir/decisions.h"
#include "discovery.h"
#include "hosts.h"
#include "peer_observer.h"
#include "tallies.h"

namespace dewweir::net {

class Node : Gateway, RequestHandler, AttemptListener, CounterListener, HostListListener, ReportReceiver {
  public:
    // Throws errors::CannotListen when the listen address is unavailable, errors::BadSetting when a setting
    // is missing or unreadable. `activity_observer` may be null; otherwise it is notified of all activity and
    // must outlive the node.
    Node(asio::io_context& io, Log& log, const Configuration& configuration,
         ActivityObserver* activity_observer = nullptr);
    void run();  // runs the event loop; returns once the io_context is stopped
    // Applies the addresses of discovery and the counter from a new configuration. Every other key that
    // differs is logged as needing a restart.
    void reload(const Configuration& fresh);
    const NodeContext& context() const { return context_; }
    ReportReceiver& report_receiver() { return *this; }
    // Sets the observer that is notified of this gateway's observations; nullptr detaches it.
    void set_peer_observer(PeerObserver* peer_observer);
    void stop(std::function<void()> done) { clients_.stop(std::move(done)); }

  private:
    struct Request {
        Handle client;  // 0 once the client was answered or has disconnected
        std::string id, head, body;
        int attempts = 0;
        bool in_flight = false;
        Handle attempt_handle = 0;  // for Hosts::cancel while the attempt is in flight, else 0
        int route_class = 0;
        double units = 0;
        Time received_at = 0;
    };

    void start_attempt(std::uint32_t request, std::uint32_t host, Time give_up_after) override;
    void refuse(std::uint32_t request, Time retry_after) override;
    void fail(std::uint32_t request) override;
    void cancel(std::uint32_t request, int attempt) override;
    void add_to_counter(std::uint64_t name, double amount, Time keep_for) override;
    void start_timer(Time from_now, std::uint64_t token) override;
    void cancel_timer(std::uint64_t token) override;
    void watch_host_list() override;
    void log(LogEvent event, std::uint32_t host, const std::string& line) override;
    void report_decisions(const DecisionCounts& often) override;
    void publish_total(std::uint64_t name, double total) override;
    void report_shortage(const QuotaShare& of, double units) override {
        if (peer_observer_) peer_observer_->report_shortage(of, units);
    }
    double corroborated_total(std::uint64_t name) const override {
        return peer_observer_ ? peer_observer_->corroborated_total(name) : 0;
    }

    Handle request_received(Handle client, ReceivedRequest&& received) override;
    bool is_open(const std::string& id) const override { return open_.contains(id); }
    void client_disconnected(Handle request) override;
    void attempt_ended(Handle request, std::uint32_t host, AttemptOutcome outcome, Time took,
                       const HostResponse& answer) override;
    void counter_replied(std::uint64_t name, AttemptOutcome outcome, double total, Time took) override;
    void host_list_received(const HostList& listing) override;
    void watch_failed() override;
    void host_reported(const std::string& host, const HostReport& said) override;
    double lend_tokens(const QuotaShare& of, double units) override {
        return decisions_.lend_tokens(deadlines_.now(), of, units);
    }
    void receive_loan(std::uint64_t tenant, double units, Time until) override {
        decisions_.receive_loan(deadlines_.now(), tenant, units, until);
    }

    void answer(Handle request, int status, std::string_view fields, std::string_view body);
    void remove_if_done(Handle request);
    void schedule_activity_report();

    asio::io_context& io_;
    Log& log_;
    ActivityObserver* activity_observer_;
    PeerObserver* peer_observer_ = nullptr;
    Deadlines deadlines_;
    Connections connections_;
    NodeContext context_;
    Slots<Request> requests_;
    // X-Request-Id of every open request; only looked up, never iterated.
    std::unordered_set<std::string> open_;
    // Pending timers of the decision module, by token.
    std::unordered_map<std::uint64_t, Deadlines::Key> timers_;
    Hosts hosts_;
    Counter counter_;
    Discovery discovery_;
    Decisions decisions_;
    Clients clients_;
};

}  // namespace dewweir::net

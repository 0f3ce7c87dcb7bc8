// One gateway: owns the submissions and the decision module that decides on them, and ties clients, hosts,
// counter and discovery to it. It carries out and reports; it must never decide, nor call the decision module
// from within a call of the decision module's.
#pragma once

#include <string>
#include <unordered_map>
#include <unordered_set>

#include "clients.h"
#include "company.h"
#include "configuration.h"
#include "connections.h"
#include "counter.h"
#include "dewweir/decisions.h"
#include "discovery.h"
#include "hosts.h"
#include "tallies.h"

namespace dewweir::net {

class Node : Gateway, Intake, Outcomes, Counts, ListNews, Hearer {
  public:
    // Throws when the address cannot be listened on, or a term is missing.
    // `tallies`: told of what is done, where somebody counts it; outlives the node.
    Node(asio::io_context& io, Log& log, const Configuration& told, Tallies* tallies = nullptr);
    void run();  // until the loop is stopped
    // A new configuration: where discovery and the counter are. What else it changes is named in the log.
    void take_over(const Configuration& fresh);
    const Part& part() const { return part_; }
    Hearer& hearer() { return *this; }
    // Told from now on what we find, until it is nullptr again.
    void keep(Company* company);
    void stop(std::function<void()> done) { clients_.stop(std::move(done)); }

  private:
    struct Submission {
        Handle client;  // 0 once it is answered, or its client has left
        std::string id, head, body;
        int executions = 0;
        bool out = false;
        Handle execution = 0;  // what calls it off, while it is out
        int track = 0;
        double units = 0;
        Time since = 0;
    };

    void start_attempt(std::uint32_t submission, std::uint32_t host, Time give_up_after) override;
    void refuse(std::uint32_t submission, Time come_back_in) override;
    void fail(std::uint32_t submission) override;
    void cancel(std::uint32_t submission, int execution) override;
    void count(std::uint64_t name, double amount, Time keep_for) override;
    void arm(Time from_now, std::uint64_t token) override;
    void disarm(std::uint64_t token) override;
    void follow_list() override;
    void log(LogEvent event, std::uint32_t host, const std::string& line) override;
    void decided(const Decided& often) override;
    void total_known(std::uint64_t name, double total) override;
    void lacks(const PartOf& of, double units) override {
        if (company_) company_->lacks(of, units);
    }
    double others_total(std::uint64_t name) const override {
        return company_ ? company_->others_total(name) : 0;
    }

    Handle request_received(Handle client, Asked&& asked) override;
    bool has_open(const std::string& id) const override { return open_.contains(id); }
    void client_gone(Handle submission) override;
    void execution_over(Handle submission, std::uint32_t host, AttemptOutcome outcome, Time took,
                        const Answer& answer) override;
    void counted(std::uint64_t name, AttemptOutcome outcome, double total, Time took) override;
    void list_told(const Listing& listing) override;
    void list_failed() override;
    void others_found(const std::string& host, const HostReport& said) override;
    double spare(const PartOf& of, double units) override {
        return decisions_.spare(deadlines_.now(), of, units);
    }
    void lent(std::uint64_t customer, double units, Time until) override {
        decisions_.lent(deadlines_.now(), customer, units, until);
    }

    void answer(Handle submission, int status, std::string_view fields, std::string_view body);
    void forget_if_over(Handle submission);
    void tally();

    asio::io_context& io_;
    Log& log_;
    Tallies* tallies_;
    Company* company_ = nullptr;
    Deadlines deadlines_;
    Connections connections_;
    Part part_;
    Slots<Submission> submissions_;
    std::unordered_set<std::string> open_;  // the clients' ids of all submissions, never walked
    std::unordered_map<std::uint64_t, Deadlines::Key> alarms_;  // by token, while they stand
    Hosts hosts_;
    Counter counter_;
    Discovery discovery_;
    Decisions decisions_;
    Clients clients_;
};

}  // namespace dewweir::net

// Communication with the other gateways of the fleet, by UDP on the gateway's own event loop: drives
// `members::Members` and reports what it finds. Owns the socket, the sequence numbers of datagrams and the
// status file; it must never decide which members are present, nor block the loop. Off unless the operator
// file has an address to listen at.
#pragma once

#include <array>
#include <asio/ip/udp.hpp>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "members/envelope.h"
#include "members/live.h"
#include "members/members.h"
#include "net/part.h"
#include "net/peer_observer.h"
#include "operator/settings.h"
#include "state/latest_file.h"
#include "words.h"

namespace dewweir::peers {

class Peers : public net::PeerObserver {
  public:
    // `name`: of this gateway. `instance`: start time of this process, in ms since 1970. Throws
    // errors::CannotListen and errors::BadSetting.
    Peers(const net::NodeContext& part, net::ReportReceiver& report_receiver, const MembersFile& file,
          const std::string& name, std::uint64_t seed, std::uint64_t instance);
    ~Peers() override;

    void leave() override;
    void host_status_changed(const std::string& host, bool shut) override;
    void attempt_started(const std::string& host) override;
    void attempt_ended(const std::string& host, AttemptOutcome outcome, Time took) override;
    void host_list_received(const net::HostList& listing) override;
    void publish_total(std::uint64_t name, double total) override;
    void report_shortage(const QuotaShare& of, double units) override;
    double corroborated_total(std::uint64_t name) const override;
    std::size_t count() const { return live_count_.count(); }  // gateways that quotas are divided by

  private:
    void listen();
    void receive(std::size_t bytes);  // handles the datagram in buffer_
    void turn();                      // does what is due, then follows
    void schedule_follow();           // follows once the current caller has returned
    void follow();                    // sends and logs what is pending, and sets the next timer
    void wake_at(Time next);
    void log_changes(Time now);
    void log_refused();
    void write_status(Time now);
    nlohmann::json status(Time now) const;

    net::NodeContext part_;
    MembersFile file_;
    std::string name_;
    asio::ip::udp::socket socket_;
    std::array<char, 2 * members::max_datagram_bytes + 1> buffer_{};
    asio::ip::udp::endpoint from_;
    // By name: where to reach a member, instead of the address it announces.
    std::map<std::string, asio::ip::udp::endpoint> routes_;
    members::Members members_;
    std::unique_ptr<state::LatestFile> status_;  // null unless the operator file asks for it
    bool held_up_logged_ = false;  // whether the delay of the previous status write has been logged
    std::unique_ptr<ReportExchange> reports_;  // null unless the operator file asks for it
    members::LiveCount live_count_;
    members::ReplayFilter replay_filter_;
    std::uint64_t sequence_ = 0;  // of the last datagram sent
    std::uint64_t sent_ = 0, sent_bytes_ = 0, received_ = 0, not_sent_ = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(members::RejectReason::count)> refused_{},
        refused_logged_{};
    std::size_t count_logged_ = 0;
    bool cut_logged_ = false, replaced_logged_ = false;
    bool follow_scheduled_ = false;
    net::Deadlines::Key next_{};                                  // when members or reports are due
    net::Deadlines::Key next_check_{};                            // the periodic check, once a second
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // pending callbacks may outlive this object
};

// The membership options that an operator file gives.
members::MembersOptions members_options_of(const MembersFile& file);

}  // namespace dewweir::peers

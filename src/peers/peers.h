// The other gateways of the fleet, over datagrams on the gateway's own loop: drives `members::Members` and
// tells what it finds. Owns the socket, the sequence of what is sent, and the status file; it must never
// decide who is there, nor hold the loop up. Off unless the operator file says where to listen.
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
    // `name`: ours; `instance`: when this process was started, in ms since 1970. Throws errors::CannotListen,
    // errors::BadSetting.
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
    std::size_t count() const { return live_.count(); }

  private:
    void listen();
    void came(std::size_t bytes);
    void turn();    // what is due, then all that follows from it
    void soon();    // turns once whoever has called us is done
    void follow();  // sends, tells, and waits for the next
    void wake_at(Time next);
    void tell_changes(Time now);
    void tell_refused();
    void write_status(Time now);
    nlohmann::json status(Time now) const;

    net::NodeContext part_;
    MembersFile file_;
    std::string name_;
    asio::ip::udp::socket socket_;
    std::array<char, 2 * members::most_bytes + 1> buffer_{};
    asio::ip::udp::endpoint from_;
    std::map<std::string, asio::ip::udp::endpoint> reach_;
    members::Members members_;
    std::unique_ptr<state::LatestFile> status_;  // none where the file asks for none
    bool held_up_told_ = false;
    std::unique_ptr<Words> words_;  // none where the file asks for none
    members::Live live_;
    members::Seen seen_;
    std::uint64_t sequence_ = 0, sent_ = 0, sent_bytes_ = 0, received_ = 0, not_sent_ = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(members::Refused::count)> refused_{}, refused_told_{};
    std::size_t count_told_ = 0;
    bool cut_told_ = false, replaced_told_ = false;
    bool soon_ = false;
    net::Deadlines::Key next_{}, look_{};
    std::shared_ptr<bool> there_ = std::make_shared<bool>(true);  // what is awaited may outlive us
};

// How a fleet's members are to behave, by an operator file.
members::MembersTerms terms_of(const MembersFile& file);

}  // namespace dewweir::peers

// Membership of the fleet: SWIM (Das, Gupta and Motivala, 2002) with the refinements of Lifeguard (Dadgar,
// Phillips and Currey, 2018). Failures are detected by random probes, direct and through other members. The
// timeout of a suspicion shrinks with each member that confirms it. A member that may itself be slow waits
// longer before it suspects others, and a suspected member refutes the suspicion. Pure: times, datagrams and
// a seed are passed in, messages to send are returned. Owns what is known of each member; it must never judge
// an upstream host or a request.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "members/spread.h"

namespace dewweir::members {

// Times in tenths of a millisecond.
struct MembersOptions {
    Time probe_period = 10000;  // one probe each; a fifth of it is the timeout of a direct answer
    Time gossip_period = 2000;  // one round each, where there is anything to pass on
    int fan_out = 3;            // members that each round of gossip is sent to
    int indirect_probes = 3;    // members asked to probe on our behalf
    // Lifeguard's suspicion timeout: at least `suspicion_alpha` * log10(members) probe periods, at most
    // `suspicion_beta` times that; each of up to `max_confirmations` other members shortens it.
    double suspicion_alpha = 5;
    double suspicion_beta = 6;
    int max_confirmations = 3;
    int max_health_score = 8;   // probe period and timeouts are multiplied by up to 1 + this
    Time list_period = 300000;  // requests a full list: what gossip missed, and the other side of a partition
    Time dead_retention = 36000000;  // how long dead and departed members are remembered
    int retransmit_factor = 8;       // times log2(members): how often each update is sent
};

// What is known of another member.
struct Member {
    Update update;   // the latest one
    Time since = 0;  // when its state was set here
    Time suspect_until = 0;
    std::set<std::string> suspected_by{};
    int unanswered = 0;  // consecutive messages to it that ask for an answer, since its last datagram
};

struct OutgoingMessage {
    Address to;
    std::string target;  // name of the intended receiver; empty: whoever listens at the address
    Message message;
};

class Members {
  public:
    // `self`: name, address and instance of this member. `seeds`: addresses to join by; our own is ignored.
    Members(const MembersOptions& options, const Update& self, std::vector<Address> seeds, std::uint64_t seed,
            Time now);

    void step(Time now);               // does what is due
    Time now() const { return now_; }  // time of the last call that passed one
    Time next() const;                 // when `step` is due next
    // Handles a received message. `instance`: of the sender, from the envelope.
    void receive(Time now, const std::string& from, std::uint64_t instance, Address at,
                 const Message& message);
    // Announces that this member leaves; the caller sends the outgoing messages and then stops.
    void leave(Time now);
    std::vector<OutgoingMessage> take_outgoing();  // each once

    // Gossip items of other packages, passed on like updates.
    void publish(const GossipItem& item) { spread_.put(item); }
    void withdraw(const std::string& key) { spread_.drop_item(key); }
    // Called for each unexpired item that is received.
    std::function<void(Time now, const std::string& from, const GossipItem& item)> on_item;
    // Called before a full list is sent, to get all items that are live.
    std::function<std::vector<GossipItem>()> live_items;

    const std::map<std::string, Member>& others() const { return others_; }  // by name, without this member
    const Update& self() const { return self_; }
    std::size_t present_count() const { return present_; }  // alive or suspected, including this member
    // How many of these can be reached now, including this member, judged by unanswered messages and standing
    // suspicions: a member that is cut off has a high health score, and so is slow to declare the others
    // dead. A suspicion raised by chance is refuted before it counts here.
    std::size_t reachable_count() const;
    // Lifeguard's local health: 0 (healthy) to `max_health_score`; it rises when probes of ours fail.
    int health_score() const { return health_score_; }
    // Whether a later process has taken our name; this member then sends nothing more.
    bool replaced() const { return replaced_; }
    Address replaced_by() const { return replaced_by_; }
    // Changes of members' states, in order, each once.
    std::vector<Update> take_changes() { return std::exchange(changes_, {}); }

    // Since the start.
    struct Counters {
        std::uint64_t probes = 0;   // sent
        std::uint64_t failed = 0;   // probes without an answer, direct or indirect
        std::uint64_t refuted = 0;  // claims about this member that it refuted
        std::uint64_t died = 0;     // suspicions of other members that timed out here
    };
    const Counters& counters() const { return counters_; }
    Time suspicion_timeout(int confirmations) const;  // at the present number of members

  private:
    // The probe in flight.
    struct Probe {
        std::uint64_t number = 0;  // 0: none
        std::string target;
        Time indirect_at = 0;  // when to probe through others
        Time ends_at = 0;
        bool indirect = false;  // whether others have been asked
        int nacks_missing = 0;  // of those asked; members that send not even a nack hint at a fault of ours
    };
    // A probe on behalf of another member.
    struct Relayed {
        std::uint64_t requester_number;  // the probe's number at the requester
        std::string target, requester;
        Address requester_address;
        Time nack_at;
    };

    void probe(Time now);
    void finish_probe(Time now);
    void probe_indirectly(Time now);
    void gossip();
    void request_list();
    // Sends the full list from entry `from` on, as far as one datagram holds it.
    void send_list(Address to, const std::string& target, std::uint64_t from);
    void expire_suspicions(Time now);
    void apply_update(Time now, const Update& update);
    void apply_own_update(const Update& update);
    void set(Time now, Member& member, const Update& update);
    // `first`: an update that is included before any queued one.
    void send(Address to, const std::string& target, Message message, const Update* first = nullptr);
    void adjust_health_score(int by);
    int max_sends() const;            // of each update and item, at the present number of members
    std::size_t draw(std::size_t n);  // a random number from 0 to n - 1
    // Names of up to `n` random members that the predicate holds for.
    std::vector<std::string> random_members(std::size_t n, const std::function<bool(const Member&)>& which);

    MembersOptions options_;
    Time now_;
    Update self_;
    std::vector<Address> seeds_;
    boost::random::mt19937 rng_;
    std::map<std::string, Member> others_;
    std::size_t present_ = 1;
    Spread spread_;
    std::vector<std::string> probe_order_;  // each member once, reshuffled after each pass
    std::size_t probe_position_ = 0;        // in `probe_order_`
    Probe probe_;
    std::map<std::uint64_t, Relayed> relayed_;  // by the number of our own ping
    std::uint64_t last_number_ = 0;
    Time probe_at_, gossip_at_, list_at_;
    int health_score_ = 0;
    bool replaced_ = false, left_ = false;
    Address replaced_by_ = 0;
    std::vector<OutgoingMessage> outgoing_;
    std::vector<Update> changes_;
    Counters counters_;
};

}  // namespace dewweir::members

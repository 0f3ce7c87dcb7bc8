// Who is there: SWIM (Das, Gupta and Motivala, 2002) with Lifeguard's refinements (Dadgar, Phillips and
// Currey, 2018): failures are found by random probes, directly and through others; a suspicion runs out the
// sooner the more members share it; who may itself be slow waits longer and says so; who hears ill of itself
// refutes it. Pure: moments, datagrams and a seed are handed in, what is to be sent is handed out. Owns what
// is known of each member; it must never judge a host or a submission.
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
struct MembersTerms {
    Time period = 10000;  // a probe each; an answer is waited for a fifth of it, then others are asked
    Time gossip = 2000;   // news is passed on each, where there is any
    int fan_out = 3;      // to so many
    int helpers = 3;      // asked to probe for us
    // Lifeguard's: the least time of a suspicion is `alpha` x log10(members) periods, the most `beta` times
    // that, less by each of up to `confirmers` others that share it.
    double alpha = 5, beta = 6;
    int confirmers = 3;
    int most_doubt = 8;     // of our own health: periods and times are longer by as many
    Time ask_all = 300000;  // the whole list of another: what gossip has missed, and the other side of a cut
    Time remember_dead = 36000000;  // and who has left
    int rounds = 8;                 // times log2(members): how often each news is passed on
};

struct Member {
    Update is;
    Time since = 0;  // of its state, here
    Time suspect_until = 0;
    std::set<std::string> suspected_by{};
    int unanswered = 0;  // of what we asked it, in a row, since the last datagram of its own
};

struct Sending {
    Address to;
    std::string whom;  // empty: whoever is there
    Message message;
};

class Members {
  public:
    // `self`: name, address and instance. `seeds`: addresses to begin with, our own may be among them.
    Members(const MembersTerms& terms, const Update& self, std::vector<Address> seeds, std::uint64_t seed,
            Time now);

    void step(Time now);               // what is due
    Time now() const { return now_; }  // when it was last told anything
    Time next() const;                 // when `step` is to be called next
    // `instance`: the sender's, by the envelope.
    void came(Time now, const std::string& from, std::uint64_t instance, Address at, const Message& message);
    void leave(Time now);         // tells some of it at once; the caller sends what is to be sent, and goes
    std::vector<Sending> take();  // to be sent, once

    // Words of other packages, passed on like news of members.
    void tell(const Word& word) { spread_.put(word); }
    void drop(const std::string& key) { spread_.drop_word(key); }
    // Called for each word that comes, and before a list is told, to be given all there are.
    std::function<void(Time now, const std::string& from, const Word& word)> on_word;
    std::function<std::vector<Word>()> all_words;

    const std::map<std::string, Member>& all() const { return all_; }  // but for ourselves
    const Update& self() const { return self_; }
    std::size_t present() const { return present_; }  // alive or suspected, and ourselves
    // How many of these can be reached now, by what we and those we hear found: who is cut off doubts itself,
    // and is slow to hold the others for dead. A suspicion by chance is refuted before it counts here.
    std::size_t reached() const;
    int doubt() const { return doubt_; }  // of our own health, 0 to `most_doubt`
    // Another process has our name and is the later one: we say nothing more.
    bool replaced() const { return replaced_; }
    Address replaced_by() const { return replaced_by_; }
    // Changes of states, in order, once.
    std::vector<Update> changes() { return std::exchange(changes_, {}); }

    struct Tally {
        std::uint64_t probes = 0, failed = 0, refuted = 0, died = 0;
    };
    const Tally& tally() const { return tally_; }
    Time suspicion(int confirmations) const;  // how long one lasts now

  private:
    struct Probe {
        std::uint64_t number = 0;  // 0: none is out
        std::string whom;
        Time ask_others_at = 0, over_at = 0;
        bool others = false;
        int nacks_missing = 0;
    };
    struct Relayed {  // a probe for another
        std::uint64_t theirs;
        std::string whom, for_whom;
        Address back_to;
        Time nack_at;
    };

    void probe(Time now);
    void probe_over(Time now);
    void ask_others(Time now);
    void gossip();
    void ask_for_all();
    void tell_all(Address to, const std::string& whom, std::uint64_t from);
    void suspicions(Time now);
    void heard(Time now, const Update& update);
    void heard_of_us(const Update& update);
    void set(Time now, Member& member, const Update& update);
    // `first`: goes along whatever else does.
    void send(Address to, const std::string& whom, Message message, const Update* first = nullptr);
    void doubt(int by);
    int rounds() const;
    std::size_t draw(std::size_t n);
    std::vector<std::string> some(std::size_t n, const std::function<bool(const Member&)>& which);

    MembersTerms terms_;
    Time now_;
    Update self_;
    std::vector<Address> seeds_;
    boost::random::mt19937 chance_;
    std::map<std::string, Member> all_;
    std::size_t present_ = 1;
    Spread spread_;
    std::vector<std::string> order_;  // of probes: each once, then shuffled anew
    std::size_t at_ = 0;
    Probe probe_;
    std::map<std::uint64_t, Relayed> relayed_;
    std::uint64_t numbers_ = 0;
    Time probe_at_, gossip_at_, ask_at_;
    int doubt_ = 0;
    bool replaced_ = false, left_ = false;
    Address replaced_by_ = 0;
    std::vector<Sending> out_;
    std::vector<Update> changes_;
    Tally tally_;
};

}  // namespace dewweir::members

// What other gateways observed of upstream hosts, combined into one suspicion score per host. Each
// observation has an origin and a time to live; later ones of an origin replace earlier ones, those of
// several origins add up, and an origin that was wrong weighs less. Pure: times and observations are passed
// in. It must never eject a host: what follows from a suspicion is decided under src/policy.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::verdicts {

// Times in tenths of a millisecond.
struct ObservationOptions {
    Time weight_half_life = 300000;     // an origin regains half of its lost weight in this time
    Time time_to_live = 50000;          // of an observation: 5 s; it is repeated while it stands
    Time fresh_for = 20000;             // a response of our own this recent overrides peers' observations
    Time max_observation_age = 200000;  // since the event; older ones are no longer repeated
    double redundant_score = 4;  // where peers' score is at least this, our own observation is not published
    double learning_rate = 0.3;  // of an origin's weight, for each observation that proved right or wrong
    double min_weight = 0.05;    // so that an origin that is right again can regain weight
    double silence_multiple =
        4;  // a host is unresponsive after this many times (average latency + deviation)
    // Weight of an unresponsive host relative to an ejected one: to one gateway alone, a slow request looks
    // the same.
    double unresponsive_weight = 0.5;
};

// ejected: by the origin's own evidence. unresponsive: an attempt there takes longer than usual, and nothing
// has come from the host since it was sent. On the wire as a number: the order is part of the format.
enum class HostCondition : std::uint8_t { ejected, healthy, unresponsive };
const char* name_of(HostCondition condition);  // as the status file has it: shut, well, quiet

// What one gateway observed of one host.
struct HostObservation {
    std::string host, origin;
    HostCondition condition = HostCondition::ejected;
    std::uint64_t sequence = 0;  // of two by one origin about one host, the higher one is the later
    Time created_at = 0;         // renewed by each repetition
    Time time_to_live = 0;
    Time observed_at = 0;  // when the event was last seen; not renewed by a repetition
};
members::GossipItem item_of(const HostObservation& observation);
// Returns false where the item is no host observation, or cannot be decoded.
bool host_observation_of(const members::GossipItem& item, HostObservation& into);

class HostObservations {
  public:
    // `self`: our name; `last_sequence`: above that of any observation of an earlier process of that name.
    HostObservations(const ObservationOptions& options, std::string self, std::uint64_t last_sequence)
        : options_(options), self_(std::move(self)), last_sequence_(last_sequence) {}

    // This gateway ejected or restored the host by its own evidence.
    void observe(Time now, const std::string& host, HostCondition condition);
    // alive: the host refused the request, which is neither a failure nor silence. inconclusive: cancelled or
    // never sent.
    enum class AttemptResult : std::uint8_t { succeeded, failed, alive, inconclusive };
    // An attempt of ours goes to the host. Returns when the host counts as unresponsive unless it answers;
    // the largest Time: never, as no latency is known yet.
    Time attempt_started(Time now, const std::string& host);
    void attempt_ended(Time now, const std::string& host, AttemptResult result, Time took);
    // Returns whether the observation is new here, and so is to be passed on.
    bool receive(Time now, const HostObservation& observation);
    // An origin has died: its observations expire as usual, its weight is dropped.
    void origin_removed(const std::string& origin) { weights_.erase(origin); }

    // Our own observations to publish, each once: new ones, those that still stand after half of their time
    // to live, and those that contradict peers.
    std::vector<HostObservation> take_outgoing(Time now);

    struct Suspicion {
        // Sum of the weights of origins that observe it failing, later than anybody last observed it healthy,
        // minus those that observe it healthy. Unresponsive counts less, also if it is our own observation.
        double score = 0;
        Time last_failure = 0;  // latest observation among these
        Time expires_at = 0;    // when the last of these expires
        int failing_count = 0;  // origins with a live observation of failure
        int healthy_count = 0;  // origins with a live observation of health
    };
    Suspicion suspicion_of(Time now, const std::string& host) const;
    // Hosts whose suspicion may have changed since the last call, each once.
    std::vector<std::string> take_changed(Time now);
    Time next_timer(Time now) const;  // when an observation expires, is repeated or falls due next

    double weight(Time now, const std::string& origin) const;  // from `min_weight` to 1
    // All live ones, our own included.
    std::vector<HostObservation> live_observations(Time now) const;
    const std::string& self() const { return self_; }

  private:
    struct HostRecord {
        std::map<std::string, HostObservation> by_origin;  // peers' only
        HostObservation own{};                             // time_to_live 0: none
        Time published_at = 0;                             // our own observation
        Time last_success = 0;                             // our own
        int in_flight = 0;                                 // attempts of ours
        Time waiting = 0;  // since when any response is awaited; 0: none is, or its absence is published
        bool changed = false;
        std::map<std::string, std::uint64_t> wrong{};  // by origin: last sequence number that cost it weight
    };
    void adjust_weight(Time now, const std::string& origin, bool right);
    // The host was healthy at `healthy_at`: peers that observed it failing shortly before lose weight.
    void refute_peers(Time now, HostRecord& record, Time healthy_at);
    void attempt_finished(Time now, const std::string& host, HostRecord& record, bool succeeded);
    Time response_timeout() const;
    double contribution(Time now, const HostObservation& observation) const;  // to the score
    Suspicion suspicion_of(Time now, const HostRecord& record) const;
    double unrefuted_fraction(Time now, const std::string& origin) const;
    void report_healthy(Time now, const std::string& host, HostRecord& record);
    bool enough_peers_agree(Time now, const HostRecord& record) const;

    ObservationOptions options_;
    std::string self_;
    std::uint64_t last_sequence_;
    std::map<std::string, HostRecord> records_;  // by host
    // Moving averages over successful attempts at all hosts; 0: none yet.
    double average_latency_ = 0;
    double latency_deviation_ = 0;
    struct Weight {
        double lost = 0;
        Time at = 0;
    };
    std::map<std::string, Weight> weights_;
    std::vector<HostObservation> outgoing_;
};

}  // namespace dewweir::verdicts

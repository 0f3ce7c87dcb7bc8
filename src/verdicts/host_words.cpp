#include "host_words.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

namespace dewweir::verdicts {
namespace {

using nlohmann::json;

const std::string key_prefix = "host/";
constexpr Time max_age = 36000000;  // one hour, far above max_observation_age: bounds what peers can claim
// Weight from which an origin's observation of health overrides earlier failures observed by others.
constexpr double min_refuting_weight = 0.5;

// Whether our own observation is repeated while it stands.
bool is_repeated(const HostObservation& own) {
    return own.time_to_live > 0 && own.condition == HostCondition::ejected;
}
bool is_live(const HostObservation& observation, Time now) {
    return observation.time_to_live > 0 && now < observation.created_at + observation.time_to_live;
}
bool is_failing(const HostObservation& observation) {
    return observation.condition != HostCondition::healthy;
}

}  // namespace

const char* name_of(HostCondition condition) {
    static const char* const names[] = {"shut", "well", "quiet"};
    return names[static_cast<std::size_t>(condition)];
}

members::GossipItem item_of(const HostObservation& observation) {
    std::string bytes;
    json::to_cbor({{"h", observation.host},
                   {"o", observation.origin},
                   {"f", static_cast<unsigned>(observation.condition)},
                   {"a", std::max<Time>(0, observation.created_at - observation.observed_at)}},
                  bytes);
    return {key_prefix + observation.host + "/" + observation.origin, observation.sequence,
            observation.created_at, observation.time_to_live, bytes};
}

bool host_observation_of(const members::GossipItem& item, HostObservation& into) {
    if (item.key.rfind(key_prefix, 0) != 0) return false;
    const json fields = json::from_cbor(item.payload, true, false);
    if (!fields.is_object()) return false;
    const auto text = [&](const char* name) {
        const auto at = fields.find(name);
        return at != fields.end() && at->is_string() ? at->get<std::string>() : std::string();
    };
    into = {text("h"), text("o"), HostCondition::ejected, item.sequence, item.created_at, item.time_to_live};
    const auto condition = fields.find("f");
    if (into.host.empty() || into.origin.empty() || condition == fields.end() ||
        !condition->is_number_unsigned() ||
        condition->get<unsigned>() > static_cast<unsigned>(HostCondition::unresponsive))
        return false;
    into.condition = static_cast<HostCondition>(condition->get<unsigned>());
    const auto age = fields.find("a");
    if (age != fields.end() && !age->is_number_unsigned()) return false;
    into.observed_at =
        into.created_at -
        (age == fields.end()
             ? 0
             : std::min<Time>(max_age, static_cast<Time>(age->get<std::uint64_t>() % (1ULL << 62))));
    return true;
}

void HostObservations::observe(Time now, const std::string& host, HostCondition condition) {
    HostRecord& record = records_[host];
    record.own = {host, self_, condition, ++last_sequence_, now, options_.time_to_live, now};
    record.published_at = now;
    // A failure that enough peers already report is not published.
    if (condition == HostCondition::healthy || !enough_peers_agree(now, record))
        outgoing_.push_back(record.own);
    // Our own observation tells whether peers' observations of the same time are right.
    if (condition == HostCondition::healthy) return refute_peers(now, record, now);
    for (const auto& [origin, observation] : record.by_origin)
        if (is_live(observation, now) && now - observation.observed_at < options_.fresh_for)
            adjust_weight(now, origin, is_failing(observation));
}

// An origin that observed a failure shortly before was wrong, and loses weight once for each observation. An
// earlier failure may have been real, and has ended.
void HostObservations::refute_peers(Time now, HostRecord& record, Time healthy_at) {
    for (const auto& [origin, observation] : record.by_origin) {
        if (!is_failing(observation) || !is_live(observation, now) || observation.observed_at > healthy_at)
            continue;
        record.changed = true;
        // An unresponsive host is no wrong observation: the origin's request may just have been a slow one.
        if (observation.condition == HostCondition::ejected &&
            healthy_at - observation.observed_at < options_.fresh_for &&
            std::exchange(record.wrong[origin], observation.sequence) != observation.sequence)
            adjust_weight(now, origin, false);
    }
}

Time HostObservations::response_timeout() const {
    return std::max<Time>(1,
                          std::llround(options_.silence_multiple * (average_latency_ + latency_deviation_)));
}

Time HostObservations::attempt_started(Time now, const std::string& host) {
    HostRecord& record = records_[host];
    if (++record.in_flight == 1) record.waiting = now;
    return average_latency_ > 0 && record.waiting > 0 ? record.waiting + response_timeout()
                                                      : std::numeric_limits<Time>::max();
}

void HostObservations::attempt_ended(Time now, const std::string& host, AttemptResult result, Time took) {
    HostRecord& record = records_[host];
    record.in_flight = std::max(0, record.in_flight - 1);
    // A response: attempts still in flight wait anew, also where their silence has been published.
    if (result == AttemptResult::succeeded || result == AttemptResult::alive) record.waiting = now;
    if (record.in_flight == 0) record.waiting = 0;
    if (result == AttemptResult::succeeded) {
        const auto time = static_cast<double>(took);
        if (average_latency_ == 0) {
            average_latency_ = time;
            latency_deviation_ = time / 2;
        }
        latency_deviation_ += (std::abs(time - average_latency_) - latency_deviation_) / 64;
        average_latency_ += (time - average_latency_) / 64;
    }
    if (result == AttemptResult::succeeded || result == AttemptResult::failed)
        attempt_finished(now, host, record, result == AttemptResult::succeeded);
}

void HostObservations::attempt_finished(Time now, const std::string& host, HostRecord& record,
                                        bool succeeded) {
    if (succeeded) {
        record.last_success = now;
        // Ends our own observation that it is unresponsive, or contradicts peers.
        if (record.own.condition == HostCondition::unresponsive && is_live(record.own, now))
            observe(now, host, HostCondition::healthy);
        else if (!record.by_origin.empty()) report_healthy(now, host, record);
    } else if (is_repeated(record.own)) {
        record.own.observed_at = now;  // failed again: peers need not try it themselves
        record.published_at = std::min(record.published_at, now - options_.time_to_live / 2);
    }
}

// Publishes that the host is healthy where a peer observed it failing and nobody has observed it healthy
// since.
void HostObservations::report_healthy(Time now, const std::string& host, HostRecord& record) {
    Time failing = 0;
    Time healthy = record.own.condition == HostCondition::healthy && is_live(record.own, now)
                       ? record.own.observed_at
                       : 0;
    for (const auto& [origin, observation] : record.by_origin)
        if (is_live(observation, now) && observation.observed_at <= record.last_success)
            (is_failing(observation) ? failing : healthy) =
                std::max(is_failing(observation) ? failing : healthy, observation.observed_at);
    if (failing > healthy) observe(now, host, HostCondition::healthy);
    else if (failing > 0) refute_peers(now, record, record.last_success);
}

bool HostObservations::receive(Time now, const HostObservation& observation) {
    if (observation.origin == self_ || !is_live(observation, now) ||
        observation.time_to_live > 2 * options_.time_to_live)
        return false;
    HostRecord& record = records_[observation.host];
    const auto [at, unknown] = record.by_origin.try_emplace(observation.origin, observation);
    if (!unknown) {
        if (observation.sequence <= at->second.sequence) return false;
        at->second = observation;
    }
    record.changed = true;
    if (is_failing(observation) && record.last_success > 0 &&
        now - record.last_success < options_.fresh_for && record.last_success > observation.observed_at)
        report_healthy(now, observation.host, record);  // a recent response of our own contradicts it at once
    return true;
}

void HostObservations::adjust_weight(Time now, const std::string& origin, bool right) {
    const double lost = 1 - weight(now, origin);
    weights_[origin] = {
        std::min(1 - options_.min_weight, lost + options_.learning_rate * ((right ? 0 : 1) - lost)), now};
}

double HostObservations::weight(Time now, const std::string& origin) const {
    const auto at = weights_.find(origin);
    if (at == weights_.end()) return 1;
    const double halves =
        static_cast<double>(now - at->second.at) / static_cast<double>(options_.weight_half_life);
    return 1 - std::exp2(-std::max(0.0, halves)) * at->second.lost;
}

HostObservations::Suspicion HostObservations::suspicion_of(Time now, const std::string& host) const {
    const auto at = records_.find(host);
    return at == records_.end() ? Suspicion{} : suspicion_of(now, at->second);
}

HostObservations::Suspicion HostObservations::suspicion_of(Time now, const HostRecord& record) const {
    Suspicion all;
    Time healthy = record.last_success > 0 ? record.last_success : std::numeric_limits<Time>::min();
    for (const auto& [origin, observation] : record.by_origin)
        if (is_live(observation, now) && observation.condition == HostCondition::healthy &&
            weight(now, origin) >= min_refuting_weight)
            healthy = std::max(healthy, observation.observed_at);
    for (const auto& [origin, observation] : record.by_origin) {
        if (!is_live(observation, now)) continue;
        ++(is_failing(observation) ? all.failing_count : all.healthy_count);
        if (is_failing(observation) && observation.observed_at <= healthy)
            continue;  // it has been healthy since
        all.score += contribution(now, observation);
        if (!is_failing(observation)) continue;
        all.last_failure = std::max(all.last_failure, observation.observed_at);
        all.expires_at = std::max(all.expires_at, observation.created_at + observation.time_to_live);
    }
    if (all.score > 0 && record.own.condition == HostCondition::unresponsive && is_live(record.own, now) &&
        record.own.observed_at > healthy)
        all.score += options_.unresponsive_weight;
    return all;
}

double HostObservations::contribution(Time now, const HostObservation& observation) const {
    if (!is_failing(observation)) return -weight(now, observation.origin);
    return weight(now, observation.origin) * unrefuted_fraction(now, observation.origin) *
           (observation.condition == HostCondition::unresponsive ? options_.unresponsive_weight : 1);
}

// The fraction of an origin's live observations of failure that nobody's observation of health refutes
// shortly after. Depends on the observations alone, so that the order of their arrival does not matter.
double HostObservations::unrefuted_fraction(Time now, const std::string& origin) const {
    int all = 1;
    int refuted = 0;
    for (const auto& [host, record] : records_) {
        const auto said = record.by_origin.find(origin);
        if (said == record.by_origin.end() || !is_live(said->second, now) || !is_failing(said->second))
            continue;
        const Time found = said->second.observed_at;
        const auto refutes = [&](const HostObservation& by) {
            return by.condition == HostCondition::healthy && is_live(by, now) && by.observed_at >= found &&
                   by.observed_at - found < options_.fresh_for;
        };
        ++all;
        refuted += refutes(record.own) ||
                   std::any_of(record.by_origin.begin(), record.by_origin.end(), [&](const auto& each) {
                       return refutes(each.second) && weight(now, each.first) >= min_refuting_weight;
                   });
    }
    return 1 - static_cast<double>(refuted) / all;
}

// Whether peers already report the failure, and our own observation is not much later than theirs.
bool HostObservations::enough_peers_agree(Time now, const HostRecord& record) const {
    const Suspicion others = suspicion_of(now, record);
    return others.score >= options_.redundant_score &&
           record.own.observed_at < others.last_failure + options_.fresh_for / 2;
}

std::vector<HostObservation> HostObservations::take_outgoing(Time now) {
    for (auto& [host, record] : records_) {
        if (average_latency_ > 0 && record.waiting > 0 && now - record.waiting >= response_timeout()) {
            // Once for each silent period, and not in addition to an ejection of our own.
            const Time since = std::exchange(record.waiting, 0);
            if (!is_repeated(record.own) || !is_live(record.own, now)) {
                record.own = {
                    host, self_, HostCondition::unresponsive, ++last_sequence_, now, options_.time_to_live,
                    since};
                record.changed = true;
                if (!enough_peers_agree(now, record)) outgoing_.push_back(record.own);
            }
        }
        // An observation that still stands is repeated before it expires.
        if (!is_repeated(record.own) || now - record.published_at < options_.time_to_live / 2) continue;
        record.published_at = now;
        // Skipped only where peers' observations still suffice at our next turn; otherwise all gateways could
        // skip at once, and all observations would expire.
        if (now - record.own.observed_at >= options_.max_observation_age ||
            enough_peers_agree(now + options_.time_to_live / 2, record))
            continue;
        record.own.created_at = now;
        record.own.sequence = ++last_sequence_;
        outgoing_.push_back(record.own);
    }
    return std::exchange(outgoing_, {});
}

std::vector<std::string> HostObservations::take_changed(Time now) {
    std::vector<std::string> all;
    for (auto at = records_.begin(); at != records_.end();) {
        HostRecord& record = at->second;
        if (std::erase_if(record.by_origin, [&](const auto& each) { return !is_live(each.second, now); }))
            record.changed = true;
        if (std::exchange(record.changed, false)) all.push_back(at->first);
        // A record without observations of peers and without a standing one of our own is removed.
        const bool idle =
            record.in_flight == 0 && record.by_origin.empty() && !is_live(record.own, now) &&
            now - record.last_success >= options_.fresh_for &&
            (!is_repeated(record.own) || now - record.own.observed_at >= options_.max_observation_age);
        at = idle ? records_.erase(at) : std::next(at);
    }
    return all;
}

Time HostObservations::next_timer(Time now) const {
    Time at = std::numeric_limits<Time>::max();
    for (const auto& [host, record] : records_) {
        for (const auto& [origin, observation] : record.by_origin)
            at = std::min(at, observation.created_at + observation.time_to_live);
        if (is_repeated(record.own)) at = std::min(at, record.published_at + options_.time_to_live / 2);
        if (average_latency_ > 0 && record.waiting > 0)
            at = std::min(at, record.waiting + response_timeout());
    }
    return std::max(at, now + 1);
}

std::vector<HostObservation> HostObservations::live_observations(Time now) const {
    std::vector<HostObservation> all;
    for (const auto& [host, record] : records_) {
        if (is_live(record.own, now)) all.push_back(record.own);
        for (const auto& [origin, observation] : record.by_origin)
            if (is_live(observation, now)) all.push_back(observation);
    }
    return all;
}

}  // namespace dewweir::verdicts

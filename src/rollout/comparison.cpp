#include "comparison.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace dewweir::rollout {
namespace {

struct Kind {
    const char* name;
    const char* meaning;
    bool of_use;    // allowed in parts of the old one's figure
    bool of_tries;  // a part of tries, of which harm can be ruled out
    bool of_quota;  // it moves with who gets the last units of a customer at its limit
};
constexpr Kind kinds[] = {
    {"lost", "tries not delivered within their goal, as a part of all", false, true, true},
    {"bounced", "tries bounced, as a part of all", false, true, true},
    {"written_off", "tries written off, as a part of all", false, true, false},
    {"slow", "tries delivered slower than 97 in 100 were before, as a part of all", false, true, false},
    {"executions", "executions a try that was sent on", true, false, false},
    {"calls", "calls to the counter a try", true, false, true},
    {"units", "units sent on, as a part of those asked for", true, false, true},
    {"counted", "units left on the counter, as a part of those asked for", true, false, false},
    {"memory", "resident memory, kB", false, false, false},
};
static_assert(std::size(kinds) == measures);

constexpr double least_finished = 5;  // of one gateway in one window, to be counted
constexpr double slow_part = 0.03;    // of deliveries before the change
constexpr std::size_t few_windows = 10;
constexpr int recent =
    3;  // times the least that is seen of a stage: how far back the fleet's whole is judged
constexpr double past_doubt = 2;       // errors of the past's own mean that are allowed for
constexpr double restart_doubt = 2;    // spreads of what gateways differ by in refusals for quota
constexpr double whole_doubt = 4;      // of a forecast, in spreads of a window: days move
constexpr double whole_tolerance = 2;  // times the one between versions

Measure measure_at(std::size_t n) { return static_cast<Measure>(n); }

struct Spread {
    double mean = 0, deviation = 0;
};
Spread spread_of(const std::vector<double>& values) {
    Spread found;
    for (const double one : values) found.mean += one / static_cast<double>(values.size());
    double squares = 0;
    for (const double one : values) squares += (one - found.mean) * (one - found.mean);
    found.deviation = std::sqrt(squares / static_cast<double>(std::max<std::size_t>(1, values.size() - 1)));
    return found;
}

void add(Counts& to, const Counts& more) {
    to.tries += more.tries, to.in_goal += more.in_goal, to.late += more.late, to.bounced += more.bounced;
    to.written_off += more.written_off, to.gone += more.gone, to.sent_on += more.sent_on;
    to.executions += more.executions;
    to.calls += more.calls, to.over_quota += more.over_quota, to.units_asked += more.units_asked,
        to.units_in += more.units_in;
    to.units_counted += more.units_counted, to.memory_kb += more.memory_kb;
    for (const auto& [bucket, n] : more.times) to.times[bucket] += n;
}

}  // namespace

const char* name_of(Measure measure) { return kinds[static_cast<std::size_t>(measure)].name; }
const char* meaning_of(Measure measure) { return kinds[static_cast<std::size_t>(measure)].meaning; }

std::optional<double> Judge::value(const Counts& c, Measure measure) const {
    const double finished = c.finished();
    if (measure == Measure::memory) return c.memory_kb > 0 ? std::optional(c.memory_kb) : std::nullopt;
    if (finished < least_finished) return {};
    switch (measure) {
        case Measure::lost: return 1 - c.in_goal / finished;
        case Measure::bounced: return c.bounced / finished;
        case Measure::written_off: return c.written_off / finished;
        case Measure::slow: {
            double slow = 0;
            for (const auto& [bucket, n] : c.times) slow += bucket >= slow_from_ ? n : 0;
            return slow / finished;
        }
        // Not of all tries: those refused are sent nowhere, and who refuses is chance. Versions before this
        // one do not tell how many they sent on.
        case Measure::executions:
            return c.sent_on >= least_finished ? std::optional(c.executions / c.sent_on) : std::nullopt;
        case Measure::calls: return c.calls / finished;
        case Measure::units:
            return c.units_asked > 0 ? std::optional(c.units_in / c.units_asked) : std::nullopt;
        case Measure::counted:
            return c.units_asked > 0 ? std::optional(c.units_counted / c.units_asked) : std::nullopt;
        default: return {};
    }
}

// The mean of the new ones less that of the old ones, each beside its own past.
std::optional<double> Judge::between(const Window& window, Measure measure) const {
    double sum[2] = {0, 0};
    int n[2] = {0, 0};
    for (const auto& [gateway, sample] : window.by_gateway) {
        const auto seen = value(sample.counts, measure);
        if (!seen || gateway >= fresh_.size()) continue;
        const auto own = own_.find(gateway);
        const auto usual = own == own_.end() ? decltype(own->second.end()){} : own->second.find(measure);
        const bool known = own != own_.end() && usual != own->second.end();
        sum[fresh_[gateway]] += *seen - (known ? usual->second : 0);
        ++n[fresh_[gateway]];
    }
    if (!n[0] || !n[1]) return {};
    return sum[1] / n[1] - sum[0] / n[0];
}

std::optional<double> Judge::whole(const Window& window, Measure measure) const {
    Counts all;
    for (const auto& [gateway, sample] : window.by_gateway) add(all, sample.counts);
    return value(all, measure);
}

double Judge::error() const {
    return terms_.false_stops / static_cast<double>(measures) / std::max(1, terms_.stages);
}

// Which of several gateways gets the last units of a customer at its limit is chance, and it lasts: for
// equal programs one is refused a tenth more than its neighbour for minutes. A restart draws that anew. How
// far apart it can bring two groups is seen in how far the gateways stood apart before.
double Judge::quota_doubt() const {
    std::map<std::size_t, std::pair<double, double>> by_gateway;  // refused for quota, all
    for (const Window& window : past_)
        for (const auto& [gateway, sample] : window.by_gateway) {
            by_gateway[gateway].first += sample.counts.over_quota;
            by_gateway[gateway].second += sample.counts.finished();
        }
    std::vector<double> parts;
    for (const auto& [gateway, sums] : by_gateway)
        if (sums.second >= least_finished) parts.push_back(sums.first / sums.second);
    const auto renewed = static_cast<double>(std::count(fresh_.begin(), fresh_.end(), true));
    // What it was is taken off with its own past, what it is comes on: twice the spread's square, each.
    if (renewed == 0 || parts.size() < 2) return 0;
    // The spread of few gateways is itself little known: widened nearly as Student's t is.
    const double few = 1 + 1 / static_cast<double>(parts.size() - 1);
    return restart_doubt * few * few * std::sqrt(2 / renewed) * spread_of(parts).deviation;
}

Judge::Test Judge::test_of(Measure measure, bool is_whole) const {
    Test test;
    std::vector<double> before;
    for (const Window& window : past_)
        if (const auto seen = is_whole ? whole(window, measure) : between(window, measure))
            before.push_back(*seen);
    if (before.size() < static_cast<std::size_t>(terms_.least_past) / 2 || before.size() < 3) return test;
    const Spread spread = spread_of(before);
    const bool of_use = kinds[static_cast<std::size_t>(measure)].of_use;
    // Of use, the figure that a part is taken of: the fleet's own before.
    double figure = 1;
    if (of_use) {
        std::vector<double> usual;
        for (const Window& window : past_)
            if (const auto seen = whole(window, measure)) usual.push_back(*seen);
        figure = usual.empty() ? 1 : std::max(0.01, spread_of(usual).mean);
    }
    const double tolerance = measure == Measure::memory ? terms_.tolerance_memory
                             : of_use                   ? terms_.tolerance_use * figure
                                                        : terms_.tolerance;
    const double doubt = is_whole
                             ? whole_doubt * spread.deviation
                             : past_doubt * spread.deviation / std::sqrt(static_cast<double>(before.size()));
    test.mean = spread.mean;
    if (!is_whole && kinds[static_cast<std::size_t>(measure)].of_quota) test.restarts = quota_doubt_;
    test.allowed = tolerance * (is_whole ? whole_tolerance : 1) + doubt + test.restarts;
    // Where the past shows next to no spread, one odd window must not weigh as proof. Memory is nearly still.
    test.spread = std::max(spread.deviation, measure == Measure::memory ? tolerance / 4 : tolerance);
    test.evidence.emplace(test.allowed, test.spread);
    return test;
}

void Judge::stage(std::vector<bool> fresh) {
    fresh_ = std::move(fresh);
    seen_ = 0, tries_ = 0;
    tests_.clear(), findings_.clear();
    // What was slow before: of all deliveries, the bucket that three in a hundred reach.
    std::map<int, double> times;
    double all = 0, slow = 0;
    for (const Window& window : past_)
        for (const auto& [gateway, sample] : window.by_gateway)
            for (const auto& [bucket, n] : sample.counts.times) times[bucket] += n, all += n;
    slow_from_ = 0;
    for (auto at = times.rbegin(); at != times.rend(); ++at) {
        if (slow + at->second > slow_part * all) {
            slow_from_ = at->first + 1;
            break;
        }
        slow += at->second;
    }
    own_.clear();
    for (std::size_t n = 0; n < measures; ++n) {
        std::map<std::size_t, std::vector<double>> beside;
        for (const Window& window : past_) {
            const auto fleet = whole(window, measure_at(n));
            for (const auto& [gateway, sample] : window.by_gateway)
                if (const auto seen = value(sample.counts, measure_at(n)); seen && fleet) {
                    const double part = measure_at(n) == Measure::memory
                                            ? *fleet / static_cast<double>(window.by_gateway.size())
                                            : *fleet;
                    beside[gateway].push_back(*seen - part);
                }
        }
        for (const auto& [gateway, values] : beside) own_[gateway][measure_at(n)] = spread_of(values).mean;
    }
    quota_doubt_ = quota_doubt();
    for (const bool is_whole : {false, true})
        for (std::size_t n = 0; n < measures; ++n) {
            // Of the whole, service alone is judged: how much is used moves with the day.
            if (is_whole && measure_at(n) != Measure::lost && measure_at(n) != Measure::written_off) continue;
            Finding finding{measure_at(n), is_whole};
            Test test = test_of(measure_at(n), is_whole);
            finding.allowed = test.allowed, finding.doubt = test.restarts;
            tests_.emplace_back(finding, std::move(test));
        }
}

void Judge::see(const Window& window) {
    ++seen_;
    for (const auto& [gateway, sample] : window.by_gateway)
        if (gateway < fresh_.size() && fresh_[gateway]) tries_ += sample.counts.finished();
    for (auto& [finding, test] : tests_) {
        if (!test.evidence) continue;
        const auto seen = finding.whole ? whole(window, finding.measure) : between(window, finding.measure);
        if (!seen) continue;
        std::vector<double>& all = test.differences;
        all.push_back(*seen - test.mean);
        if (const auto most = static_cast<std::size_t>(recent * terms_.least_seen);
            finding.whole && all.size() > most) {
            // The whole only holds a stage up, and trouble that is over must not hold it up for ever: it is
            // judged by what is new.
            all.erase(all.begin());
            test.evidence.emplace(test.allowed, test.spread);
            for (const double one : all) test.evidence->see(one);
        } else {
            test.evidence->see(all.back());
        }
    }
    judge();
}

void Judge::judge() {
    findings_.clear();
    for (auto& [finding, test] : tests_) {
        if (!test.evidence || test.differences.empty()) continue;
        // The interval costs as much as all windows so far: it need not follow each of them.
        if (seen_ <= few_windows || seen_ % few_windows == 0) {
            const Interval where = interval_of(test.differences, test.spread, error());
            finding.low = where.low, finding.high = where.high;
        }
        finding.difference = spread_of(test.differences).mean;
        finding.strength = test.evidence->strength();
        finding.proven = test.evidence->proven(error());
        findings_.push_back(finding);
    }
}

Judgement Judge::verdict() const {
    bool whole_worse = false, compared = false, ruled_out = true;
    for (const Finding& one : findings_) {
        if (one.proven && !one.whole) return Judgement::worse;
        whole_worse |= one.proven;
        compared |= !one.whole && one.measure == Measure::lost;
    }
    if (whole_worse) return Judgement::whole_worse;
    // Harm must be ruled out wherever a part of the tries is concerned; with none of the old left, beside the
    // forecast.
    for (const Finding& one : findings_)
        if (one.whole != compared && kinds[static_cast<std::size_t>(one.measure)].of_tries)
            // A forecast that is wide because the day moves is no leave to do harm: twice as much again,
            // and no more.
            ruled_out &=
                one.high < terms_.harm + (one.whole ? std::min(one.allowed, 2 * terms_.harm) : one.doubt);
    const bool enough = seen_ >= static_cast<std::size_t>(terms_.least_seen) && tries_ >= terms_.least_tries;
    return enough && ruled_out && !findings_.empty() ? Judgement::passes : Judgement::unknown;
}

std::string Judge::why() const {
    char text[256];
    switch (verdict()) {
        case Judgement::passes:
            return "no harm of over " + std::to_string(static_cast<int>(100 * terms_.harm)) + "% of tries";
        case Judgement::unknown:
            std::snprintf(text, sizeof text, "%zu windows and %.0f tries so far; too little to tell", seen_,
                          tries_);
            return text;
        default: break;
    }
    const bool of_whole = verdict() == Judgement::whole_worse;
    const Finding* worst = nullptr;
    for (const Finding& one : findings_)
        if (one.proven && one.whole == of_whole && (!worst || one.strength > worst->strength)) worst = &one;
    char range[64] = "too early for an interval";
    if (worst->interval_says_something())
        std::snprintf(range, sizeof range, "from %.4g to %.4g", worst->low, worst->high);
    std::snprintf(text, sizeof text, "%s: %s by %.4g (%s), %.4g allowed: %s",
                  of_whole ? "the fleet is worse than its forecast" : "the new ones are worse than the old",
                  name_of(worst->measure), worst->difference, range, worst->allowed,
                  meaning_of(worst->measure));
    return text;
}

}  // namespace dewweir::rollout

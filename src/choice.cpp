// All decisions of the gateway: quotas, the line, which host, health, further executions, the five rules.
// Callers own one Choice a gateway, tell it what happens in the order it happens, and do what it calls on the
// Gateway handed to it; the interface is in include/dewweir/choice.h, the reasons are in docs/design.md.
#include "dewweir/choice.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <iterator>
#include <random>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dewweir {
namespace {

Time whole(double time) { return std::llround(time); }

constexpr std::uint32_t nobody = 0xffffffff;

enum class Stage { counting, waiting, out, over };
enum class Asked { add, previous, back };
enum Alarm : std::uint64_t { beat, limit, count_late, follow, place_free };
// How submissions were decided, and what became of executions: the words of the log's line that counts them.
// The last ones are verdicts, in their order.
constexpr const char* decisions[] = {
    "counted in",  "counted over", "share in",      "share over",   "over already", "long line",
    "late",        "to warm",      "to cold",       "trial pieces", "delivered",    "errors",
    "turned away", "timed out",    "not connected", "broken off",   "called off",   "not sent"};
enum Decision { counted_in, counted_over, share_in, share_over, over_already, long_line, late_in_line };
enum Execution { to_warm = late_in_line + 1, to_cold, trial_piece, first_verdict };

struct Track {
    Time goal, remembered;
    std::string repeats, scope;
};

struct Plan {
    double rate, burst, extra_benefit, overrun_cost, ceiling_rate = 0, ceiling_burst = 0, parallel = 0;
    Time window = 0;
};

struct Host {
    std::uint32_t id;
    bool listed = false, trial = false;
    Time up_since = 0, full_until = 0, shut_until = 0, shut_for = 0, last_word = 0, budget_at = 0,
         listed_at = 0, connected = 0;
    int zone = 0, cell = 0, out = 0, failures = 0, list_round = 0, full_for = -1;
    double places = 0, slowness = 0, budget = 1, adopted = 1;
};

// What the counter is told to hold of one window; what is known to be ours; what it was found to have lost.
struct Tally {
    double total = 0, own = 0, lost = 0;
};

struct Customer {
    std::uint64_t id = 0;
    int plan = 0, gateways = 1, open = 0;
    std::int64_t window = -1;
    Tally current{}, before{};
    double owed = 0;  // let in while the counter was away, to be added with the next call
    bool previous_known = false;
    std::vector<std::uint32_t> readers{};
    double level = 0, share = 0, ceiling = 0;  // the store replayed; our part of it; of the ceiling
    Time level_at = 0, share_at = 0, ceiling_at = 0, over_until = 0;
};

struct Submission {
    int track;
    std::uint64_t customer;
    double units;
    Time goal_at, limit_at;
    Stage stage = Stage::counting;
    int executions = 0, zone = -1, cell = -1;
    std::uint32_t host = nobody, last_host = nobody;
    std::int64_t window = -1;
    double reading = 0;
    bool call_out = false, on_counter = false, on_share = false;
    bool may_have_run = false, stream = false, given_up = false;
    Time sent = 0, first_ran = 0;
};

struct Call {
    Asked asked;
    std::uint32_t submission;
    std::uint64_t customer;
    std::int64_t window;
    double amount;
};

}  // namespace

struct Choice::State {
    Gateway& gateway;
    const Terms terms;
    std::mt19937 chance;
    Time now, started, step, count_limit, fall, warm_after, longest_advice, ask_within, beat_every, beat_at;
    Time kept, connection_kept, forgot_at = 0;
    int gateways, most_executions, zone;
    double cold_from, fall_multiple, failing = 0, mute = 0;  // parts of executions: failing, without end
    bool may_cancel, has_counter, asks, follows, list_whole = false;
    int list_round = 0, list_failures = 0;
    std::vector<Track> tracks;
    std::vector<Plan> plans;
    std::map<std::uint32_t, Host> hosts;                    // by id
    std::unordered_map<std::uint64_t, Customer> customers;  // by id, never walked but to forget
    std::map<std::uint32_t, Submission> submissions;
    std::deque<std::uint32_t> line;
    std::map<std::uint64_t, std::deque<Call>> calls;
    int count_failures = 0;  // in a row; three open the breaker, whose probing call may be out
    bool probing = false;
    Time open_until = 0, told_at = 0;
    std::array<int, std::size(decisions)> decided{};  // since the log was told
    // The part of the submissions that call. Of all hosts: the usual time of an execution, what it is with
    // little out, how far it swings; deliveries a warm host and tenth; places here; what may be out in all.
    double counted_part = 1, count_took, typical, ease, swing = 0, flow = 0, places_all = 0, reach = 1;
    int out_all = 0, delivered_lately = 0, hosts_listed = 0, hosts_open = 0;

    // ---- what is read at start ----

    const std::string* term(const std::string& name) const {
        const auto found = terms.find(name);
        return found == terms.end() ? nullptr : &found->second;
    }
    double number(const std::string& name) const {
        const std::string* text = term(name);
        char* end = nullptr;
        const double value = text ? std::strtod(text->c_str(), &end) : 0;
        if (!text || text->empty() || *end || !std::isfinite(value))
            throw std::invalid_argument((text ? "term unreadable: " : "term missing: ") + name);
        return value;
    }
    double number(const std::string& name, double usual) const { return term(name) ? number(name) : usual; }
    Time time(const std::string& name) const { return whole(number(name) * 10); }
    bool holds(const std::string& name) const { return term(name) && *term(name) == "true"; }

    State(Gateway& g, const Terms& t, std::uint64_t seed, Time at)
        : gateway(g), terms(t), chance(static_cast<std::uint32_t>(seed)), now(at), started(at) {
        step = std::max<Time>(1, time("step"));
        gateways = std::max(1, static_cast<int>(number("gateways")));
        zone = static_cast<int>(number("zone", 0));
        most_executions = static_cast<int>(number("limits.executions", 1));
        may_cancel = holds("limits.cancel");
        longest_advice = holds("limits.advice") ? time("limits.longest_advice") : 0;
        has_counter = holds("service.counter");
        count_limit = has_counter ? time("service.count_limit") : 0;
        fall = time("rules.fall");
        fall_multiple = number("rules.fall_multiple");
        cold_from = number("rules.cold_from");
        warm_after = std::max<Time>(1, time("rules.warm_after"));
        kept = 4 * warm_after;
        connection_kept = term("limits.idle_close") ? time("limits.idle_close") * 3 / 4 : 0;
        for (int n = 0; n < number("tracks.count"); ++n) {
            const std::string at_ = "tracks." + std::to_string(n) + ".";
            const std::string repeats = term(at_ + "repeats") ? *term(at_ + "repeats") : "";
            if (repeats != "retriable" && repeats != "fingerprinted" && repeats != "binding")
                throw std::invalid_argument("term missing or unreadable: " + at_ + "repeats");
            const std::string scope = term(at_ + "scope") ? *term(at_ + "scope") : "all";
            tracks.push_back({time(at_ + "latency_goal"), time(at_ + "remembered"), repeats, scope});
        }
        for (int n = 0; n < number("plans.count", 0); ++n) {
            const std::string at_ = "plans." + std::to_string(n) + ".";
            const auto of = [&](const char* what) { return number(at_ + what, 0); };
            Plan p{of("rate") / 10000,         of("burst"),         of("extra_benefit"), of("overrun_cost"),
                   of("ceiling_rate") / 10000, of("ceiling_burst"), of("parallel")};
            p.window = p.rate > 0 ? std::max<Time>(step, whole(p.burst / p.rate)) : 0;
            const Time refill = p.ceiling_rate > 0 ? whole(p.ceiling_burst / p.ceiling_rate) : 0;
            kept = std::max({kept, 4 * p.window, refill});
            plans.push_back(p);
        }
        if (tracks.empty()) throw std::invalid_argument("term unreadable: tracks.count");
        const Time goal = tracks[0].goal;
        beat_every = std::max(step, goal / 50);
        beat_at = now;
        typical = ease = static_cast<double>(goal) / 6;
        count_took = static_cast<double>(count_limit) / 10;
        arm(beat_every, beat);
        ask_within = term("rules.ask_within") ? time("rules.ask_within") : 10 * goal;
        asks = follows = term("discovery") && *term("discovery") == "ask";
    }

    State& at(Time moment) { return now = moment, *this; }
    double since(Time moment) const { return static_cast<double>(now - moment); }
    void arm(Time from_now, Alarm alarm, std::uint64_t id = 0) { gateway.arm(from_now, id << 3 | alarm); }
    // Where alarms can be taken back, one that has lost its use wakes nobody; it does nothing elsewhere.
    void disarm(Alarm alarm, std::uint64_t id) { gateway.disarm(id << 3 | alarm); }
    // The submission with this id, unless it has had its final answer.
    Submission* open_one(std::uint32_t id) {
        const auto found = submissions.find(id);
        return found == submissions.end() || found->second.stage == Stage::over ? nullptr : &found->second;
    }
    Time jittered(Time about) {
        return about / 2 + std::uniform_int_distribution<Time>(0, std::max<Time>(1, about))(chance);
    }

    // Guards against asking for the list all at once: gateways start, or lose their watch, in the same
    // moment. Calls are served in turn, and one come to too late has cost its turn, so that none may be
    // answered. The more of us, and the more failures, the longer the stretch over which chance spreads the
    // next ones; with no host known there is nothing to wait with. Not asking is held against us after
    // ask_within, and only after four times that once a call has failed; where news comes by itself, it is so
    // at once.
    void follow_later() {
        const auto within = static_cast<double>(ask_within);
        const double together = within / 2 * gateways / (gateways + 16);
        const double first = !asks ? within / 128 : hosts.empty() ? within / 64 : together;
        const double most = asks ? 2 * within : within / 8;
        const double stretch = std::min(most, std::ldexp(first, std::min(list_failures, 6)));
        arm(whole(stretch * std::uniform_real_distribution<>()(chance)), follow);
    }

    // ---- quotas ----

    void call(Asked asked, std::uint32_t submission, const Customer& c, std::int64_t window, double amount) {
        const std::uint64_t name = (c.id << 30) | (window & 0x3fffffff);
        calls[name].push_back({asked, submission, c.id, window, amount});
        gateway.count(name, amount, std::min<Time>(2 * plans[c.plan].window, 600000));
    }

    // Brings a customer's record up to this moment: a new window begins, the stores fill.
    void bring_up(Customer& c) {
        const Plan& p = plans[c.plan];
        if (p.rate <= 0) return;
        const std::int64_t window = now / p.window;
        if (window != c.window) {
            const bool next = window == c.window + 1;
            c.before = next ? c.current : Tally{};
            if (!next) c.level = p.burst, c.owed = 0;
            c.previous_known = false;
            c.current = {c.owed};  // what the counter was not told of yet goes on the new name
            c.window = window;
        }
        c.level = std::min(p.burst, c.level + p.rate * since(c.level_at));
        c.share = std::min(whole_share(c), c.share + p.rate / c.gateways * since(c.share_at));
        c.level_at = c.share_at = now;
    }

    // Our part of the burst, or one unit where that is more.
    double whole_share(const Customer& c) const { return std::max(plans[c.plan].burst / c.gateways, 1.0); }
    bool tiny_share(const Customer& c) const { return plans[c.plan].burst < c.gateways; }

    // Where a plan gains by what lies beyond its quota, and hosts have room, nothing hangs on the quota.
    bool at_stake(const Customer& c) const {
        return plans[c.plan].extra_benefit <= plans[c.plan].overrun_cost || 2 * out_all >= room();
    }

    void count_failed() {
        counted_part = std::max(1.0 / 32, counted_part * 0.85);
        if (++count_failures < 3) return;
        if (count_failures == 3)
            gateway.log(Notice::breaker_open, 0, "counter silent or failing: breaker open, shares decide");
        open_until = now + jittered(4 * count_limit);
        probing = false;
    }
    void count_answered(Time took) {
        if (count_failures >= 3) gateway.log(Notice::breaker_closed, 0, "counter answers: breaker closed");
        counted_part = std::min(1.0, counted_part * 1.02);
        count_failures = 0;
        probing = false;
        count_took += (static_cast<double>(took) - count_took) / 32;
    }

    void check_quota(std::uint32_t id, Submission& s) {
        Customer& c = customers.at(s.customer);
        const Plan& p = plans[c.plan];
        bring_up(c);
        if (p.parallel > 0 && c.open >= std::max(1.0, std::floor(p.parallel / c.gateways)))
            return turn_down(id, s, 0);
        if (p.rate <= 0) return take_in(id, s);
        // Guards the counter against customers far over: one found over is not asked for again before a
        // window, longer at a crowded counter, or before its store has refilled; a tiny share decides then.
        if (now < c.over_until && tiny_share(c)) return decide_by_share(id, s);
        if (now < c.over_until && c.level < 0.9 * s.units)
            return ++decided[over_already], beyond(id, s, s.units);
        // Guards a crowded counter: shares decide a part, and a customer's next call adds for them too. Calls
        // go first to those whose share does not hold their units: the counter may know of room elsewhere.
        const bool in_doubt = at_stake(c) && c.share < s.units;
        const double calling = at_stake(c) ? counted_part : std::max(0.0, 2 * counted_part - 1);
        if (count_failures >= 3 && (now < open_until || probing)) return decide_by_share(id, s);
        if (!has_counter || std::uniform_real_distribution<>()(chance) > calling * (in_doubt ? 8 : 1))
            return decide_by_share(id, s);
        if (count_failures >= 3) probing = true;
        s.window = c.window;
        s.call_out = true;
        call(Asked::add, id, c, c.window, s.units + c.owed);
        c.owed = 0;
        arm(std::min(count_limit, std::max(whole(8 * count_took), count_limit / 2)), count_late, id);
    }

    double window_passed(const Plan& p) const { return static_cast<double>(now % p.window) / p.window; }

    // The design's check: what was counted in this window and the part of the one before that still overlaps.
    void decide_by_count(std::uint32_t id, Submission& s) {
        disarm(count_late, id);
        Customer& c = customers.at(s.customer);
        const Plan& p = plans[c.plan];
        bring_up(c);
        const double estimate = c.before.total * (1 - window_passed(p)) + s.reading;
        // Departure: over by the window, but the quota's store, replayed from the totals, holds the units.
        if (estimate <= p.burst || c.level >= 0) {
            c.over_until = 0;
            return ++decided[counted_in], take_in(id, s);
        }
        ++decided[counted_over];
        // At a crowded counter, what is not given back pays for what the tiny shares let in.
        give_back(s, !tiny_share(c) || counted_part >= 0.5);
        c.over_until = now + whole(static_cast<double>(p.window) / counted_part);
        beyond(id, s, 0);  // its own units leave the store only with the next answer
    }

    void decide_by_share(std::uint32_t id, Submission& s) {
        disarm(count_late, id);
        Customer& c = customers.at(s.customer);
        bring_up(c);
        // A share smaller than the submission lets it in by chance, so that all shares together let in the
        // quota: neither nothing nor one piece at each gateway.
        const bool pass = c.share >= s.units * std::uniform_real_distribution<>()(chance) ||
                          (tiny_share(c) && !at_stake(c));
        c.share = std::max(0.0, c.share - s.units);
        ++decided[pass ? share_in : share_over];
        if (!pass) return beyond(id, s, s.units);
        c.level -= s.units;
        c.current.total += s.units;
        s.on_share = true;
        if (s.window < 0) c.owed += s.units;  // else a call is out that may have added them
        take_in(id, s);
    }

    void give_back(Submission& s, bool tell = true) {
        Customer& c = customers.at(s.customer);
        // On the counter, the answer puts the totals right.
        if (tell && s.on_counter && s.window + 1 >= c.window) call(Asked::back, 0, c, s.window, -s.units);
        if (s.on_share) {
            c.share += s.units;
            c.level += s.units;
            c.current.total -= s.units;
            if (s.window < 0) c.owed -= s.units;
        }
        s.on_counter = s.on_share = false;
    }

    // Beyond the quota: worth sending only where the plan earns by it, and with room to spare at a host.
    void beyond(std::uint32_t id, Submission& s, double lacking) {
        Customer& c = customers.at(s.customer);
        const Plan& p = plans[c.plan];
        if (p.extra_benefit > p.overrun_cost && line.empty()) {
            if (Host* const host = pick_host(s, 0.5)) return ++c.open, execute(id, s, *host);
        }
        // Advice past the goal would bring clients back late, to take units that fresh submissions need: the
        // latest moment that can still be in time is told instead.
        const Time refilled = whole(std::max(0.0, lacking - c.level) / p.rate);
        turn_down(id, s, std::min(refilled, std::max<Time>(0, s.goal_at - needed(s) - now)));
    }

    void counted(std::uint64_t name, Verdict verdict, double told, Time took) {
        const auto found = calls.find(name);
        if (found == calls.end()) return;
        const Call made = found->second.front();
        found->second.pop_front();
        if (found->second.empty()) calls.erase(found);
        const auto known = customers.find(made.customer);
        if (known == customers.end()) return;
        Customer& c = known->second;
        bring_up(c);
        const auto waiting = submissions.find(made.submission);
        const bool awaited = waiting != submissions.end() && waiting->second.stage == Stage::counting;
        if (verdict == Verdict::ok) count_answered(took), total_told(c, made, told);
        else if (probing || (verdict != Verdict::broken && (awaited || made.asked == Asked::previous)))
            count_failed();  // an answer that cannot be read is no sign of a slow counter
        if (made.asked == Asked::previous) return previous_told(c, made, verdict);
        if (made.asked == Asked::back || waiting == submissions.end()) return;
        Submission& s = waiting->second;
        s.call_out = false;
        if (verdict == Verdict::ok) {
            s.on_counter = true, s.on_share = false;
            s.reading = c.current.total;
            if (s.stage == Stage::over) give_back(s);
        } else if (verdict != Verdict::timeout && verdict != Verdict::broken && made.window == c.window) {
            c.owed += made.amount - (s.on_share ? 0 : s.units);
            s.window = -1;
        }
        if (s.stage == Stage::over && s.executions == 0) submissions.erase(waiting);
        if (!awaited) return;
        if (verdict != Verdict::ok) return decide_by_share(made.submission, s);
        // The window before is read once, where it can matter and no crowded counter is needed for more.
        const Plan& p = plans[c.plan];
        if (!c.previous_known && s.reading > p.burst * window_passed(p) &&
            s.reading + c.before.total > p.burst / 2 && (counted_part >= 0.5 || tiny_share(c))) {
            if (c.readers.empty()) call(Asked::previous, made.submission, c, c.window - 1, 0);
            c.readers.push_back(made.submission);
            return;
        }
        decide_by_count(made.submission, s);
    }

    void total_told(Customer& c, const Call& made, double told) {
        if (made.window + 1 < c.window) return;
        Tally& tally = made.window == c.window ? c.current : c.before;
        double total = told + tally.lost;
        // Guards against a counter that forgets or comes back empty: the customer has no fresh window by it.
        tally.own += made.amount;
        if (total < tally.own - 0.01) {
            const double should = std::max(tally.total + made.amount, tally.own);
            tally.lost += should - std::exchange(total, should);
        }
        c.level -= total - tally.total;
        tally.total = total;
        // Going over to the part and back must mint no quota: it follows what the store was told to hold.
        c.share = std::max(0.0, whole_share(c) * c.level / plans[c.plan].burst);
    }

    void previous_told(Customer& c, const Call& made, Verdict verdict) {
        c.previous_known |= verdict == Verdict::ok && made.window + 1 == c.window;
        for (const std::uint32_t id : std::exchange(c.readers, {}))
            if (Submission* const s = open_one(id); s && s->stage == Stage::counting) decide_by_count(id, *s);
    }

    // ---- the line and the hosts ----

    // With so many gateways that each has under half a place at a host, one host's answers come too rarely to
    // learn its places from: what may be out in all is learnt from all answers.
    bool few_places() const { return gateways > 8; }
    double ample() const { return 1 + places_all + 2 * std::sqrt(places_all); }
    double room() const { return few_places() ? reach : ample(); }
    double wait_in_line() const { return static_cast<double>(line.size()) * typical / room(); }

    Time needed(const Submission& s) const {
        return std::min(whole(typical + swing), tracks[s.track].goal / 2);
    }

    void take_in(std::uint32_t id, Submission& s) {
        ++customers.at(s.customer).open;
        s.stage = Stage::waiting;
        line.push_back(id);
        place();
    }

    void place() {
        for (std::size_t n = 0; n < line.size();) {
            const std::uint32_t id = line[n];
            Submission& s = submissions.at(id);
            Host* const host = pick_host(s, 1);
            if (!host && !s.may_have_run) break;  // no room for any; one bound to a group may lack its own
            if (!host) ++n;
            else line.erase(line.begin() + static_cast<std::ptrdiff_t>(n)), execute(id, s, *host);
        }
    }

    double warmth(const Host& h) const {
        const double age = std::max(0.0, since(h.up_since)) / static_cast<double>(warm_after);
        return h.up_since <= 0 || age >= 1 ? 1 : cold_from + (1 - cold_from) * age;
    }

    // A cold host's budget runs over any window and for all gateways together: this one sends no faster than
    // the part, by age, of what it has a warm host do, from a chance level: parts are far under one piece.
    // Of many gateways some send for all.
    bool budget_left(Host& h, double warm) {
        if (warm >= 1) return true;
        const double rate =
            std::max(warm * flow * fall_multiple / 2, fall_multiple / (fall * gateways)) * h.adopted;
        h.budget = std::min(1.0, h.budget + rate * since(h.budget_at));
        h.budget_at = now;
        return h.budget >= 1;
    }

    Host* pick_host(const Submission& s, double part) {
        Host* best = nullptr;
        double least = 0;
        if (out_all + 1 > room() * part) return best;
        const Track& track = tracks[s.track];
        const bool grouped = s.may_have_run && track.repeats == "fingerprinted";
        for (auto& [host, h] : hosts) {
            if (!h.listed || now < h.shut_until || (h.trial && h.out > 0)) continue;
            if (grouped && track.scope == "zone" && h.zone != s.zone) continue;
            if (grouped && track.scope == "cell" && h.cell != s.cell) continue;
            const double warm = warmth(h);
            if (h.out + 1 > std::max(1.0, h.places * warm * part) || !budget_left(h, warm)) continue;
            double score = std::max(h.slowness, typical / 4) * (h.out + 1) / (few_places() ? 1 : warm);
            // With few places each piece would go to another host, over a new connection, and none would be
            // met often enough to be known: all those without a connection standing open weigh as much as one
            // with. Cold hosts have their budget, and are needed most when many have been replaced.
            if (few_places() && connection_kept > 0 && now >= h.connected && warm >= 1)
                score = (h.last_word ? std::max(h.slowness, ease) : ease) * std::max(1, hosts_open);
            if (h.zone != zone) score *= 1.1;
            // Guards against hosts that turn away what one plan sends, though others still get in.
            const bool full = now < h.full_until && h.full_for == customers.at(s.customer).plan;
            if (host == s.last_host || full) score *= 8;
            // While many fail, a host that has answered here is worth more than one not met yet.
            if (h.last_word == 0) score *= 1 + 8 * failing;
            // With few places, pieces out here tell no load, and all would find the same host best.
            if (few_places()) score *= std::exponential_distribution<>()(chance);
            if (!best || score < least) best = &h, least = score;
        }
        return best;
    }

    void execute(std::uint32_t id, Submission& s, Host& h) {
        Customer& c = customers.at(s.customer);
        const Plan& p = plans[c.plan];
        // A ceiling must hold whatever the counter says and although gateways restart with nothing: each
        // keeps its own part, which is empty at its start.
        if (s.executions == 0 && p.ceiling_rate > 0) {
            const double filled = c.ceiling + p.ceiling_rate / c.gateways * since(c.ceiling_at);
            c.ceiling = std::min(p.ceiling_burst / c.gateways, filled);
            c.ceiling_at = now;
            if (c.ceiling < s.units) return turn_down(id, s, 0);
            c.ceiling -= s.units;
        }
        ++decided[h.trial ? trial_piece : warmth(h) < 1 ? to_cold : to_warm];
        s.stage = Stage::out;
        s.host = h.id;
        s.sent = now;
        ++s.executions;
        ++h.out;
        ++out_all;
        h.budget -= 1;
        gateway.execute(id, h.id, std::max<Time>(step, s.limit_at - now));
    }

    // ---- ends ----

    void close(std::uint32_t id, Submission& s) {
        disarm(limit, id);
        if (s.stage == Stage::waiting) {
            --customers.at(s.customer).open;
            std::erase(line, id);
        }
        // An execution that is out, or a call that may yet add, needs the record until its end is told, and
        // no longer: records left behind would be walked by every beat.
        if (s.stage != Stage::out && !(s.stage == Stage::counting && s.call_out)) submissions.erase(id);
        else s.stage = Stage::over;
    }

    void turn_down(std::uint32_t id, Submission& s, Time advice) {
        const Track& track = tracks[s.track];
        if (s.executions == 0) give_back(s);
        if (!s.may_have_run || track.repeats == "retriable" ||
            (track.repeats == "fingerprinted" && track.scope == "all"))
            gateway.bounce(id, std::min(advice, longest_advice));
        else gateway.write_off(id);
        close(id, s);
    }

    bool may_run_again(const Submission& s) const {
        if (s.executions >= most_executions) return false;
        const Track& track = tracks[s.track];
        if (!s.may_have_run || track.repeats == "retriable") return true;
        return track.repeats == "fingerprinted" && now + 4 * step < s.first_ran + track.remembered;
    }

    Time between_pieces() const {
        return std::clamp(whole(1 / std::max(flow, 1e-9)), tracks[0].goal, 16 * tracks[0].goal);
    }

    void host_failed(Host& h, Verdict verdict) {
        ++h.failures;
        failing += (1 - failing) / 16;
        h.slowness += (static_cast<double>(tracks[0].goal) - h.slowness) / 4;
        // With few places the next piece there may be a minute off: one failure is a row.
        if (h.failures < (few_places() ? 1 : verdict == Verdict::connect_failed ? 2 : 3) && !h.trial) return;
        if (2 * hosts_open < hosts_listed + 2 && !h.trial) return;  // when all fail at once none is to blame
        if (!h.trial)
            --hosts_open, gateway.log(Notice::host_shut, h.id,
                                      "host " + std::to_string(h.id) + " shut: failures in a row");
        h.shut_for = std::clamp(2 * h.shut_for, between_pieces(), 8 * between_pieces());
        h.shut_until = now + jittered(h.shut_for);
        h.trial = true;
    }

    void cut_places(Host& h, double to) { h.places = std::max(2.0 / gateways, h.places * to); }

    // Of a host's smoothed time; half as much again, of the mean of all answers.
    double aim() const { return std::clamp(1.5 * ease, 0.15 * tracks[0].goal, 0.35 * tracks[0].goal); }

    void host_delivered(Host& h, Time took) {
        if (h.trial) gateway.log(Notice::host_back, h.id, "host " + std::to_string(h.id) + " back");
        h.trial = false;
        failing -= failing / 16, mute -= mute / 64;
        h.shut_for = h.failures = 0;
        h.last_word = now;
        h.slowness += (static_cast<double>(took) - h.slowness) / (few_places() ? 3 : 8);
        swing += (std::abs(static_cast<double>(took) - typical) - swing) / 64;
        typical += (static_cast<double>(took) - typical) / 64;
        if (warmth(h) >= 1) ++delivered_lately;
        // Hosts held at a little over their easy time keep their pace; long queues at a host can cost it.
        ease += (typical - ease) / (typical < ease ? 16 : 16384);
        const double most = aim();
        // The mean of the answers steers the reach, not how many are slow: pieces differ, and a tenth may
        // take thrice the mean at hosts at ease. What all gateways may have out without harm it gets back
        // unused.
        if (const double over = std::min(took / (1.5 * most), 4.0) - 1;
            over > 0 || reach < ample() || out_all + 2 > reach)
            reach = std::max(1.0, reach * (1 - over / 16));
        if (h.slowness < 0.75 * most && h.out + 2 > h.places)
            h.places += std::min(h.places, 1 / (h.places * gateways));
        if (h.slowness > most) cut_places(h, 1 - std::min(0.5, 1 - most / h.slowness) / (h.out + 1));
    }

    void call_off(std::uint32_t id, const Submission& s) {
        if (s.stage == Stage::out && may_cancel && !s.stream) gateway.cancel(id, s.executions - 1);
    }
    void free_place(Host& h) { --h.out, --out_all; }

    void execution_ended(std::uint32_t id, Host& h, Verdict verdict, Time took, bool settled, double billed) {
        // Work that is called off may run on unseen: its place is not free before a usual time has passed.
        if (verdict == Verdict::called_off) arm(whole(h.slowness), place_free, h.id);
        else free_place(h);
        ++decided[first_verdict + static_cast<int>(verdict)];
        const auto found = submissions.find(id);
        const bool moot = verdict == Verdict::not_sent;
        const bool ran = verdict != Verdict::full && verdict != Verdict::connect_failed && !moot;
        const bool answered = verdict == Verdict::ok || verdict == Verdict::full || verdict == Verdict::error;
        h.connected = answered ? now + connection_kept : 0;
        if (verdict == Verdict::ok) host_delivered(h, took);
        else if (verdict == Verdict::full) {
            // Guards against hammering: what is turned away at once would come again at once.
            reach = std::max(1.0, reach * 0.9);
            cut_places(h, 0.5);
            h.last_word = now, h.full_until = now + jittered(between_pieces());
            if (found != submissions.end()) h.full_for = customers.at(found->second.customer).plan;
        } else if (verdict != Verdict::called_off && !moot) host_failed(h, verdict);
        // Guards against answers that never count since their clients left first: an overloaded host would be
        // known by its quick ones alone. It took that long at least.
        else if (!moot && few_places() && took > std::max(h.slowness, 2 * aim()))
            h.slowness += (static_cast<double>(took) - h.slowness) / 3;
        // Of no execution that is out?
        if (found == submissions.end() || found->second.stage == Stage::waiting) return place();
        Submission& s = found->second;
        // Units settled afterwards: the difference goes to the same name.
        if (verdict == Verdict::ok && billed > 0 && s.on_counter && billed != s.units)
            call(Asked::back, 0, customers.at(s.customer), s.window, billed - s.units);
        const bool over = s.stage != Stage::out || settled;
        s.stage = Stage::waiting;
        if (over) return close(id, s), place();
        if (ran && !s.may_have_run) {
            s.may_have_run = true;
            s.first_ran = s.sent;
            s.zone = h.zone;
            s.cell = h.cell;
        }
        s.last_host = h.id;
        if (now + 2 * step >= s.limit_at) gateway.write_off(id), close(id, s);
        else if (!may_run_again(s)) turn_down(id, s, whole(typical));
        else line.push_front(id);
        place();
    }

    // ---- time ----

    void on_beat() {
        if (std::exchange(follows, false)) follow_later();  // what was held from before has been told by now
        const double passed = static_cast<double>(std::max<Time>(1, now - beat_at));
        int warm = 0;
        places_all = hosts_listed = hosts_open = 0;
        for (auto& [id, h] : hosts) {
            hosts_listed += h.listed;
            if (h.listed) h.listed_at = now;
            if (!h.listed || h.trial) continue;
            ++hosts_open;
            places_all += h.places;
            warm += warmth(h) >= 1;
        }
        if (warm > 0) flow += (delivered_lately / passed / warm - flow) * std::min(1.0, passed / fall);
        delivered_lately = 0;
        beat_at = now;
        std::vector<std::uint32_t> late;
        for (auto& [id, s] : submissions) {
            if (s.stage == Stage::waiting && now + needed(s) > s.goal_at) late.push_back(id);
            // Guards against hosts that take work and answer nothing: no word since this piece went there
            // (with few places none is due). A long piece is as long elsewhere, so only its first is called
            // off; while pieces are lost for good on connections gone silent, so is one on a host that
            // speaks.
            if (s.stage == Stage::out && !few_places() && !s.stream && !s.given_up && s.executions == 1 &&
                most_executions > 1 && may_cancel && tracks[s.track].repeats == "retriable" &&
                (hosts.at(s.host).last_word < s.sent || mute > 1.0 / 256) &&
                now - s.sent > std::max(tracks[s.track].goal * 2 / 5, whole(typical + 4 * swing))) {
                s.given_up = true;
                call_off(id, s);
                if (hosts.at(s.host).last_word < s.sent) host_failed(hosts.at(s.host), Verdict::timeout);
            }
        }
        decided[late_in_line] += static_cast<int>(late.size());
        for (const std::uint32_t id : late) turn_down(id, submissions.at(id), whole(typical));
        place();
        if (since(told_at) > 5 * tracks[0].goal) tell_decided();
        if (since(forgot_at) > kept) forget_idle();
        arm(beat_every, beat);
    }

    void tell_decided() {
        std::string line;
        for (std::size_t n = 0; n < decided.size(); ++n)
            if (decided[n])
                line.append(line.empty() ? "" : ", ").append(decisions[n]) +=
                    ' ' + std::to_string(decided[n]);
        if (!line.empty()) gateway.log(Notice::decided, 0, "decided: " + line);
        decided = {};
        told_at = now;
    }

    // Guards against records without end: a customer seen so long ago is no other than a new one, its stores
    // are full and its windows over; a host not listed for so long is another one if it comes back.
    void forget_idle() {
        std::erase_if(customers, [&](auto& e) { return !e.second.open && since(e.second.level_at) > kept; });
        std::erase_if(hosts, [&](auto& e) { return !e.second.out && since(e.second.listed_at) > kept; });
        forgot_at = now;
    }

    // Its time is up, or its client has gone, who is owed no answer.
    void end_early(std::uint32_t id, bool gone) {
        Submission* const s = open_one(id);
        if (!s || (s->stream && !gone)) return;
        call_off(id, *s);
        if (!gone && s->stage == Stage::out) mute += (1 - mute) / 64;  // no answer in all its time
        if (!gone && s->executions == 0) return turn_down(id, *s, 0);
        if (!gone) gateway.write_off(id);
        if (s->executions == 0) give_back(*s);
        close(id, *s);
    }

    void on_count_late(std::uint32_t id) {
        Submission* const s = open_one(id);
        if (!s || s->stage != Stage::counting) return;
        if (s->on_counter) return decide_by_count(id, *s);  // just the window before is not told
        count_failed();
        decide_by_share(id, *s);
    }
};

// ---- what can happen ----

Choice::Choice(Gateway& gateway, const Terms& terms, std::uint64_t seed, Time now)
    : state_(std::make_unique<State>(gateway, terms, seed, now)) {}
Choice::~Choice() = default;

void Choice::list_begins(Time now, bool whole) {
    state_->at(now).list_whole = whole;
    ++state_->list_round;
}

void Choice::host_listed(Time now, std::uint32_t id, Standing standing, Time up_since, int zone, int cell) {
    State& s = *state_;
    const auto [at, fresh] = s.hosts.try_emplace(id, Host{id});
    Host& h = at->second;
    if (fresh) {
        h.slowness = s.typical;
        s.places_all += h.places = 4.0 / s.gateways;
        s.reach = s.ample();
    }
    h.list_round = s.list_round;
    if (up_since > h.up_since) {  // started again: nothing learnt of its last life counts
        h.up_since = up_since;
        h.failures = 0;
        h.connected = 0;
        h.budget_at = now;
        h.budget = std::uniform_real_distribution<>()(s.chance);
        // Some gateways by chance stand for all, so that each sends it enough to know it and keep a
        // connection. Four swings of what they send together, each about as uneven as it is much, stay within
        // the half of the fall multiple that the budget leaves: 4 * sqrt(2 / 32) = 1.
        const double part = std::min(1.0, 32.0 / s.gateways);
        h.adopted = std::uniform_real_distribution<>()(s.chance) < part ? 1 / part : 0;
    }
    h.listed = standing == Standing::ready;
    h.zone = zone;
    h.cell = cell;
}

void Choice::list_ends(Time now) {
    State& s = state_->at(now);
    for (auto& [id, h] : s.hosts) h.listed &= !s.list_whole || h.list_round == s.list_round;
    s.list_failures = 0;
    s.place();
}

void Choice::list_failed(Time now) {
    State& s = state_->at(now);
    s.follow_later();
    ++s.list_failures;
}

void Choice::submitted(Time now, std::uint32_t id, int track, int plan, std::uint64_t customer, double units,
                       int customer_gateways, Time patience_left) {
    State& s = state_->at(now);
    const auto [at, fresh] =
        s.customers.try_emplace(customer, Customer{customer, plan, std::max(1, customer_gateways)});
    if (fresh) {
        Customer& c = at->second;
        c.level = s.plans.at(plan).burst;
        c.share = 2 * s.out_all < s.room() ? s.whole_share(c) : c.level / c.gateways;
        c.level_at = now;
        c.share_at = c.ceiling_at = s.started;
    }
    const Time goal_at = now + std::min(s.tracks.at(track).goal, patience_left);
    Submission& sub = s.submissions[id] = {track, customer, units, goal_at, now + patience_left};
    s.arm(std::max<Time>(1, patience_left - 2 * s.step), limit, id);
    // Overload: what cannot be answered in useful time is bounced before it is counted. A try may be its
    // client's third, which is not told, so the line is kept well under the goal.
    if (!s.line.empty() && s.wait_in_line() > static_cast<double>(sub.goal_at - now) / 8)
        return ++s.decided[long_line], s.turn_down(id, sub, whole(s.wait_in_line() / 2));
    s.check_quota(id, sub);
}

void Choice::execution_ended(Time now, std::uint32_t id, int, std::uint32_t host, Verdict verdict, Time took,
                             bool settled, double billed) {
    State& s = state_->at(now);
    const auto known = s.hosts.find(host);
    if (known != s.hosts.end()) s.execution_ended(id, known->second, verdict, took, settled, billed);
}

void Choice::stream_started(Time now, std::uint32_t id, int) {
    if (Submission* const s = state_->at(now).open_one(id)) s->stream = true;
}

void Choice::client_gone(Time now, std::uint32_t id) { state_->at(now).end_early(id, true); }

void Choice::counted(Time now, std::uint64_t name, Verdict verdict, double total, Time took) {
    state_->at(now).counted(name, verdict, total, took);
}

void Choice::timer(Time now, std::uint64_t token) {
    State& s = state_->at(now);
    const auto id = static_cast<std::uint32_t>(token >> 3);
    switch (token & 7) {
        case beat: return s.on_beat();
        case limit: return s.end_early(id, false);
        case follow: return s.gateway.follow_list();
        case place_free: return s.free_place(s.hosts.at(id)), s.place();
        case count_late: return s.on_count_late(id);
    }
}

}  // namespace dewweir

#include "load.h"

#include <algorithm>
#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "errors/errors.h"

namespace dewweir::rig {
namespace {

constexpr double least_ms = 0.1, most_ms = 100000;
constexpr Time a_second = 10000;
// A final answer past the client's limit is worth nothing; one later than this, or none, is lost. The
// operators' own measure: half a second, so that a machine that is held up for a moment is no broken rule.
constexpr Time lost_after = a_second / 2;

// So many buckets that the ends of each lie within twice the error of one another.
unsigned buckets() {
    return static_cast<unsigned>(
        std::ceil(std::log(most_ms / least_ms) / std::log1p(2 * Latencies::relative_error)));
}

double seconds_of(std::string_view text) {
    double seconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), seconds);
    return seconds;
}

std::string hex(std::uint64_t number) {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(number));
    return text;
}

}  // namespace

Latencies::Latencies() : histogram_(std::make_tuple(Axis(buckets(), least_ms, most_ms))) {}

void Latencies::add(Time latency) {
    histogram_(std::max(least_ms, static_cast<double>(latency) / 10));
    ++count_;
}

double Latencies::quantile(double part) const {
    if (count_ == 0) return 0;
    const double wanted = part * static_cast<double>(count_);
    double passed = 0;
    for (auto&& bucket : boost::histogram::indexed(histogram_, boost::histogram::coverage::all)) {
        passed += static_cast<double>(*bucket);
        if (passed < wanted || *bucket == 0) continue;
        const double low = std::max(least_ms, bucket.bin(0).lower()), high = bucket.bin(0).upper();
        return std::isfinite(high) ? std::sqrt(low * high) : most_ms;
    }
    return most_ms;
}

Load::Load(Loop& loop, const LoadPlan& plan, Referee* referee, std::function<void()> done)
    : loop_(loop),
      plan_(plan),
      referee_(referee),
      done_(std::move(done)),
      chance_(static_cast<std::uint32_t>(plan.seed ^ plan.seed >> 32)),
      idle_(plan.gateways.size()),
      at_(plan.gateways.size()) {
    const auto must = [](bool holds, const std::string& what) {
        if (!holds) throw errors::BadCall("load", what);
    };
    must(!plan.gateways.empty(), "no gateway is named");
    must(!plan.plans.empty(), "no plan is named");
    must(plan.length > 0, "its length must be over 0");
    must(plan.limit > 0 && plan.goal > 0 && plan.goal <= plan.limit, "the goal must lie within the limit");
    must(plan.set >= 0 && plan.set <= static_cast<int>(plan.gateways.size()),
         "the set is larger than the fleet");
    if (plan_.set == 0) plan_.set = static_cast<int>(plan.gateways.size());
    for (std::uint32_t n = 0; n < plan.plans.size(); ++n) {
        const PlanLoad& one = plan.plans[n];
        must(one.customers > 0 && one.rate >= 0, "plan " + one.name + ": customers or rate out of range");
        results_.emplace_back().name = one.name;
        if (one.rate == 0) continue;
        boost::random::exponential_distribution<> gap(one.rate * one.customers / a_second);
        boost::random::uniform_int_distribution<std::uint32_t> any(
            0, static_cast<std::uint32_t>(one.customers) - 1);
        for (double at = gap(chance_); at < static_cast<double>(plan.length); at += gap(chance_))
            arrivals_.push_back({static_cast<Time>(at), n, any(chance_)});
    }
    std::stable_sort(arrivals_.begin(), arrivals_.end(),
                     [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
}

Load::~Load() {
    loop_.deadlines.cancel(next_send_);
    ways_.each([&](std::uint32_t, Way& way) {
        loop_.deadlines.cancel(way.limit);
        loop_.connections.close(way.connection);
    });
}

void Load::start() {
    started_ = loop_.deadlines.now();
    send_due();
}

void Load::stop() {
    stopped_ = true;
    loop_.deadlines.cancel(next_send_);
    next_ = arrivals_.size();
    tell_if_done();
}

void Load::tell_if_done() {
    if (next_ == arrivals_.size() && open_ == 0 && !std::exchange(told_, true)) done_();
}

void Load::send_due() {
    const Time now = loop_.deadlines.now();
    while (next_ < arrivals_.size() && started_ + arrivals_[next_].at <= now) begin(arrivals_[next_++]);
    if (next_ < arrivals_.size())
        next_send_ = loop_.deadlines.after(started_ + arrivals_[next_].at - now, [this] { send_due(); });
    else tell_if_done();
}

Load::Second& Load::second() {
    const auto n = static_cast<std::size_t>((loop_.deadlines.now() - started_) / a_second);
    if (seconds_.size() <= n) seconds_.resize(n + 1);
    return seconds_[n];
}

void Load::begin(const Arrival& arrival) {
    const Time intended = started_ + arrival.at, lag = loop_.deadlines.now() - intended;
    ++sent_;
    behind_ += lag > plan_.most_lag;
    worst_lag_ = std::max(worst_lag_, lag);
    ++results_[arrival.plan].asked;
    ++second().asked;
    const std::uint64_t customer = (std::uint64_t{arrival.plan} + 1) << 24 | arrival.customer;
    const net::Handle id = submissions_.add(Submission{arrival.plan, customer, intended});
    if (!id) {  // more are open than the table holds: told, never dropped in silence
        ++results_[arrival.plan].unconnected;
        return;
    }
    ++open_;
    try_once(id);
}

void Load::try_once(net::Handle id) {
    Submission& s = *submissions_.find(id);
    ++s.tries;
    ++result(s).tries;
    s.id = hex(plan_.seed << 32 | ++ids_);
    const auto first = static_cast<std::size_t>(s.customer % plan_.gateways.size());
    boost::random::uniform_int_distribution<std::size_t> any(
        0, plan_.gathered ? 0 : static_cast<std::size_t>(plan_.set) - 1);
    s.gateway = (first + any(chance_)) % plan_.gateways.size();
    s.sent = loop_.deadlines.now();
    ++at_[s.gateway].tries;
    auto& idle = idle_[s.gateway];
    if (!idle.empty()) {
        const std::uint32_t mark = idle.back();
        idle.pop_back();
        return give(mark, *ways_.find(mark), id);
    }
    const std::uint32_t mark = ways_.add(s.gateway);
    Way* const way = ways_.find(mark);
    if (way)
        way->connection = loop_.connections.open(plan_.gateways[s.gateway], *this, mark,
                                                 std::min<Time>(plan_.limit, a_second));
    if (!way || !way->connection) {
        if (way) ways_.remove(mark);
        return again_or(id, 0, &PlanResult::unconnected);
    }
    give(mark, *way, id);
}

void Load::give(std::uint32_t mark, Way& way, net::Handle id) {
    const Submission& s = *submissions_.find(id);
    way.submission = id;
    // The client's limit runs from when it meant to send the first try.
    const Time left = std::max<Time>(1, s.intended + plan_.limit - loop_.deadlines.now());
    std::string text = request(s, left);
    if (way.up) loop_.connections.send(way.connection, {text});
    else way.waiting = std::move(text);
    way.limit = loop_.deadlines.after(left + lost_after, [this, mark] {
        Way* const late = ways_.find(mark);
        if (!late || !late->submission) return;
        const net::Handle lost = std::exchange(late->submission, 0);
        give_back(mark);
        this->lost(lost);
    });
}

std::string Load::request(const Submission& s, Time left) const {
    const auto count = plan_.gateways.size();
    char head[512];
    std::snprintf(
        head, sizeof head,
        "%s /api HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Contract: %s\r\n"
        "X-Client-Id: %s\r\nX-Deadline: %.4f\r\nX-Metering: units=1,spread=%d,first=%zu\r\n%s",
        plan_.binding ? "POST" : "GET", s.id.c_str(), plan_.track.c_str(), plan_.plans[s.plan].name.c_str(),
        hex(s.customer).c_str(), static_cast<double>(left) / a_second, plan_.set,
        static_cast<std::size_t>(s.customer % count), plan_.keep_alive ? "" : "Connection: close\r\n");
    std::string text = head;
    if (plan_.binding) text += "Content-Length: " + std::to_string(plan_.body) + "\r\n";
    text += "\r\n";
    if (plan_.binding) text.append(plan_.body, 'x');
    return text;
}

void Load::opened(net::Handle, std::uint32_t mark, bool up) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (up) {
        way->up = true;
        loop_.connections.send(way->connection, {std::exchange(way->waiting, {})});
        return;
    }
    way->connection = 0;
    const net::Handle id = std::exchange(way->submission, 0);
    give_back(mark);
    if (!id) return;
    ++at_[submissions_.find(id)->gateway].unconnected;
    again_or(id, 0, &PlanResult::unconnected);
}

void Load::received(net::Handle connection, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (!way->submission) {  // an answer to nothing
        if (referee_)
            referee_->answered_twice(loop_.deadlines.now(),
                                     "a submission to gateway " + std::to_string(way->gateway));
        return give_back(mark);
    }
    const auto state = way->reader.read(loop_.connections.in(connection));
    if (state == net::HttpReader::State::more) return;
    if (state == net::HttpReader::State::complete) return answered(mark, *way);
    const net::Handle id = std::exchange(way->submission, 0);
    give_back(mark);
    again_or(id, 0, &PlanResult::written_off);
}

void Load::answered(std::uint32_t mark, Way& way) {
    const net::Handle id = std::exchange(way.submission, 0);
    Submission& s = *submissions_.find(id);
    const unsigned status = way.reader.status();
    const std::string_view field = way.reader.field("Retry-After");
    const bool advised = !field.empty();
    const Time advice = std::llround(seconds_of(field) * a_second);
    const bool stays = plan_.keep_alive && way.reader.keep_alive();
    way.reader.next();
    way.used = true;
    loop_.deadlines.cancel(way.limit);
    if (stays) idle_[way.gateway].push_back(mark);
    else give_back(mark);
    const Time took = loop_.deadlines.now() - s.intended;
    result(s).after_limit += took > plan_.limit;
    if (status == 200) {
        ++result(s).delivered;
        result(s).in_goal += took <= plan_.goal;
        ++at_[s.gateway].delivered;
        at_[s.gateway].in_goal += took <= plan_.goal;
        second().in_goal += took <= plan_.goal;
        result(s).latencies.add(took);
        return over(id);
    }
    if (status == 429 || status == 503) {
        ++second().bounced;
        ++at_[s.gateway].bounced;
        return again_or(id, advice, advised ? &PlanResult::bounced_advised : &PlanResult::bounced_plain);
    }
    if (status >= 500) {
        ++at_[s.gateway].written_off;
        if (!plan_.binding) return again_or(id, 0, &PlanResult::written_off);
        ++result(s).written_off;
        return over(id);
    }
    ++result(s).refused;
    over(id);
}

// The client tries once more if it may and there is time; else this is how it ended.
void Load::again_or(net::Handle id, Time advice, std::uint64_t PlanResult::*otherwise) {
    Submission& s = *submissions_.find(id);
    Time wait = plan_.wait / 2 +
                boost::random::uniform_int_distribution<Time>(0, std::max<Time>(1, plan_.wait))(chance_);
    if (plan_.heeds_advice) wait = std::max(wait, advice);
    if (stopped_ || s.tries > plan_.retries || loop_.deadlines.now() + wait >= s.intended + plan_.limit) {
        ++(result(s).*otherwise);
        return over(id);
    }
    loop_.deadlines.after(wait, [this, id] {
        if (submissions_.find(id)) try_once(id);
    });
}

void Load::over(net::Handle id) {
    submissions_.remove(id);
    --open_;
    tell_if_done();
}

// A gateway may close between two messages; one that crosses a message which nobody has read is sent once
// more.
void Load::ended(net::Handle, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    const net::Handle id = std::exchange(way->submission, 0);
    const bool crossed = way->used && !way->reader.begun();
    give_back(mark);
    if (!id) return;
    Submission& s = *submissions_.find(id);
    if (crossed && !std::exchange(s.resent, true)) {
        --s.tries, --result(s).tries, --at_[s.gateway].tries;
        return try_once(id);
    }
    lost(id);
}

// No final answer: a broken rule, unless the script kept its gateway from answering.
void Load::lost(net::Handle id) {
    Submission& s = *submissions_.find(id);
    const Time now = loop_.deadlines.now();
    const bool excused = plan_.excused && plan_.excused(s.gateway, s.sent, now);
    ++result(s).unanswered;
    ++at_[s.gateway].unanswered;
    at_[s.gateway].excused += excused;
    if (referee_ && !excused) referee_->unanswered(now, s.id);
    over(id);
}

void Load::give_back(std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    std::erase(idle_[way->gateway], mark);
    loop_.deadlines.cancel(way->limit);
    if (way->connection) loop_.connections.close(way->connection);
    ways_.remove(mark);
}

nlohmann::json Load::report() const {
    nlohmann::json plans = nlohmann::json::array();
    for (const PlanResult& one : results_)
        plans.push_back({{"plan", one.name},
                         {"asked", one.asked},
                         {"tries", one.tries},
                         {"delivered", one.delivered},
                         {"delivered_within_goal", one.in_goal},
                         {"bounced_with_advice", one.bounced_advised},
                         {"bounced_without_advice", one.bounced_plain},
                         {"written_off", one.written_off},
                         {"unanswered", one.unanswered},
                         {"answered_after_limit", one.after_limit},
                         {"refused_4xx", one.refused},
                         {"unconnected", one.unconnected},
                         {"late", one.delivered - one.in_goal},
                         {"p50_ms", one.latencies.quantile(0.5)},
                         {"p99_ms", one.latencies.quantile(0.99)},
                         {"p999_ms", one.latencies.quantile(0.999)}});
    nlohmann::json gateways = nlohmann::json::array();
    for (const AtGateway& one : at_)
        gateways.push_back({{"tries", one.tries},
                            {"delivered", one.delivered},
                            {"delivered_within_goal", one.in_goal},
                            {"bounced", one.bounced},
                            {"written_off", one.written_off},
                            {"unanswered", one.unanswered},
                            {"of_these_excused", one.excused},
                            {"unconnected", one.unconnected}});
    nlohmann::json each = nlohmann::json::array();
    for (const Second& one : seconds_) each.push_back({one.asked, one.in_goal, one.bounced});
    return {{"valid", valid()},
            {"sent", sent_},
            {"sent_behind_schedule", behind_},
            {"worst_lag_ms", static_cast<double>(worst_lag_) / 10},
            {"latency_relative_error", Latencies::relative_error},
            {"seed", plan_.seed},
            {"plans", plans},
            {"gateways", gateways},
            {"seconds", {{"columns", {"asked", "delivered_within_goal", "bounced"}}, {"rows", each}}}};
}

}  // namespace dewweir::rig

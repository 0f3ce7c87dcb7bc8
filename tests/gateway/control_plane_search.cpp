// A gateway's search among control planes that are in sync, stale, unresponsive or refusing, in virtual time.
#include "gateway/control_plane_search.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

using runtime::Time;

constexpr Time ms = runtime::tenths_per_millisecond;
constexpr Time turn = 10 * ms;
constexpr Time answer_after = 260 * ms;  // two round trips between distant regions
constexpr Time round_trip = answer_after / 2;
constexpr Time normal_staleness = 300 * ms;

enum class Kind : std::uint8_t {
    in_sync,
    stale,         // sends heartbeats that state a growing staleness
    unresponsive,  // accepts connections and sends nothing
    refusing,      // refuses connections
    backlogged,    // in sync; what it sends to a gateway that has adopted it waits for ever longer
};

// Control planes and one gateway.
class Fleet {
  public:
    explicit Fleet(const distribution::SearchIntervals& intervals, std::vector<Kind> kinds,
                   std::size_t start = 0)
        : search_(intervals, start), kinds_(std::move(kinds)) {
        for (std::size_t n = 0; n < kinds_.size(); ++n) addresses_.push_back("cp" + std::to_string(n));
    }

    void run_for(Time span) {
        for (const Time end = now_ + span; now_ < end; now_ += turn) step();
    }
    void set(std::size_t n, Kind kind) {
        kinds_[n] = kind;
        changed_at_[n] = now_;
    }
    // The gateway has every change that was acknowledged up to this time.
    Time has_all_until() const { return has_all_until_; }
    Time now() const { return now_; }
    std::optional<std::size_t> current() const {
        if (!search_.current()) return std::nullopt;
        return sessions_.at(search_.current()).control_plane;
    }
    void suspect() { search_.set_suspected(true); }
    bool suspected() const { return search_.suspected(); }
    std::size_t opened() const { return last_session_; }
    std::size_t candidates() const { return search_.candidates(); }

  private:
    struct Open {
        std::size_t control_plane = 0;
        Time next_heartbeat = 0;
    };

    void step() {
        for (auto& [id, session] : sessions_) {
            if (now_ < session.next_heartbeat) continue;
            session.next_heartbeat = now_ + distribution::heartbeat_interval;
            const Kind kind = kinds_[session.control_plane];
            if (kind == Kind::unresponsive) continue;
            if (kind == Kind::backlogged && id == search_.current()) {
                // Answers that come after twice the time answer stamps from half of it ago.
                const Time asked_at =
                    changed_at_[session.control_plane] + (now_ - changed_at_[session.control_plane]) / 2;
                search_.report_staleness(id, normal_staleness, asked_at);
                continue;
            }
            search_.report_staleness(id, staleness(session.control_plane), now_ - round_trip);
        }
        const ControlPlaneSearch::Actions actions = search_.review(now_, addresses_);
        for (const SearchSession id : actions.close) sessions_.erase(id);
        if (actions.open) open(*actions.open);
        const auto at = current();
        if (at && kinds_[*at] == Kind::in_sync) has_all_until_ = now_;
    }

    Time staleness(std::size_t control_plane) {
        const bool stale = kinds_[control_plane] == Kind::stale;
        return normal_staleness + (stale ? now_ - changed_at_[control_plane] : 0);
    }

    void open(const std::string& address) {
        const auto n = static_cast<std::size_t>(std::find(addresses_.begin(), addresses_.end(), address) -
                                                addresses_.begin());
        const SearchSession id = static_cast<SearchSession>(++last_session_);
        search_.add_session(id, address, now_);
        if (kinds_[n] == Kind::refusing) return search_.remove_session(id, now_);
        sessions_[id] = {n, now_ + answer_after};
    }

    ControlPlaneSearch search_;
    std::vector<Kind> kinds_;
    std::vector<std::string> addresses_;
    std::map<std::size_t, Time> changed_at_;
    std::map<SearchSession, Open> sessions_;
    std::size_t last_session_ = 0;
    Time now_ = 1'000'000;
    Time has_all_until_ = 0;
};

distribution::SearchIntervals intervals() {
    return distribution::search_intervals(std::chrono::milliseconds(2500), 2);
}

// How long the gateway misses changes after its control plane becomes `becomes` while `others` further
// control planes are of `other_kind`.
Time time_without_changes(const distribution::SearchIntervals& intervals, Kind becomes, Kind other_kind,
                          std::size_t others, std::size_t start) {
    const std::size_t count = 5;
    Fleet fleet(intervals, std::vector<Kind>(count, Kind::in_sync), start);
    fleet.run_for(3'000 * ms);
    const std::size_t first = *fleet.current();
    for (std::size_t n = 1; n <= others; ++n) fleet.set((first + n) % count, other_kind);
    fleet.set(first, becomes);
    const Time since = fleet.now();
    while (fleet.has_all_until() <= since && fleet.now() - since < 20'000 * ms) fleet.run_for(turn);
    return fleet.now() - since;
}

}  // namespace

TEST_CASE("a control plane that becomes stale or unresponsive is replaced within the bound") {
    for (const Kind becomes : {Kind::stale, Kind::unresponsive}) {
        for (const Kind others : {Kind::stale, Kind::unresponsive, Kind::refusing}) {
            for (std::size_t start = 0; start < 5; ++start) {
                CAPTURE(static_cast<int>(becomes), static_cast<int>(others), start);
                CHECK(time_without_changes(intervals(), becomes, others, 1, start) <= 2'500 * ms);
            }
        }
    }
}

TEST_CASE("waiting for each candidate's time-out before trying the next one would break the bound") {
    distribution::SearchIntervals one_by_one = intervals();
    one_by_one.attempt_interval = distribution::unresponsive_timeout;
    one_by_one.attempt_timeout = distribution::unresponsive_timeout;
    CHECK(time_without_changes(one_by_one, Kind::unresponsive, Kind::unresponsive, 1, 0) > 2'500 * ms);
}

TEST_CASE("a gateway keeps its control plane while all are in sync") {
    Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_sync));
    fleet.run_for(60'000 * ms);
    CHECK(fleet.candidates() == 0);
    CHECK(fleet.opened() <= 2);
}

TEST_CASE("a suspected control plane is replaced by one that answers, and kept while none does") {
    for (const Kind others : {Kind::in_sync, Kind::unresponsive}) {
        Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_sync));
        fleet.run_for(2'000 * ms);
        const std::size_t first = *fleet.current();
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != first) fleet.set(n, others);
        }
        fleet.suspect();
        fleet.run_for(1'200 * ms);
        CHECK((fleet.current() == first) == (others == Kind::unresponsive));
        CHECK(fleet.suspected() == (others == Kind::unresponsive));
    }
}

TEST_CASE("while none is in sync a gateway keeps its control plane, and adopts the first one in sync again") {
    Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_sync));
    fleet.run_for(2'000 * ms);
    const std::size_t first = *fleet.current();
    for (std::size_t n = 0; n < 3; ++n) fleet.set(n, Kind::stale);
    fleet.run_for(20'000 * ms);
    CHECK(fleet.current() == first);
    const std::size_t other = (first + 1) % 3;
    fleet.set(other, Kind::in_sync);
    fleet.run_for(1'000 * ms);
    CHECK(fleet.current() == other);
    CHECK(fleet.candidates() == 0);
}

TEST_CASE("a control plane whose proofs arrive later and later is replaced by one that answers at once") {
    Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_sync));
    fleet.run_for(2'000 * ms);
    const std::size_t first = *fleet.current();
    fleet.set(first, Kind::backlogged);
    fleet.run_for(4'000 * ms);
    CHECK(fleet.current() != first);
}

TEST_CASE("a session whose view takes long to transfer is given more time after each failure") {
    const distribution::SearchIntervals limits = intervals();
    ControlPlaneSearch search(limits, 0);
    const std::vector<std::string> addresses{"cp0", "cp1"};
    SearchSession last = 0;
    std::size_t adopted = 0;
    Time now = 1'000'000;
    // Each control plane answers a probe at once, and nothing while it transfers its view.
    for (const Time end = now + 20'000 * ms; now < end; now += turn) {
        const ControlPlaneSearch::Actions actions = search.review(now, addresses);
        adopted += actions.adopt != 0;
        if (!actions.open) continue;
        search.add_session(++last, *actions.open, now);
        search.report_staleness(last, normal_staleness, now);
    }
    CHECK(adopted >= 3);
    CHECK(adopted <= 5);
}

TEST_CASE("a message without an echo proves no more than what held when its session was opened") {
    const distribution::SearchIntervals limits = intervals();
    ControlPlaneSearch search(limits, 0);
    const Time opened = 1'000'000;
    const Time late = opened + 2 * limits.max_staleness;
    search.add_session(1, "cp0", opened);
    search.report_staleness(1, normal_staleness, opened);
    REQUIRE(search.review(opened, {"cp0", "cp1"}).adopt == 1);
    search.report_staleness(1, normal_staleness, opened + ms);
    search.add_session(2, "cp1", opened + ms);
    search.report_staleness(2, normal_staleness, std::nullopt);
    CHECK(search.review(late, {"cp0", "cp1"}).adopt == 0);
    CHECK(search.should_probe_again(2, late));
    CHECK_FALSE(search.should_probe_again(2, late + turn));
    search.report_staleness(2, normal_staleness, late);
    CHECK(search.review(late + turn, {"cp0", "cp1"}).adopt == 2);
}

TEST_CASE(
    "a round trip longer than the usual time of an attempt does not keep a gateway without control plane") {
    const distribution::SearchIntervals limits = intervals();
    const Time slow_round_trip = limits.max_staleness + 300 * ms;
    REQUIRE(slow_round_trip > limits.attempt_timeout);
    ControlPlaneSearch search(limits, 0);
    const std::vector<std::string> addresses{"cp0", "cp1", "cp2"};
    std::map<SearchSession, Time> open;
    SearchSession last = 0;
    Time now = 1'000'000;
    const Time end = now + 10'000 * ms;
    for (; now < end && !search.current(); now += turn) {
        for (const auto& [id, opened] : open) {
            // Established after one round trip, answered after another.
            if (now - opened == 2 * slow_round_trip)
                search.report_staleness(id, normal_staleness, opened + slow_round_trip);
        }
        const ControlPlaneSearch::Actions actions = search.review(now, addresses);
        for (const SearchSession id : actions.close) open.erase(id);
        if (!actions.open) continue;
        open[++last] = now;
        search.add_session(last, *actions.open, now);
    }
    CHECK(search.current() != 0);
}

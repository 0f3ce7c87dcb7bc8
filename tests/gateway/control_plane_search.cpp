// A gateway's search among control planes that are in step, old, silent or refuse, in virtual time.
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
constexpr Time usual_staleness = 300 * ms;

enum class Kind : std::uint8_t {
    in_step,
    stopped_following,  // talks, and tells an age that grows
    silent,             // takes connections and says nothing
    refuses,
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
    // Up to when the gateway has everything that was acknowledged.
    Time has_all_until() const { return has_all_until_; }
    Time now() const { return now_; }
    std::optional<std::size_t> current() const {
        if (!search_.current()) return std::nullopt;
        return sessions_.at(search_.current()).control_plane;
    }
    void doubt() { search_.set_doubt(true); }
    bool in_doubt() const { return search_.in_doubt(); }
    std::size_t opened() const { return last_session_; }
    std::size_t attempts() const { return search_.attempts(); }

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
            if (kind == Kind::silent) continue;
            search_.told(id, staleness(session.control_plane), now_);
        }
        const ControlPlaneSearch::Step done = search_.review(now_, addresses_);
        for (const SearchSession id : done.close) sessions_.erase(id);
        if (done.open) open(*done.open);
        const auto at = current();
        if (at && kinds_[*at] == Kind::in_step) has_all_until_ = now_;
    }

    Time staleness(std::size_t control_plane) {
        const bool old = kinds_[control_plane] == Kind::stopped_following;
        return usual_staleness + (old ? now_ - changed_at_[control_plane] : 0);
    }

    void open(const std::string& address) {
        const auto n = static_cast<std::size_t>(std::find(addresses_.begin(), addresses_.end(), address) -
                                                addresses_.begin());
        const SearchSession id = static_cast<SearchSession>(++last_session_);
        search_.opened(id, address, now_);
        if (kinds_[n] == Kind::refuses) return search_.closed(id);
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

// The longest time for which the gateway lacks changes after its control plane goes bad while `others` are
// bad too.
Time longest_lack(const distribution::SearchIntervals& intervals, Kind becomes, Kind other_kind,
                  std::size_t others, std::size_t start) {
    const std::size_t count = 5;
    Fleet fleet(intervals, std::vector<Kind>(count, Kind::in_step), start);
    fleet.run_for(3'000 * ms);
    const std::size_t first = *fleet.current();
    for (std::size_t n = 1; n <= others; ++n) fleet.set((first + n) % count, other_kind);
    fleet.set(first, becomes);
    const Time since = fleet.now();
    while (fleet.has_all_until() <= since && fleet.now() - since < 20'000 * ms) fleet.run_for(turn);
    return fleet.now() - since;
}

}  // namespace

TEST_CASE("a control plane that falls behind or falls silent is left within the rule's bound") {
    for (const Kind becomes : {Kind::stopped_following, Kind::silent}) {
        for (const Kind others : {Kind::stopped_following, Kind::silent, Kind::refuses}) {
            for (std::size_t start = 0; start < 5; ++start) {
                CAPTURE(static_cast<int>(becomes), static_cast<int>(others), start);
                CHECK(longest_lack(intervals(), becomes, others, 1, start) <= 2'500 * ms);
            }
        }
    }
}

TEST_CASE("one attempt at a time, each waited for to its end, would break the bound") {
    distribution::SearchIntervals one_by_one = intervals();
    one_by_one.attempt_interval = distribution::unresponsive_timeout;
    one_by_one.attempt_timeout = distribution::unresponsive_timeout;
    CHECK(longest_lack(one_by_one, Kind::silent, Kind::silent, 1, 0) > 2'500 * ms);
}

TEST_CASE("while all are in step a gateway stays where it is") {
    Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_step));
    fleet.run_for(60'000 * ms);
    CHECK(fleet.attempts() == 0);
    CHECK(fleet.opened() <= 2);
}

TEST_CASE("one that is in doubt is left for another that answers, and kept where none does") {
    for (const Kind others : {Kind::in_step, Kind::silent}) {
        Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_step));
        fleet.run_for(2'000 * ms);
        const std::size_t first = *fleet.current();
        for (std::size_t n = 0; n < 3; ++n) {
            if (n != first) fleet.set(n, others);
        }
        fleet.doubt();
        fleet.run_for(1'200 * ms);
        CHECK((fleet.current() == first) == (others == Kind::silent));
        CHECK(fleet.in_doubt() == (others == Kind::silent));
    }
}

TEST_CASE("while none is in step a gateway stays with the one it has, and takes the first that is again") {
    Fleet fleet(intervals(), std::vector<Kind>(3, Kind::in_step));
    fleet.run_for(2'000 * ms);
    const std::size_t first = *fleet.current();
    for (std::size_t n = 0; n < 3; ++n) fleet.set(n, Kind::stopped_following);
    fleet.run_for(20'000 * ms);
    CHECK(fleet.current() == first);
    const std::size_t other = (first + 1) % 3;
    fleet.set(other, Kind::in_step);
    fleet.run_for(1'000 * ms);
    CHECK(fleet.current() == other);
    CHECK(fleet.attempts() == 0);
}

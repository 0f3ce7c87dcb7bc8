// The further attempts of all gateways together stay within the bound, in random schedules of requests,
// restarts, joins and leaves; and the bound is broken if one of the safeguards is left out.
#include "gateway/retry_budget.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <vector>

using namespace dewweir::gateway;

namespace {

const std::string service = "cart";
constexpr RetryBound bound{0.2, 62.0};
constexpr int steps_per_window = 100;
constexpr int steps = 1000;
constexpr std::size_t first_gateways = 11;

// The safeguard that a schedule leaves out.
enum class Fault { none, slack_not_divided, starts_full, new_at_each_change };

// Gateways with a budget each, and the requests and further attempts of all of them in each step.
class Schedule {
  public:
    Schedule(unsigned seed, Fault fault) : random_(seed), fault_(fault) {
        for (std::size_t n = 0; n < first_gateways; ++n) gateways_.push_back(started());
        update_all();
    }

    void run() {
        for (int step = 0; step < steps; ++step) {
            requests_.push_back(0);
            further_.push_back(0);
            if (random_draw(0.05)) change();
            const bool overload = step / steps_per_window % 3 == 1;
            const int arrivals = std::uniform_int_distribution(0, overload ? 60 : 20)(random_);
            for (int n = 0; n < arrivals; ++n) request(overload ? 0.9 : 0.1);
        }
    }

    // Whether some window has more further attempts than the bound allows for the requests of that window, of
    // the one before it, or of the one half a window earlier, whichever has the most.
    bool broken() const {
        for (int from = 0; from + steps_per_window <= steps; ++from) {
            const int half = steps_per_window / 2;
            const double most =
                std::max({requests_in(from), requests_in(from - half), requests_in(from - 2 * half)});
            if (sum(further_, from) > bound.ratio * most + bound.slack) return true;
        }
        return false;
    }

    double further() const { return sum_of(further_, 0, steps); }

  private:
    bool random_draw(double probability) {
        return std::uniform_real_distribution(0.0, 1.0)(random_) < probability;
    }

    static double sum_of(const std::vector<double>& counts, int from, int to) {
        double all = 0;
        for (int n = std::max(0, from); n < to; ++n) all += counts[static_cast<std::size_t>(n)];
        return all;
    }
    static double sum(const std::vector<double>& counts, int from) {
        return sum_of(counts, from, from + steps_per_window);
    }
    double requests_in(int from) const { return sum(requests_, from); }

    RetryBudget started() {
        RetryBudget budget(bound);
        if (fault_ != Fault::starts_full && fault_ != Fault::new_at_each_change) return budget;
        budget.gateways_changed(first_gateways);
        for (int n = 0; n < 1000; ++n) budget.add_request(service);
        return budget;
    }

    void update(RetryBudget& budget, std::size_t known) {
        budget.gateways_changed(fault_ == Fault::slack_not_divided ? 1 : known);
    }

    void update_all() {
        for (RetryBudget& budget : gateways_) update(budget, gateways_.size());
    }

    // Restarts, a join, a leave or a change of the configuration. Only some gateways learn of it.
    void change() {
        const std::size_t one = random_() % gateways_.size();
        const bool all = random_draw(0.5);
        switch (random_() % 4) {
            case 0:  // one gateway restarts, or all at once
                for (std::size_t n = 0; n < gateways_.size(); ++n) {
                    if (n == one || all) gateways_[n] = started();
                }
                break;
            case 1:
                if (gateways_.size() < first_gateways + 2) gateways_.push_back(started());
                break;
            case 2:
                if (gateways_.size() > first_gateways - 4)
                    gateways_.erase(gateways_.begin() + static_cast<long>(one));
                break;
            default:
                if (fault_ == Fault::new_at_each_change) {
                    for (RetryBudget& budget : gateways_) budget = started();
                }
        }
        for (RetryBudget& budget : gateways_) {
            if (random_draw(0.8)) update(budget, gateways_.size());
        }
    }

    // Each attempt fails with this probability and is followed by another one while the budget allows it.
    void request(double failure_probability) {
        RetryBudget& budget = gateways_[random_() % gateways_.size()];
        ++requests_.back();
        budget.add_request(service);
        for (int tries = 1; tries < 4 && random_draw(failure_probability) && budget.allows(service);
             ++tries) {
            budget.spend(service);
            ++further_.back();
        }
    }

    std::mt19937 random_;
    Fault fault_;
    std::vector<RetryBudget> gateways_;
    std::vector<double> requests_;  // by step
    std::vector<double> further_;
};

int broken_schedules(Fault fault) {
    int broken = 0;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        Schedule schedule(seed, fault);
        schedule.run();
        broken += schedule.broken();
    }
    return broken;
}

}  // namespace

TEST_CASE("a bucket starts empty, is filled by requests, and holds no more than this gateway's share") {
    RetryBudget budget({0.2, 60.0});
    CHECK_FALSE(budget.allows(service));
    for (int n = 0; n < 5; ++n) budget.add_request(service);
    CHECK_FALSE(budget.allows(service));  // 5 x 0.2 x 0.9
    budget.add_request(service);
    REQUIRE(budget.allows(service));
    CHECK_FALSE(budget.allows("other"));
    budget.spend(service);
    CHECK_FALSE(budget.allows(service));
    budget.gateways_changed(6);  // 9 each
    for (int n = 0; n < 1000; ++n) budget.add_request(service);
    for (int n = 0; n < 9; ++n) {
        REQUIRE(budget.allows(service));
        budget.spend(service);
    }
    CHECK_FALSE(budget.allows(service));
}

TEST_CASE("with more gateways a bucket's capacity shrinks at once, but not below one attempt") {
    CHECK(retry_bucket_limits({0.2, 60.0}, 0).capacity == Approx(1.0));
    CHECK(retry_bucket_limits({0.2, 60.0}, 10).capacity == Approx(5.4));
    CHECK(retry_bucket_limits({0.2, 60.0}, 570).capacity == Approx(1.0));
    RetryBudget budget({0.2, 60.0});
    budget.gateways_changed(6);
    for (int n = 0; n < 1000; ++n) budget.add_request(service);
    budget.gateways_changed(570);
    budget.spend(service);
    CHECK_FALSE(budget.allows(service));
}

TEST_CASE("without a ratio no further attempt is allowed") {
    RetryBudget budget({});
    for (int n = 0; n < 1000; ++n) budget.add_request(service);
    CHECK_FALSE(budget.allows(service));
}

TEST_CASE("all gateways together stay within the bound in random schedules") {
    CHECK(broken_schedules(Fault::none) == 0);
    Schedule schedule(1, Fault::none);
    schedule.run();
    CHECK(schedule.further() > 500);  // the budget is used
}

TEST_CASE("an undivided slack, full initial buckets and new buckets at each change break the bound") {
    CHECK(broken_schedules(Fault::slack_not_divided) > 0);
    CHECK(broken_schedules(Fault::starts_full) > 0);
    CHECK(broken_schedules(Fault::new_at_each_change) > 0);
}

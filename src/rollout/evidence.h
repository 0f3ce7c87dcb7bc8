// Evidence that new gateways do worse than old ones by more than is allowed, which may be looked at after
// every window without spending anything: a test by betting (an e-process; Waudby-Smith and Ramdas,
// "Estimating means of bounded random variables by betting", 2023; Ramdas and others, "Game-theoretic
// statistics and safe anytime-valid inference", 2023). Pure.
#pragma once

#include <array>
#include <vector>

namespace dewweir::rollout {

// Differences of one window each, new less old: over `allowed` is worse. A difference is measured in spreads
// and cut off at two of them, so that one wild window proves nothing; where equal programs differ as often up
// as down, the wealth of one who bets on "worse" is then no better than a fair game's, and is over 1/error
// with a chance of `error` at the most, however often it is looked at (Ville).
class Evidence {
  public:
    // `spread` over 0: the usual one of such differences between equal programs.
    Evidence(double allowed, double spread) : allowed_(allowed), spread_(spread) {}
    void see(double difference);
    // The most that the wealth has been, as its logarithm; proven at an error of `exp(-strength())`.
    double strength() const { return strongest_; }
    bool proven(double error) const;

  private:
    double allowed_, spread_, strongest_ = 0;
    std::array<double, 5> wealth_{};  // logarithms, one for each bet
};

struct Interval {
    double low, high;
};

// Where the true difference lies, at an error of `error` over all times at which it may be asked.
Interval interval_of(const std::vector<double>& differences, double spread, double error);

}  // namespace dewweir::rollout

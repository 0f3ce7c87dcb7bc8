// Watches whether the five rules hold, from what hosts and clients see of a deployment. Owns the record of
// every submission seen; it must never tell any of it to a gateway. Pure: moments are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "dewweir/decisions.h"

namespace dewweir::rig {

struct Quota {                   // of one plan; times in tenths of a millisecond
    double rate = 0, burst = 0;  // units a tenth; units. Rate 0: no quota
    double ceiling_rate = 0, ceiling_burst = 0, ceiling_slack = 0;
};

class Referee {
  public:
    // `grace`: how long work may still go to a host after a gateway was told that it drains.
    Referee(std::vector<Quota> plans, Time grace) : plans_(std::move(plans)), grace_(grace) {}

    // An execution has come whole to a host. `binding`: it must never run twice.
    void executed(Time now, const std::string& submission, const std::string& host, bool binding, int plan,
                  const std::string& customer, double units);
    // Its answer is written or its connection has ended. `ran` false: turned away unseen.
    void execution_over(const std::string& submission, bool ran);
    void draining(Time now, const std::string& host);
    void ready(const std::string& host) { drains_.erase(host); }
    void fell_over(Time now, const std::string& host);
    // A client's try: answered once, or not within its limit.
    void unanswered(Time now, const std::string& submission);
    void answered_twice(Time now, const std::string& submission);

    struct Break {
        Time at;
        int rule;  // 1 to 5
        std::string what;
    };
    const std::vector<Break>& breaks() const { return breaks_; }
    std::uint64_t executions() const { return executions_; }
    double units() const { return units_; }
    double units_beyond() const { return units_beyond_; }  // sent on with no such units in the quota's store

  private:
    struct Seen {
        int out = 0, ran = 0, executions = 0;
        bool binding = false;
    };
    struct Store {
        double level, ceiling;
        Time at;
    };
    void broken(Time now, int rule, const std::string& what);

    std::vector<Quota> plans_;
    Time grace_;
    std::unordered_map<std::string, Seen> seen_;
    std::unordered_map<std::string, Store> stores_;
    std::map<std::string, Time> drains_;
    std::vector<Break> breaks_;
    std::uint64_t executions_ = 0;
    double units_ = 0, units_beyond_ = 0;
};

}  // namespace dewweir::rig

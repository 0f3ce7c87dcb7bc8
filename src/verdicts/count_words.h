// Totals of the shared counter as other gateways received them. For each counter name, the total that at
// least two of them have: it shows when the counter has lost its state. Items of one origin replace each
// other; a total that only one gateway reports has no effect. Pure: times, totals and gossip items are passed
// in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::verdicts {

struct CounterTotalOptions {
    Time time_to_live = 100000;  // of an item: 10 s
    double min_total = 4;        // units; smaller totals are not published
    double min_growth = 1.15;    // a total is published once it exceeds the known one by this factor
};

class CounterTotals {
  public:
    CounterTotals(const CounterTotalOptions& options, std::string self)
        : options_(options), self_(std::move(self)) {}

    // Records the total, in units, that the counter returned for `name`, or that we corrected it to. Returns
    // whether there is an item to publish.
    bool record(Time now, std::uint64_t name, double total);
    // Returns whether the item is new here, and so is to be passed on.
    bool receive(Time now, const members::GossipItem& item);
    std::vector<members::GossipItem> take_outgoing();  // our own items to publish, each once
    // The highest total that at least two other gateways have, in units; 0: none.
    double corroborated(Time now, std::uint64_t name) const;
    void remove_expired(Time now);    // frees memory only: expired items have no effect
    Time next_timer(Time now) const;  // when remove_expired is due next; the largest Time: never
    std::vector<members::GossipItem> live_items(Time now) const;
    static bool is_item(const members::GossipItem& item);  // whether its key is one of a counter total

  private:
    struct Total {
        double total = 0;
        members::GossipItem item{};
    };
    using Origins = std::map<std::string, Total>;
    // The second highest live total of the origins other than `but_for`; 0: none.
    static double second_highest(const Origins& origins, Time now, const std::string& but_for);

    Time sweep_period() const { return options_.time_to_live / 10; }

    CounterTotalOptions options_;
    Time swept_ = 0;
    std::string self_;
    std::map<std::uint64_t, Origins> names_;
    std::vector<members::GossipItem> outgoing_;
};

}  // namespace dewweir::verdicts

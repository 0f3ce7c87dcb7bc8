// Gateways lend each other units of their shares of a quota while the counter cannot be asked. A gateway
// whose share does not hold a request gossips a loan request; gateways that can spare units answer with a
// loan. Lent units leave the lender's share before the loan is sent, and the borrower takes each loan at most
// once: a message that is lost, duplicated, delayed or reordered can lower the sum of all shares, but never
// raise it (escrow, O'Neil 1986; bounded counters, Balegas et al. 2015). Pure: times, messages and the units
// that can be spared are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::limits {

// A gateway asks the others for units.
struct LoanRequest {
    QuotaShare share;
    double units = 0;
    std::string by{};
    // Sequence number of the gateway's messages; grows across its restarts.
    std::uint64_t sequence = 0;
};

// Units that another gateway has lent to this one.
struct Loan {
    std::uint64_t tenant = 0;
    double units = 0;
    // By the clocks of all gateways, which are kept in sync as for the counter's windows.
    Time expires_at = 0;
};

struct QuotaLendingOptions {
    // Lifetime of a gossip item: 2 s.
    Time item_lifetime = 20000;
    // Between two loan requests for one tenant: 250 ms at first, doubled after each that brought nothing, up
    // to 4 s.
    Time first_interval = 2500;
    Time longest_interval = 40000;
    // How many gateways answer a loan request on average; each decides at random.
    double expected_lenders = 3;
    // All lenders together offer this many times the missing units, as a part of the loans comes too late.
    double overlending = 4;
    // A gateway that the counter has answered within this time (1 s) lends nothing.
    Time counter_silence = 10000;
    // Tenants with a shortage that are tracked; further ones request no loans.
    std::size_t max_tenants = 256;
};

class QuotaLending {
  public:
    // `self`: this gateway's name. `sequence`: over the sequence numbers of all earlier processes of the
    // name.
    QuotaLending(const QuotaLendingOptions& options, std::string self, std::uint64_t sequence,
                 std::uint64_t seed);

    // This gateway's share did not hold so many units of a request, and the counter was not asked.
    void report_shortage(Time now, const QuotaShare& share, double units);
    // The counter has answered: requests here are counted, so that the share must not be lent.
    void counter_answered(Time now) { lend_nothing_until_ = now + options_.counter_silence; }
    // Takes a gossip item of this package. Returns whether it is new here and is to be passed on.
    bool receive(Time now, const members::GossipItem& item);
    // Loan requests of others that this gateway is to answer, each returned once.
    std::vector<LoanRequest> take_requests();
    // So many units have left this gateway's share for that request.
    void record_loan(Time now, const LoanRequest& request, double units, Time expires_at);
    // Loans to this gateway, each returned once.
    std::vector<Loan> take_loans();
    // New gossip items of this gateway, each returned once.
    std::vector<members::GossipItem> take_outgoing(Time now);
    // All gossip items that have not expired, for a member that asks for everything.
    std::vector<members::GossipItem> live_items(Time now) const;
    // When `take_outgoing` must be called again at the latest.
    Time next_timer(Time now) const;
    // Whether a gossip item belongs to this package.
    static bool is_lending_item(const members::GossipItem& item);

    // Since the start of the process.
    struct Counters {
        std::uint64_t requests = 0, loans_out = 0, loans_in = 0, refused = 0;
        double units_out = 0, units_in = 0;
    };
    const Counters& counters() const { return counters_; }

  private:
    struct Shortage {
        QuotaShare share;
        // Missing since the last request.
        double units = 0;
        Time requested_at = 0;
        // Until the next request; 0: none has been sent.
        Time interval = 0;
        Time last_shortage_at = 0;
    };
    void expire(Time now);
    bool receive_request(Time now, const members::GossipItem& item);
    bool receive_loan(Time now, const members::GossipItem& item);

    QuotaLendingOptions options_;
    std::string self_;
    // Sequence number of the last message sent, and that of the start.
    std::uint64_t sequence_, first_sequence_;
    Time lend_nothing_until_ = 0;
    std::mt19937_64 rng_;
    // By tenant.
    std::map<std::uint64_t, Shortage> shortages_;
    // By key: items that are passed on until they expire.
    std::map<std::string, members::GossipItem> items_;
    // By lender: no loan up to this sequence number is taken any more.
    std::map<std::string, std::uint64_t> taken_up_to_;
    // By lender, loans taken above it: when each was.
    std::map<std::string, std::map<std::uint64_t, Time>> taken_;
    std::vector<members::GossipItem> outgoing_;
    std::vector<LoanRequest> requests_;
    std::vector<Loan> loans_;
    Counters counters_;
};

}  // namespace dewweir::limits

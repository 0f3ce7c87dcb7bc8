// Parts of quotas that move between gateways while the counter cannot be asked. Whose part of a tenant's
// quota does not hold a request says what it lacks (a want); others that can spare some lend it (a loan).
// A loan has left the lender's part before its word is told, and comes on at the taker once at the most:
// lost, doubled, late or overtaken, it can make all parts together less, and never more (escrow, O'Neil 1986;
// bounded counters, Balegas and others 2015). Pure: moments, words and what can be spared are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::limits {

struct LoanRequest {
    QuotaShare share;
    double units = 0;
    std::string by{};
    std::uint64_t rank = 0;  // of two of one gateway the higher is the later, also after a restart
};
struct Loan {
    std::uint64_t tenant = 0;
    double units = 0;
    Time expires_at = 0;  // by all clocks: they are held to agree, as for the counter's windows
};

struct QuotaLendingOptions {
    Time life = 20000;       // of a word: 2 s
    Time first = 2500;       // between two wants of one tenant, doubled with each that brought nothing ...
    Time longest = 40000;    // ... up to this
    double lenders = 3;      // that are asked for, of all: each lends or not by chance
    double ample = 4;        // times what is lacking, of all lenders together: a part of it comes too late
    Time silent = 10000;     // who has been answered by the counter since then lends nothing: 1 s
    std::size_t most = 256;  // tenants that wants are kept of; more are not told
};

class QuotaLending {
  public:
    // `rank`: over that of every word of an earlier process of this name.
    QuotaLending(const QuotaLendingOptions& terms, std::string self, std::uint64_t rank, std::uint64_t seed);

    // Our part did not hold so many units of a request, and the counter was not asked.
    void report_shortage(Time now, const QuotaShare& of, double units);
    // The counter has answered us: what is let in here is counted, so that our part is not ours to lend.
    void counter_answered(Time now) { counted_until_ = now + terms_.silent; }
    // Whether it is new here, and so to be passed on.
    bool receive(Time now, const members::GossipItem& word);
    // Others' wants that are for us to lend to, each once.
    std::vector<LoanRequest> take_requests();
    // So many units have left our part, for that want.
    void record_loan(Time now, const LoanRequest& want, double units, Time until);
    // Loans to us, each once.
    std::vector<Loan> take_loans();
    std::vector<members::GossipItem> take_outgoing(Time now);
    std::vector<members::GossipItem> live_items(Time now) const;
    Time next_timer(Time now) const;
    static bool is_lending_item(const members::GossipItem& word);

    struct Counters {
        std::uint64_t requests = 0, loans_out = 0, loans_in = 0, refused = 0;
        double units_out = 0, units_in = 0;
    };
    const Counters& counters() const { return counters_; }

  private:
    struct Shortage {
        QuotaShare share;
        double units = 0;
        Time told = 0, wait = 0;  // 0: none yet
        Time last = 0;
    };
    void forget(Time now);
    bool receive_request(Time now, const members::GossipItem& word);
    bool receive_loan(Time now, const members::GossipItem& word);

    QuotaLendingOptions terms_;
    std::string self_;
    std::uint64_t rank_, first_rank_;
    Time counted_until_ = 0;
    std::mt19937_64 chance_;
    std::map<std::uint64_t, Shortage> lacks_;           // by tenant
    std::map<std::string, members::GossipItem> words_;  // by key: what is passed on, while it lives
    std::map<std::string, std::uint64_t> taken_to_;  // by lender: no loan up to this rank is taken any more
    std::map<std::string, std::map<std::uint64_t, Time>> taken_;  // over that: when each was taken
    std::vector<members::GossipItem> telling_;
    std::vector<LoanRequest> asked_;
    std::vector<Loan> loans_;
    Counters counters_;
};

}  // namespace dewweir::limits

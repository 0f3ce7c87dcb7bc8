#include "rights.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <utility>

#include "members/fields.h"

namespace dewweir::limits {
namespace {

using members::GossipItem;
using members::read_field;
using nlohmann::json;

const std::string prefix = "right/", request_prefix = prefix + "want/", loan_prefix = prefix + "loan/";
// Of a message; more is taken for nonsense.
constexpr double max_units = 1e9;

std::string request_key(const std::string& by, std::uint64_t tenant) {
    return request_prefix + by + "/" + std::to_string(tenant);
}
std::string loan_key(const std::string& by, std::uint64_t sequence) {
    return loan_prefix + by + "/" + std::to_string(sequence);
}

bool take_amount(const json& from, const char* name, double& into) {
    return read_field(from, name, into) && into >= 0 && into < max_units;
}

bool read(const GossipItem& item, LoanRequest& into) {
    const json fields = members::decode_payload(item);
    std::uint64_t plan = 0, gateways = 0;
    if (!fields.is_object() || !read_field(fields, "o", into.by) ||
        !read_field(fields, "c", into.share.tenant) || !read_field(fields, "p", plan) ||
        !read_field(fields, "g", gateways) || !take_amount(fields, "r", into.share.rate) ||
        !take_amount(fields, "b", into.share.burst) || !take_amount(fields, "u", into.units))
        return false;
    into.share.plan = static_cast<int>(std::min<std::uint64_t>(plan, 1 << 20));
    into.share.gateways = static_cast<int>(std::clamp<std::uint64_t>(gateways, 1, 1 << 20));
    into.sequence = item.sequence;
    return into.units > 0 && item.key == request_key(into.by, into.share.tenant);
}

struct LoanItem {
    Loan loan;
    std::string by, to;
    // Sequence number of the request that it answers.
    std::uint64_t request = 0;
};
bool read(const GossipItem& item, LoanItem& into) {
    const json fields = members::decode_payload(item);
    std::uint64_t expires_at = 0;
    if (!fields.is_object() || !read_field(fields, "o", into.by) || !read_field(fields, "t", into.to) ||
        !read_field(fields, "w", into.request) || !read_field(fields, "c", into.loan.tenant) ||
        !take_amount(fields, "u", into.loan.units) || !read_field(fields, "e", expires_at))
        return false;
    into.loan.expires_at = static_cast<Time>(expires_at);
    return into.loan.units > 0 && item.key == loan_key(into.by, item.sequence);
}

}  // namespace

QuotaLending::QuotaLending(const QuotaLendingOptions& options, std::string self, std::uint64_t sequence,
                           std::uint64_t seed)
    : options_(options), self_(std::move(self)), sequence_(sequence), first_sequence_(sequence), rng_(seed) {}

bool QuotaLending::is_lending_item(const GossipItem& item) { return item.key.rfind(prefix, 0) == 0; }

void QuotaLending::report_shortage(Time now, const QuotaShare& share, double units) {
    // Shares under a unit are not lent.
    if (share.burst < share.gateways || units <= 0) return;
    if (!shortages_.contains(share.tenant) && shortages_.size() >= options_.max_tenants) return;
    Shortage& shortage = shortages_[share.tenant];
    shortage.share = share;
    shortage.units += units;
    shortage.last_shortage_at = now;
}

bool QuotaLending::receive(Time now, const GossipItem& item) {
    if (item.is_expired(now) || item.time_to_live > options_.item_lifetime) return false;
    return item.key.rfind(request_prefix, 0) == 0 ? receive_request(now, item) : receive_loan(now, item);
}

bool QuotaLending::receive_request(Time now, const GossipItem& item) {
    LoanRequest request;
    if (!read(item, request) || request.by == self_) return false;
    GossipItem& held = items_[item.key];
    if (item.sequence <= held.sequence) return false;
    held = item;
    // Each gateway lends with the same probability, so that as many answer as intended. A gateway that is
    // short of the same tenant's units has none to spare.
    const double others = std::max(1, request.share.gateways - 1);
    const double lenders = std::min(others, options_.expected_lenders);
    if (now >= lend_nothing_until_ && !shortages_.contains(request.share.tenant) &&
        std::uniform_real_distribution<>()(rng_) * others < lenders) {
        request.units *= options_.overlending / lenders;
        requests_.push_back(std::move(request));
    }
    return true;
}

bool QuotaLending::receive_loan(Time now, const GossipItem& item) {
    LoanItem loan_item;
    if (!read(item, loan_item) || loan_item.by == self_) return false;
    if (loan_item.to != self_) return items_.emplace(item.key, item).second;
    // A loan that an earlier process of this name requested was that process's own; each loan is taken once.
    if (loan_item.request <= first_sequence_ || item.sequence <= taken_up_to_[loan_item.by] ||
        !taken_[loan_item.by].emplace(item.sequence, now).second) {
        ++counters_.refused;
        return false;
    }
    if (const auto shortage = shortages_.find(loan_item.loan.tenant); shortage != shortages_.end())
        shortage->second.interval = options_.first_interval;
    ++counters_.loans_in;
    counters_.units_in += loan_item.loan.units;
    loans_.push_back(loan_item.loan);
    return false;  // it has reached its borrower
}

std::vector<LoanRequest> QuotaLending::take_requests() { return std::exchange(requests_, {}); }

void QuotaLending::record_loan(Time now, const LoanRequest& request, double units, Time expires_at) {
    const std::uint64_t sequence = ++sequence_;
    std::string bytes;
    json::to_cbor({{"o", self_},
                   {"t", request.by},
                   {"w", request.sequence},
                   {"c", request.share.tenant},
                   {"u", units},
                   {"e", static_cast<std::uint64_t>(expires_at)}},
                  bytes);
    const GossipItem item{loan_key(self_, sequence), sequence, now, options_.item_lifetime, bytes};
    items_[item.key] = item;
    outgoing_.push_back(item);
    ++counters_.loans_out;
    counters_.units_out += units;
}

std::vector<Loan> QuotaLending::take_loans() { return std::exchange(loans_, {}); }

void QuotaLending::expire(Time now) {
    std::erase_if(items_, [now](const auto& each) { return each.second.is_expired(now); });
    // After so long without a shortage the next one is unrelated, and starts with the first interval.
    std::erase_if(shortages_, [&](const auto& each) {
        return now > each.second.last_shortage_at + options_.longest_interval;
    });
    for (auto& [lender, sequences] : taken_)
        while (!sequences.empty() && now > sequences.begin()->second + options_.item_lifetime) {
            taken_up_to_[lender] = std::max(taken_up_to_[lender], sequences.begin()->first);
            sequences.erase(sequences.begin());
        }
}

std::vector<GossipItem> QuotaLending::take_outgoing(Time now) {
    expire(now);
    for (auto& [tenant, shortage] : shortages_) {
        if (shortage.units <= 0 || now < shortage.requested_at + shortage.interval) continue;
        const std::uint64_t sequence = ++sequence_;
        std::string bytes;
        json::to_cbor({{"o", self_},
                       {"c", tenant},
                       {"p", static_cast<std::uint64_t>(shortage.share.plan)},
                       {"g", static_cast<std::uint64_t>(shortage.share.gateways)},
                       {"r", shortage.share.rate},
                       {"b", shortage.share.burst},
                       {"u", shortage.units}},
                      bytes);
        const GossipItem item{request_key(self_, tenant), sequence, now, options_.item_lifetime, bytes};
        outgoing_.push_back(item);
        items_[item.key] = item;
        // Backs off while requests bring nothing; a loan resets the interval.
        shortage.interval = shortage.interval ? std::min(2 * shortage.interval, options_.longest_interval)
                                              : options_.first_interval;
        shortage.requested_at = now;
        shortage.units = 0;
        ++counters_.requests;
    }
    return std::exchange(outgoing_, {});
}

std::vector<GossipItem> QuotaLending::live_items(Time now) const {
    std::vector<GossipItem> live;
    for (const auto& [key, item] : items_)
        if (!item.is_expired(now)) live.push_back(item);
    return live;
}

Time QuotaLending::next_timer(Time now) const {
    Time next = std::numeric_limits<Time>::max();
    for (const auto& [tenant, shortage] : shortages_)
        next =
            std::min(next, shortage.units > 0 ? std::max(now + 1, shortage.requested_at + shortage.interval)
                                              : shortage.last_shortage_at + options_.longest_interval + 1);
    if (!items_.empty()) next = std::min(next, now + options_.item_lifetime);
    return next;
}

}  // namespace dewweir::limits

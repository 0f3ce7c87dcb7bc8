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

const std::string about = "right/", about_want = about + "want/", about_loan = about + "loan/";
constexpr double most_units = 1e9;  // of a word; more is nonsense

std::string key_of_want(const std::string& by, std::uint64_t tenant) {
    return about_want + by + "/" + std::to_string(tenant);
}
std::string key_of_loan(const std::string& by, std::uint64_t rank) {
    return about_loan + by + "/" + std::to_string(rank);
}

bool take_amount(const json& from, const char* name, double& into) {
    return read_field(from, name, into) && into >= 0 && into < most_units;
}

bool read(const GossipItem& word, LoanRequest& into) {
    const json told = members::decode_payload(word);
    std::uint64_t plan = 0, gateways = 0;
    if (!told.is_object() || !read_field(told, "o", into.by) || !read_field(told, "c", into.share.tenant) ||
        !read_field(told, "p", plan) || !read_field(told, "g", gateways) ||
        !take_amount(told, "r", into.share.rate) || !take_amount(told, "b", into.share.burst) ||
        !take_amount(told, "u", into.units))
        return false;
    into.share.plan = static_cast<int>(std::min<std::uint64_t>(plan, 1 << 20));
    into.share.gateways = static_cast<int>(std::clamp<std::uint64_t>(gateways, 1, 1 << 20));
    into.rank = word.sequence;
    return into.units > 0 && word.key == key_of_want(into.by, into.share.tenant);
}

struct LoanWord {
    Loan loan;
    std::string by, to;
    std::uint64_t want = 0;  // its rank
};
bool read(const GossipItem& word, LoanWord& into) {
    const json told = members::decode_payload(word);
    std::uint64_t until = 0;
    if (!told.is_object() || !read_field(told, "o", into.by) || !read_field(told, "t", into.to) ||
        !read_field(told, "w", into.want) || !read_field(told, "c", into.loan.tenant) ||
        !take_amount(told, "u", into.loan.units) || !read_field(told, "e", until))
        return false;
    into.loan.expires_at = static_cast<Time>(until);
    return into.loan.units > 0 && word.key == key_of_loan(into.by, word.sequence);
}

}  // namespace

QuotaLending::QuotaLending(const QuotaLendingOptions& terms, std::string self, std::uint64_t rank,
                           std::uint64_t seed)
    : terms_(terms), self_(std::move(self)), rank_(rank), first_rank_(rank), chance_(seed) {}

bool QuotaLending::is_lending_item(const GossipItem& word) { return word.key.rfind(about, 0) == 0; }

void QuotaLending::report_shortage(Time now, const QuotaShare& of, double units) {
    // Parts under a unit do not move.
    if (of.burst < of.gateways || units <= 0) return;
    if (!lacks_.contains(of.tenant) && lacks_.size() >= terms_.most) return;
    Shortage& lack = lacks_[of.tenant];
    lack.share = of;
    lack.units += units;
    lack.last = now;
}

bool QuotaLending::receive(Time now, const GossipItem& word) {
    if (word.is_expired(now) || word.time_to_live > terms_.life) return false;
    return word.key.rfind(about_want, 0) == 0 ? receive_request(now, word) : receive_loan(now, word);
}

bool QuotaLending::receive_request(Time now, const GossipItem& word) {
    LoanRequest want;
    if (!read(word, want) || want.by == self_) return false;
    GossipItem& held = words_[word.key];
    if (word.sequence <= held.sequence) return false;
    held = word;
    // So many of all are to lend; who lacks the same has nothing to spare.
    const double others = std::max(1, want.share.gateways - 1), lenders = std::min(others, terms_.lenders);
    if (now >= counted_until_ && !lacks_.contains(want.share.tenant) &&
        std::uniform_real_distribution<>()(chance_) * others < lenders) {
        want.units *= terms_.ample / lenders;
        asked_.push_back(std::move(want));
    }
    return true;
}

bool QuotaLending::receive_loan(Time now, const GossipItem& word) {
    LoanWord is;
    if (!read(word, is) || is.by == self_) return false;
    if (is.to != self_) return words_.emplace(word.key, word).second;
    // One that an earlier process of ours asked for was its own, and one taken before is not taken again.
    if (is.want <= first_rank_ || word.sequence <= taken_to_[is.by] ||
        !taken_[is.by].emplace(word.sequence, now).second) {
        ++counters_.refused;
        return false;
    }
    if (const auto lack = lacks_.find(is.loan.tenant); lack != lacks_.end()) lack->second.wait = terms_.first;
    ++counters_.loans_in, counters_.units_in += is.loan.units;
    loans_.push_back(is.loan);
    return false;  // it has come where it was to come
}

std::vector<LoanRequest> QuotaLending::take_requests() { return std::exchange(asked_, {}); }

void QuotaLending::record_loan(Time now, const LoanRequest& want, double units, Time until) {
    const std::uint64_t rank = ++rank_;
    std::string bytes;
    json::to_cbor({{"o", self_},
                   {"t", want.by},
                   {"w", want.rank},
                   {"c", want.share.tenant},
                   {"u", units},
                   {"e", static_cast<std::uint64_t>(until)}},
                  bytes);
    const GossipItem word{key_of_loan(self_, rank), rank, now, terms_.life, bytes};
    words_[word.key] = word;
    telling_.push_back(word);
    ++counters_.loans_out, counters_.units_out += units;
}

std::vector<Loan> QuotaLending::take_loans() { return std::exchange(loans_, {}); }

void QuotaLending::forget(Time now) {
    std::erase_if(words_, [now](const auto& each) { return each.second.is_expired(now); });
    // Nothing was lacking for so long: what comes next is another need.
    std::erase_if(lacks_, [&](const auto& each) { return now > each.second.last + terms_.longest; });
    for (auto& [lender, ranks] : taken_)
        while (!ranks.empty() && now > ranks.begin()->second + terms_.life) {
            taken_to_[lender] = std::max(taken_to_[lender], ranks.begin()->first);
            ranks.erase(ranks.begin());
        }
}

std::vector<GossipItem> QuotaLending::take_outgoing(Time now) {
    forget(now);
    for (auto& [tenant, lack] : lacks_) {
        if (lack.units <= 0 || now < lack.told + lack.wait) continue;
        const std::uint64_t rank = ++rank_;
        std::string bytes;
        json::to_cbor({{"o", self_},
                       {"c", tenant},
                       {"p", static_cast<std::uint64_t>(lack.share.plan)},
                       {"g", static_cast<std::uint64_t>(lack.share.gateways)},
                       {"r", lack.share.rate},
                       {"b", lack.share.burst},
                       {"u", lack.units}},
                      bytes);
        const GossipItem word{key_of_want(self_, tenant), rank, now, terms_.life, bytes};
        telling_.push_back(word);
        words_[word.key] = word;
        // A loan sets it back: who brought nothing so far is asked ever more seldom.
        lack.wait = lack.wait ? std::min(2 * lack.wait, terms_.longest) : terms_.first;
        lack.told = now, lack.units = 0;
        ++counters_.requests;
    }
    return std::exchange(telling_, {});
}

std::vector<GossipItem> QuotaLending::live_items(Time now) const {
    std::vector<GossipItem> all;
    for (const auto& [key, word] : words_)
        if (!word.is_expired(now)) all.push_back(word);
    return all;
}

Time QuotaLending::next_timer(Time now) const {
    Time next = std::numeric_limits<Time>::max();
    for (const auto& [tenant, lack] : lacks_)
        next = std::min(
            next, lack.units > 0 ? std::max(now + 1, lack.told + lack.wait) : lack.last + terms_.longest + 1);
    if (!words_.empty()) next = std::min(next, now + terms_.life);
    return next;
}

}  // namespace dewweir::limits

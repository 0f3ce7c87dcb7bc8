#include "words.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "limits/moved.h"

namespace dewweir::peers {
namespace {

using members::Word;
using nlohmann::json;

constexpr std::uint64_t words_a_ms = 1024;  // at the most, so that a later process of a name is later
constexpr double least_loan = 0.01;         // units: less is not worth a word
constexpr Time list_life = 100000;          // 10 s: a watch that is lost is found again within that

}  // namespace

Words::Words(members::Members& members, net::ReportReceiver& report_receiver, const std::string& name,
             std::uint64_t instance, std::uint64_t seed, bool rights)
    : members_(members),
      report_receiver_(report_receiver),
      hosts_({}, name, instance * words_a_ms),
      lists_(list_life),
      counts_({}, name),
      rights_({}, name, instance * words_a_ms, seed),
      moves_(rights) {
    members_.on_word = [this](Time now, const std::string&, const Word& word) {
        verdicts::HostWord of_host;
        const bool fresh = verdicts::CountWords::is_one(word)  ? counts_.came(now, word)
                           : verdicts::ListWords::is_one(word) ? lists_.came(now, word)
                           : limits::QuotaLending::is_lending_item(word)
                               ? moves_ && rights_.receive(now, word)
                           : verdicts::host_word_of(word, of_host) ? hosts_.came(now, of_host)
                                                                   : false;
        ++(fresh ? passed_on_ : dropped_);
        if (fresh) members_.tell(word);
    };
    members_.all_words = [this] {
        const Time now = members_.now();
        std::vector<Word> all = lists_.all(now);
        for (const Word& one : counts_.all(now)) all.push_back(one);
        for (const Word& one : rights_.live_items(now)) all.push_back(one);
        for (const verdicts::HostWord& one : hosts_.all(now)) all.push_back(verdicts::word_of(one));
        return all;
    };
}

void Words::host_found(Time now, const std::string& host, bool shut) {
    hosts_.found(now, host, shut ? verdicts::Finding::shut : verdicts::Finding::well);
}

void Words::host_ended(Time now, const std::string& host, AttemptOutcome outcome, Time took) {
    using End = verdicts::HostWords::End;
    const bool nothing = outcome == AttemptOutcome::cancelled || outcome == AttemptOutcome::not_sent;
    const End end = outcome == AttemptOutcome::ok ? End::well
                    : outcome == AttemptOutcome::overloaded
                        ? End::alive  // which says nothing against the host
                    : nothing ? End::nothing
                              : End::failed;
    hosts_.ended(now, host, end, took);
}

bool Words::publish_total(Time now, std::uint64_t name, double total) {
    rights_.counter_answered(now);
    return counts_.told(now, name, total);
}

void Words::list_told(Time now, const net::HostList& listing) {
    std::vector<verdicts::ListedHost> hosts;
    for (const net::HostEntry& one : listing.entries)
        hosts.push_back({one.id, one.state == HostState::ready, one.up_since});
    lists_.told(now, listing.revision, listing.complete, hosts);
}

void Words::follow(Time now) {
    for (const verdicts::HostWord& one : hosts_.to_tell(now)) members_.tell(verdicts::word_of(one));
    for (const Word& one : lists_.to_tell()) members_.tell(one);
    for (const Word& one : counts_.to_tell()) members_.tell(one);
    counts_.forget(now);
    for (const limits::LoanRequest& one : rights_.take_requests())
        if (const double units = report_receiver_.lend_tokens(one.share, one.units); units >= least_loan)
            rights_.record_loan(now, one, units, limits::LoanBalance::expiry_of(now));
    for (const limits::Loan& one : rights_.take_loans())
        report_receiver_.receive_loan(one.tenant, one.units, one.expires_at);
    for (const Word& one : rights_.take_outgoing(now)) members_.tell(one);
    std::set<std::string> changed;
    for (const std::string& host : hosts_.changed(now)) changed.insert(host);
    for (const std::string& host : lists_.changed(now)) changed.insert(host);
    for (const std::string& host : changed) {
        const verdicts::HostWords::Doubt doubt = hosts_.doubt_of(now, host);
        const verdicts::ListWords::Said listed = lists_.said_of(now, host);
        const HostReport said{.suspicion = doubt.doubt,
                              .last_failure = doubt.found,
                              .expires_at = std::max(doubt.until, listed.until),
                              .draining = listed.draining,
                              .up_since = listed.up_since};
        const bool nothing = doubt.shut_by + doubt.well_by == 0 && listed.until == 0;
        if (nothing ? told_.erase(host) > 0 : (told_[host] = said, true))
            report_receiver_.host_reported(host, said);
    }
}

bool Words::report_shortage(Time now, const QuotaShare& of, double units) {
    if (moves_) rights_.report_shortage(now, of, units);
    return moves_ && rights_.next_timer(now) <= now + 1;
}

Time Words::next(Time now) const {
    return std::min({hosts_.next(now), lists_.next(now), counts_.next(now), rights_.next_timer(now)});
}

json Words::status(Time now) const {
    json words = json::array(), hosts = json::array();
    for (const verdicts::HostWord& one : hosts_.all(now))
        words.push_back({{"host", one.host},
                         {"by", one.origin},
                         {"finding", verdicts::name_of(one.finding)},
                         {"found_ms", (now - one.found) / 10},
                         {"weight", one.origin == hosts_.self() ? 1.0 : hosts_.weight(now, one.origin)}});
    for (const auto& [host, said] : told_)
        hosts.push_back({{"host", host},
                         {"doubt", said.suspicion},
                         {"draining", said.draining},
                         {"started_again", said.up_since > 0},
                         {"for_ms", std::max<Time>(0, said.expires_at - now) / 10}});
    const limits::QuotaLending::Counters& moved = rights_.counters();
    const json rights = {{"wants", moved.requests},      {"loans_out", moved.loans_out},
                         {"units_out", moved.units_out}, {"loans_in", moved.loans_in},
                         {"units_in", moved.units_in},   {"refused", moved.refused}};
    return {{"words", words},
            {"hosts", hosts},
            {"passed_on", passed_on_},
            {"dropped", dropped_},
            {"rights", rights}};
}

}  // namespace dewweir::peers

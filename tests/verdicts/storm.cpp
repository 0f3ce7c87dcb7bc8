// Words of hosts on the members' gossip, in virtual time: all hosts change at once, at every loss; the bounds
// hold.
#include <doctest/doctest.h>

#include "../members/world.h"
#include "members/bounds.h"
#include "verdicts/host_words.h"

using namespace world;
using namespace dewweir::verdicts;

namespace {

const WordTerms words_terms;

// A fleet that tells each other words of hosts, as src/peers/words does.
struct Told {
    World world;
    std::vector<std::unique_ptr<HostWords>> words;
    Time oldest = 0;  // of a finding that counted anywhere, by the moments it was really seen
    std::map<std::string, Time> seen;

    Told(std::uint32_t seed, std::size_t n, const Air& network) : world(seed) {
        world.network = network;
        for (std::size_t k = 0; k < n; ++k) {
            world.add();
            words.push_back(std::make_unique<HostWords>(words_terms, World::name(k), 1000));
            Members& members = *world.all[k].it;
            members.on_word = [this, k, &members](Time now, const std::string&, const Word& word) {
                HostWord read;
                if (host_word_of(word, read) && words[k]->came(now, read)) members.tell(word);
            };
            members.all_words = [this, k, &members] {
                std::vector<Word> all;
                for (const HostWord& one : words[k]->all(members.now())) all.push_back(word_of(one));
                return all;
            };
        }
    }
    void find(std::size_t k, const std::string& host, Finding finding) {
        words[k]->found(world.now, host, finding);
        if (finding == Finding::shut) seen[host] = world.now;
    }
    void run(Time most, const std::function<bool()>& done = {}) {
        for (const Time end = world.now + most; world.now < end;) {
            for (std::size_t k = 0; k < words.size(); ++k) {
                for (const HostWord& one : words[k]->to_tell(world.now)) world.all[k].it->tell(word_of(one));
                world.wake(k);
                for (const auto& [host, at] : seen)
                    if (words[k]->doubt_of(world.now, host).doubt > 0)
                        oldest = std::max(oldest, world.now - at);
            }
            if (done && done()) return;
            world.run(50 * a_ms);
        }
    }
    bool all_doubt(const std::vector<std::string>& hosts) const {
        return std::all_of(words.begin(), words.end(), [&](const auto& one) {
            return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
                return one->doubt_of(world.now, host).doubt >= 0.99;
            });
        });
    }
};

}  // namespace

TEST_CASE("a storm of words: all hosts fail at once, and all of a fleet know it soon, whatever is lost") {
    std::vector<std::string> hosts;
    for (int n = 0; n < 12; ++n) hosts.push_back("host-" + std::to_string(n));
    for (const std::size_t n : {3, 8, 24})
        for (const double loss : {0.05, 0.2, 0.4}) {
            Told told(11, n, {.loss = loss, .doubled = 0.1});
            told.run(20 * a_second);
            // Each host is found by two, by turns: nobody doubts a host by its own word.
            for (std::size_t at = 0; at < hosts.size(); ++at)
                for (std::size_t by = 0; by < 2; ++by) told.find((at + by) % n, hosts[at], Finding::shut);
            const Time began = told.world.now;
            told.run(30 * a_second, [&] { return told.all_doubt(hosts); });
            const Bounds bounds =
                bounds_of(told.world.terms, {.members = n, .loss = loss, .delay = 2 * a_ms}, 0.999);
            INFO(n << " members, loss " << loss << ": " << (told.world.now - began) / a_ms << " ms");
            CHECK(told.all_doubt(hosts));
            // A datagram holds some ten words: two rounds' worth for two dozen at once.
            CHECK(told.world.now - began <= 3 * bounds.spread);
        }
}

TEST_CASE("no finding counts past its bound, whoever repeats it, dies or is cut off meanwhile") {
    Told told(12, 8, {.loss = 0.2, .doubled = 0.2});
    told.run(20 * a_second);
    for (std::size_t k = 0; k < 4; ++k) told.find(k, "h", Finding::shut);
    told.run(2 * a_second);
    CHECK(told.words[7]->doubt_of(told.world.now, "h").doubt > 1.5);
    told.world.kill(0);
    told.world.network.passes = [](std::size_t from, std::size_t to) { return (from < 3) == (to < 3); };
    told.run(60 * a_second);
    const Time bound = words_terms.evidence + words_terms.life + a_second;
    CHECK(told.oldest > words_terms.life);
    CHECK(told.oldest <= bound);
    // The one that lives on the other side and found it is alone: its word counts, theirs are over.
    CHECK(told.words[7]->doubt_of(told.world.now, "h").shut_by == 0);
}

TEST_CASE("well again at one: all know, and no old word turns them back") {
    Told told(13, 8, {.loss = 0.2, .doubled = 0.2});
    told.run(20 * a_second);
    for (std::size_t k = 0; k < 3; ++k) told.find(k, "h", Finding::shut);
    told.run(2 * a_second);
    told.find(0, "h", Finding::well);
    told.run(2 * a_second);
    for (int n = 0; n < 3; ++n) {
        for (std::size_t k = 3; k < 8; ++k) CHECK(told.words[k]->doubt_of(told.world.now, "h").doubt <= 0);
        told.run(a_second);
    }
}

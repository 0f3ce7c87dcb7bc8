// What other gateways found of hosts, weighed: each word has its origin, its birth and its life; words of one
// origin replace each other, those of several add up; who was wrong counts less. Pure: moments and words are
// handed in, one doubt a host is handed out. It must never shut a host: what follows from a doubt is decided
// under src/policy.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::verdicts {

struct WordTerms {
    Time forgives = 300000;  // half of what an origin has lost it has back after so long
    Time life = 50000;       // of a word: 5 s
    Time fresh = 20000;      // an answer of our own so young says more than others' words
    Time evidence = 200000;  // what was found so long ago is told no more, tried again or not
    double enough = 4;       // where so many others hold it shut already, we need not say so too
    double learns = 0.3;     // of an origin's weight, at each word that proved right or wrong
    double least = 0.05;     // weight, so that a liar that has been mended is heard again
    double silence = 4;      // times a usual piece with its swing: longer without a word is quiet
    double quiet = 0.5;      // of a gateway's worth of doubt: a long piece looks the same to one alone
};

// Quiet: a piece there waits for longer than pieces do, and nothing has come from it since it was sent.
enum class Finding : std::uint8_t { shut, well, quiet };
const char* name_of(Finding finding);

// A word that came, or one of ours.
struct HostWord {
    std::string host, origin;
    Finding finding = Finding::shut;
    std::uint64_t rank = 0;  // of two by one origin of one host, the higher holds
    Time born = 0, life = 0;
    Time found = 0;  // when it was seen last: a word that is repeated is born anew, what it says is not
};
members::Word word_of(const HostWord& word);
// Nothing where it is no word of a host, or cannot be read.
bool host_word_of(const members::Word& word, HostWord& into);

class HostWords {
  public:
    // `self`: our name; `rank`: of our first word, over any of an earlier process of ours.
    HostWords(const WordTerms& terms, std::string self, std::uint64_t rank)
        : terms_(terms), self_(std::move(self)), rank_(rank) {}

    // We shut it by our own evidence, or it is back.
    void found(Time now, const std::string& host, Finding finding);
    // An execution of ours goes there: until when an answer is not overdue. And it has ended; nothing: called
    // off or never sent, which says nothing; alive: turned away, which is no failure, and no silence.
    enum class End : std::uint8_t { well, failed, alive, nothing };
    Time asked(Time now, const std::string& host);
    void ended(Time now, const std::string& host, End end, Time took);
    // Whether it is new here, and so to be passed on.
    bool came(Time now, const HostWord& word);
    // An origin that is dead: its words age out, and nothing of its weight is kept.
    void gone(const std::string& origin) { weights_.erase(origin); }

    // Our own words that are to be told: new ones, those whose life is half over and still hold, and those
    // that contradict others. Once.
    std::vector<HostWord> to_tell(Time now);

    struct Doubt {
        // Weights of those that hold it shut, and found so after anybody last had it well, less of those that
        // have it well. Silence counts for less, ours too.
        double doubt = 0;
        Time found = 0;  // of these, the youngest finding
        Time until = 0;  // and when the last of their words is over
        int shut_by = 0, well_by = 0;
    };
    Doubt doubt_of(Time now, const std::string& host) const;
    // Hosts whose doubt may have changed since it was last asked, each once.
    std::vector<std::string> changed(Time now);
    // When a word's life is over next, or none.
    Time next(Time now) const;

    double weight(Time now, const std::string& origin) const;  // 0 to 1
    // All that hold now, for a list of everything and for whoever looks.
    std::vector<HostWord> all(Time now) const;
    const std::string& self() const { return self_; }

  private:
    struct About {
        std::map<std::string, HostWord> by_origin;  // others' alone
        HostWord own{};                             // life 0: none
        Time told_at = 0, well_at = 0;              // our word; our last good answer
        int out = 0;                                // executions of ours
        Time waiting = 0;  // for any answer since then, while some are out; 0: none, or it is told
        bool changed = false;
        std::map<std::string, std::uint64_t> wrong{};  // words that have cost their origin, by rank
    };
    void learn(Time now, const std::string& origin, bool right);
    void contradict(Time now, About& about, Time well);
    void answered(Time now, const std::string& host, About& about, bool well);
    Time patience() const;
    double worth(Time now, const HostWord& word) const;  // of its doubt
    Doubt doubt_of(Time now, const About& about) const;
    double unrefuted(Time now, const std::string& origin) const;
    void say_well(Time now, const std::string& host, About& about);
    bool said_enough(Time now, const About& about) const;

    WordTerms terms_;
    std::string self_;
    std::uint64_t rank_;
    std::map<std::string, About> about_;
    double usual_ = 0, swing_ = 0;  // time of a piece, of all hosts; 0: none has been delivered yet
    struct Weight {
        double lost = 0;
        Time at = 0;
    };
    std::map<std::string, Weight> weights_;
    std::vector<HostWord> telling_;
};

}  // namespace dewweir::verdicts

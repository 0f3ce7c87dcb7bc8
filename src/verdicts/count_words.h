// What other gateways were told by the counter: the most of each name, as two of them at least have it, so
// that a counter that has forgotten is known by what the fleet remembers. Words of an origin replace each
// other; one that is alone with a total counts nothing. Pure: moments, totals and words are handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::verdicts {

struct CountTerms {
    Time life = 100000;    // of a word: 10 s
    double least = 4;      // units: smaller totals are not worth a word
    double growth = 1.15;  // times what is known: less is no news
};

class CountWords {
  public:
    CountWords(const CountTerms& terms, std::string self) : terms_(terms), self_(std::move(self)) {}

    // The counter has told us, or we have put right what it told: of the name, so many units.
    // Whether that is news to be told.
    bool told(Time now, std::uint64_t name, double total);
    // Whether it is new here, and so to be passed on.
    bool came(Time now, const members::Word& word);
    std::vector<members::Word> to_tell();
    // The most that two others at least were told; 0: none.
    double known(Time now, std::uint64_t name) const;
    void forget(Time now);  // words past their life: they count nothing, and lie there
    Time next(Time now) const;  // when those past their life are to be looked for, or never
    std::vector<members::Word> all(Time now) const;
    static bool is_one(const members::Word& word);

  private:
    struct Total {
        double total = 0;
        members::Word word{};  // with its birth and its life
    };
    using Origins = std::map<std::string, Total>;
    static double second(const Origins& origins, Time now, const std::string& but_for);

    Time sweep_every() const { return terms_.life / 10; }

    CountTerms terms_;
    Time swept_ = 0;
    std::string self_;
    std::map<std::uint64_t, Origins> names_;
    std::vector<members::Word> telling_;
};

}  // namespace dewweir::verdicts

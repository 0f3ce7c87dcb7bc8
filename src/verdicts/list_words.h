// What others' lists of hosts say that ours does not say yet: who drains, who has started again. A word goes
// by the revision of the list it is from, and counts only where that is later than ours; it can keep work
// away from a host and have it treated as cold, and never the contrary. Pure: moments, lists and words are
// handed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "members/message.h"

namespace dewweir::verdicts {

struct ListedHost {
    std::string host;
    bool ready = true;
    Time up_since = 0;  // by discovery's clock; 0: long ago

    bool operator==(const ListedHost&) const = default;
};

class ListWords {
  public:
    // `life`: of a word, in tenths of a millisecond.
    explicit ListWords(Time life) : life_(life) {}

    // Our own list: of `revision`; a whole one says of those it leaves out that they are gone.
    void told(Time now, std::uint64_t revision, bool whole, const std::vector<ListedHost>& hosts);
    // Whether it is new here, and so to be passed on.
    bool came(Time now, const members::Word& word);
    std::vector<members::Word> to_tell();

    struct Said {
        bool draining = false;
        Time up_since = 0;  // 0: as ours has it
        Time until = 0;
    };
    Said said_of(Time now, const std::string& host) const;
    // Hosts of which what is said may have changed since it was last asked, each once.
    std::vector<std::string> changed(Time now);
    Time next(Time now) const;  // when a word's life is over next, or none
    std::vector<members::Word> all(Time now) const;
    static bool is_one(const members::Word& word);

  private:
    void note(Time now, const ListedHost& before, const ListedHost& is);

    Time life_;
    std::uint64_t revision_ = 0;
    std::map<std::string, ListedHost> ours_;
    struct Heard {
        members::Word word;
        ListedHost is;
    };
    std::map<std::string, Heard> heard_;  // by host, later than ours
    std::vector<members::Word> telling_;
    std::map<std::string, members::Word> told_;  // of ours, while they live
    std::vector<std::string> changed_;
};

}  // namespace dewweir::verdicts

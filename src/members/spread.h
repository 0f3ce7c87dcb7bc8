// What is still to be passed on, and how often each of it was: the least told first, each for a bounded
// number of rounds. Pure.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "members/message.h"

namespace dewweir::members {

class Spread {
  public:
    // A later one takes the place of what is there of the same member, or of the same key.
    void put(const Update& update) { updates_.put(update.name, update); }
    void put(const Word& word) { words_.put(word.key, word); }
    void drop_word(const std::string& key) { words_.drop(key); }
    bool empty() const { return updates_.empty() && words_.empty(); }

    // Fills a message up to so many bytes (of the envelope's estimate) with what it does not say yet, the
    // least told first; what has been told in `rounds` messages is forgotten. Words past their life are
    // forgotten too.
    void fill(Message& message, std::size_t bytes, int rounds, Time now);

  private:
    // In the order in which they go, among equals by key, so that it is the same everywhere; a fill touches
    // what it takes, not all there is.
    template <class What> class Items {
      public:
        using Order = std::map<std::pair<int, std::string>, What>;  // by how often told, then by key
        void put(const std::string& key, const What& what) {
            drop(key);
            told_[key] = 0;
            order_.emplace(std::pair(0, key), what);
        }
        void drop(const std::string& key) {
            const auto at = told_.find(key);
            if (at == told_.end()) return;
            order_.erase({at->second, key});
            told_.erase(at);
        }
        bool empty() const { return order_.empty(); }
        template <class Take> void take(std::size_t& room, int rounds, const Take& taken);
        template <class Over> void drop_if(const Over& over);

      private:
        Order order_;
        std::unordered_map<std::string, int> told_;
    };
    Items<Update> updates_;
    Items<Word> words_;
    Time swept_ = 0;
};

// About how many bytes one takes in an envelope, never less than it does.
std::size_t size_of(const Update& update);
std::size_t size_of(const Word& word);

}  // namespace dewweir::members

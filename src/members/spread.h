// The queue of updates and gossip items that are still to be passed on, with how often each has been sent.
// The least sent go first, and each is sent a bounded number of times. Pure.
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
    // Queues an entry; it replaces the one about the same member, or of the same key.
    void put(const Update& update) { updates_.put(update.name, update); }
    void put(const GossipItem& item) { items_.put(item.key, item); }
    void drop_item(const std::string& key) { items_.drop(key); }
    bool empty() const { return updates_.empty() && items_.empty(); }

    // Fills a message with queued entries that it does not contain yet, the least sent first, up to `bytes`
    // by the estimate of size_of. Removes what has then been sent in `max_sends` messages, and expired items.
    void fill(Message& message, std::size_t bytes, int max_sends, Time now);

  private:
    // Ordered by number of sends, then by key, so that runs are reproducible; a fill touches only the entries
    // it takes.
    template <class What> class Queue {
      public:
        using Order = std::map<std::pair<int, std::string>, What>;  // by number of sends, then by key
        void put(const std::string& key, const What& what) {
            drop(key);
            sends_[key] = 0;
            order_.emplace(std::pair(0, key), what);
        }
        void drop(const std::string& key) {
            const auto at = sends_.find(key);
            if (at == sends_.end()) return;
            order_.erase({at->second, key});
            sends_.erase(at);
        }
        bool empty() const { return order_.empty(); }
        // Offers the entries that fit into `room` bytes to `accept`; those it returns false for are removed.
        template <class Accept> void take(std::size_t& room, int max_sends, const Accept& accept);
        template <class Predicate> void drop_if(const Predicate& predicate);

      private:
        Order order_;
        std::unordered_map<std::string, int> sends_;  // by key
    };
    Queue<Update> updates_;
    Queue<GossipItem> items_;
    Time swept_ = 0;  // when expired items were last removed
};

// Estimate of the encoded size in bytes, never below the actual one.
std::size_t size_of(const Update& update);
std::size_t size_of(const GossipItem& item);

}  // namespace dewweir::members

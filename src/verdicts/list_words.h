// What the host lists of other gateways say that our own list does not say yet: which hosts drain, and which
// have restarted. A report carries the revision of the list it is from, and has effect only where that is
// later than ours. It can keep requests away from a host, or have the host treated as cold, never the
// contrary. Pure: times, lists and gossip items are passed in.
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
    Time up_since = 0;  // by the discovery service's clock; 0: long ago

    bool operator==(const ListedHost&) const = default;
};

class HostListReports {
  public:
    // `time_to_live`: of an item, in tenths of a millisecond.
    explicit HostListReports(Time time_to_live) : time_to_live_(time_to_live) {}

    // Takes an update of our own list at `revision`. Hosts that a complete one leaves out are removed.
    void update_own_list(Time now, std::uint64_t revision, bool complete,
                         const std::vector<ListedHost>& hosts);
    // Returns whether the item is new here, and so is to be passed on.
    bool receive(Time now, const members::GossipItem& item);
    std::vector<members::GossipItem> take_outgoing();  // our own items to publish, each once

    // What later lists of other gateways say of one host.
    struct Report {
        bool draining = false;  // not ready, or removed
        Time up_since = 0;      // 0: no later than in our own list
        Time expires_at = 0;    // 0: there is no report
    };
    Report report_of(Time now, const std::string& host) const;
    // Hosts whose report may have changed since the last call; one may be listed twice.
    std::vector<std::string> take_changed(Time now);
    Time next_timer(Time now) const;  // when an item expires next; the largest Time: never
    std::vector<members::GossipItem> live_items(Time now) const;
    static bool is_item(const members::GossipItem& item);  // whether its key is one of a list report

  private:
    void publish_change(Time now, const ListedHost& before, const ListedHost& after);

    Time time_to_live_;
    std::uint64_t revision_ = 0;
    std::map<std::string, ListedHost> own_list_;
    struct PeerEntry {
        members::GossipItem item;
        ListedHost listed;
    };
    std::map<std::string, PeerEntry> peer_entries_;  // by host; of later revisions than ours
    std::vector<members::GossipItem> outgoing_;
    std::map<std::string, members::GossipItem> own_items_;  // by host, while they live
    std::vector<std::string> changed_;
};

}  // namespace dewweir::verdicts

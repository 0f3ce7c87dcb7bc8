// Counts of tenants' requests in windows. Every gateway holds the counts of some tenants, found by rendezvous hashing over
// the members, and asks the holders of others by datagrams. Owns the held counts and the calls that are out; the
// decision module owns what is made of a total.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "dewweir/choice.h"
#include "distribution/view.h"
#include "transport/datagrams.h"

namespace dewweir::gateway {

// The counts held here. Pure. Windows are numbered by the holder's own clock.
class HeldCounts {
  public:
    // Adds units to the tenant's current window (`age` 0) or the one before (1) and returns its total; 0 for older ones.
    double add(runtime::Time now, std::uint64_t tenant, runtime::Time window, std::uint32_t age, double units);
    // Forgets tenants whose windows are long over.
    void forget_idle(runtime::Time now);
    std::size_t size() const { return counts_.size(); }

  private:
    struct Count {
        std::int64_t window = 0;
        double current = 0;
        double previous = 0;
    };
    std::map<std::pair<std::uint64_t, runtime::Time>, Count> counts_;  // by tenant and length of window
};

// Which member holds a tenant's counts: the one with the highest hash of both (Thaler and Ravishankar, 1998). Pure.
class Placement {
  public:
    void update(const std::map<std::string, wire::Member>& members);
    // Its node's name; empty where there are no members.
    const std::string& holder_of(std::uint64_t tenant) const;

  private:
    std::vector<std::pair<std::uint64_t, std::string>> gateways_;  // hash of the name, name
};

class Counters {
  public:
    using Counted = std::function<void(Verdict verdict, double total, runtime::Time took)>;

    Counters(runtime::EventLoop& loop, std::string self, runtime::Time limit);

    std::optional<std::string> bind(const asio::ip::udp::endpoint& address);
    void members_changed(const std::map<std::string, wire::Member>& members);
    // `age`: windows back from the current one. `done` is called once, in a later turn of the loop.
    void count(std::uint64_t tenant, runtime::Time window, std::uint32_t age, double units, Counted done);

  private:
    struct Call {
        Counted done;
        runtime::Time sent = 0;
        net::Deadlines::Key deadline{};
    };
    void received(const asio::ip::udp::endpoint& from, const wire::Message& message);
    void over(std::uint64_t sequence, Verdict verdict, double total);

    runtime::EventLoop& loop_;
    std::string self_;
    runtime::Time limit_;
    std::uint32_t life_;
    transport::Datagrams datagrams_;
    HeldCounts held_;
    Placement placement_;
    std::map<std::string, asio::ip::udp::endpoint> addresses_;  // of gateways, by node
    std::unordered_map<std::uint64_t, Call> calls_;             // by sequence
    std::uint64_t sequence_ = 0;
    runtime::Time forgot_at_ = 0;
};

}  // namespace dewweir::gateway

// Members in virtual time on a simulated network that loses, duplicates, delays and partitions; reproducible
// by its seed.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <vector>

#include "members/envelope.h"
#include "members/members.h"

namespace world {

using namespace dewweir;
using namespace dewweir::members;

constexpr Time a_second = 10000, a_ms = 10;

struct NetworkConditions {
    double loss = 0, duplicated = 0;
    Time delay = a_ms / 2, jitter = a_ms;
    bool encode = false;  // encodes and decodes every datagram
    // Whether a datagram from the first member reaches the second one now.
    std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) { return true; };
};

struct World {
    explicit World(std::uint32_t seed, MembersOptions options_ = {}) : options(options_), rng(seed) {}

    static Address address(std::size_t n) { return 1000 + n; }
    static std::string name(std::size_t n) { return "m" + std::to_string(n); }

    // Adds a member and returns its index; `called` may be the name of an earlier one, to get two under one
    // name.
    std::size_t add(const std::string& called = "") {
        const std::size_t n = all.size();
        Update self{called.empty() ? name(n) : called, address(n),
                    static_cast<std::uint64_t>(now / a_ms + 1)};
        all.push_back({std::make_unique<Members>(options, self, std::vector<Address>{address(0), address(1)},
                                                 n * 7919 + rng(), now)});
        flush(n);
        return n;
    }
    void restart(std::size_t n) {
        Update self{all[n].it->self().name, address(n), static_cast<std::uint64_t>(now / a_ms + 1)};
        all[n].it = std::make_unique<Members>(options, self, std::vector<Address>{address(0), address(1)},
                                              n * 7919 + rng(), now);
        all[n].runs = true;
        ++all[n].restarts;
        flush(n);
    }
    void kill(std::size_t n) {
        all[n].runs = false;
        ++all[n].restarts;
    }
    void pause(std::size_t n, bool on) { all[n].paused = on; }

    double draw() { return boost::random::uniform_01<>()(rng); }

    void flush(std::size_t n) {
        for (OutgoingMessage& one : all[n].it->take_outgoing()) {
            ++sent;
            ++all[n].sent;
            Envelope envelope{"test", all[n].it->self().name, all[n].it->self().instance, ++all[n].sequence,
                              std::move(one.message)};
            if (network.encode) {
                const std::string bytes = encode_envelope(envelope, now);
                longest = std::max(longest, bytes.size());
                all[n].bytes += bytes.size();
                Envelope read;
                if (decode_envelope(bytes, "test", now, read) != RejectReason::none || !(read == envelope))
                    ++decode_errors;
            }
            const auto to = static_cast<std::size_t>(one.to - 1000);
            if (to >= all.size() || draw() < network.loss) continue;
            const int copies = draw() < network.duplicated ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy)
                queue.push(
                    {now + network.delay + static_cast<Time>(draw() * static_cast<double>(network.jitter)),
                     ++order, n, to, std::make_shared<Envelope>(envelope)});
        }
        wake(n);
    }
    void wake(std::size_t n) {
        const Time at = std::max(now + 1, all[n].it->next());
        if (at < all[n].wakes_at || all[n].wakes_at <= now) {
            all[n].wakes_at = at;
            queue.push({at, ++order, n, n, nullptr});
        }
    }
    void run(Time most, const std::function<bool()>& done = {}) {
        const Time end = now + most;
        while (!queue.empty() && queue.top().at <= end) {
            const Event event = queue.top();
            queue.pop();
            now = event.at;
            Node& one = all[event.to];
            if (!one.runs) continue;
            if (one.paused) {
                // Datagrams to a paused process wait in its socket until it continues.
                queue.push({now + 100 * a_ms, ++order, event.from, event.to, event.envelope});
                continue;
            }
            if (!event.envelope) {
                if (event.at != one.wakes_at) continue;
                one.it->step(now);
            } else {
                if (!network.passes(event.from, event.to)) continue;
                if (one.replay_filter.accept(event.envelope->from, event.envelope->instance,
                                             event.envelope->sequence))
                    one.it->receive(now, event.envelope->from, event.envelope->instance, address(event.from),
                                    event.envelope->message);
            }
            for (const Update& change : one.it->take_changes()) {
                if (change.state == State::dead) {
                    ++deaths[change.name];
                    last_death[change.name] = now;
                }
                if (change.state == State::suspect) ++suspicions;
                if (on_change) on_change(event.to, change);
            }
            flush(event.to);
            if (done && done()) return;
        }
        now = end;
    }
    // Whether every running member considers exactly these members present, itself included.
    bool agree(const std::set<std::string>& there) const {
        for (const Node& one : all) {
            if (!one.runs || one.it->replaced()) continue;
            if (!there.contains(one.it->self().name)) continue;
            if (one.it->present_count() != there.size()) return false;
            for (const auto& [name, member] : one.it->others())
                if ((member.update.state == State::alive || member.update.state == State::suspect) !=
                    there.contains(name))
                    return false;
        }
        return true;
    }
    std::set<std::string> names() const {
        std::set<std::string> there;
        for (const Node& one : all)
            if (one.runs) there.insert(one.it->self().name);
        return there;
    }

    struct Node {
        std::unique_ptr<Members> it;
        ReplayFilter replay_filter{};
        std::uint64_t sequence = 0, sent = 0, bytes = 0;
        Time wakes_at = 0;
        bool runs = true, paused = false;
        int restarts = 0;
    };
    struct Event {
        Time at;
        std::uint64_t order;
        std::size_t from, to;
        std::shared_ptr<Envelope> envelope;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    MembersOptions options;
    NetworkConditions network;
    boost::random::mt19937 rng;
    std::vector<Node> all;
    std::priority_queue<Event> queue;
    std::uint64_t order = 0, sent = 0, decode_errors = 0;
    std::size_t longest = 0;
    Time now = a_second;
    std::map<std::string, int> deaths;
    std::map<std::string, Time> last_death;
    int suspicions = 0;
    std::function<void(std::size_t, const Update&)> on_change;
};

}  // namespace world

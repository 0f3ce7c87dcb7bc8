// Members in virtual time on a network that loses, doubles, delays and cuts: one seed, one history.
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

struct Air {
    double loss = 0, doubled = 0;
    Time delay = a_ms / 2, jitter = a_ms;
    bool written_out = false;  // every datagram is written and read as on the wire
    // Whether it passes from one to the other now.
    std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) { return true; };
};

struct World {
    explicit World(std::uint32_t seed, MembersTerms terms_ = {}) : terms(terms_), chance(seed) {}

    static Address address(std::size_t n) { return 1000 + n; }
    static std::string name(std::size_t n) { return "m" + std::to_string(n); }

    // `address_at`: where the datagrams to it go; a second one under one name has another.
    std::size_t add(const std::string& called = "") {
        const std::size_t n = all.size();
        Update self{called.empty() ? name(n) : called, address(n),
                    static_cast<std::uint64_t>(now / a_ms + 1)};
        all.push_back({std::make_unique<Members>(terms, self, std::vector<Address>{address(0), address(1)},
                                                 n * 7919 + chance(), now)});
        flush(n);
        return n;
    }
    void restart(std::size_t n) {
        Update self{all[n].it->self().name, address(n), static_cast<std::uint64_t>(now / a_ms + 1)};
        all[n].it = std::make_unique<Members>(terms, self, std::vector<Address>{address(0), address(1)},
                                              n * 7919 + chance(), now);
        all[n].runs = true;
        ++all[n].life;
        flush(n);
    }
    void kill(std::size_t n) { all[n].runs = false, ++all[n].life; }
    void pause(std::size_t n, bool on) { all[n].paused = on; }

    double draw() { return boost::random::uniform_01<>()(chance); }

    void flush(std::size_t n) {
        for (Sending& one : all[n].it->take()) {
            ++sent;
            ++all[n].sent;
            Envelope envelope{"test", all[n].it->self().name, all[n].it->self().instance, ++all[n].sequence,
                              std::move(one.message)};
            if (network.written_out) {
                const std::string bytes = written(envelope, now);
                longest = std::max(longest, bytes.size());
                all[n].bytes += bytes.size();
                Envelope read;
                if (read_envelope(bytes, "test", now, read) != Refused::none || !(read == envelope))
                    ++misread;
            }
            const auto to = static_cast<std::size_t>(one.to - 1000);
            if (to >= all.size() || draw() < network.loss) continue;
            const int copies = draw() < network.doubled ? 2 : 1;
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
            One& one = all[event.to];
            if (!one.runs) continue;
            if (one.paused) {
                // A stopped process is woken once it goes on; what came meanwhile waits in its socket.
                queue.push({now + 100 * a_ms, ++order, event.from, event.to, event.envelope});
                continue;
            }
            if (!event.envelope) {
                if (event.at != one.wakes_at) continue;
                one.it->step(now);
            } else {
                if (!network.passes(event.from, event.to)) continue;
                if (one.seen.fresh(event.envelope->from, event.envelope->instance, event.envelope->sequence))
                    one.it->came(now, event.envelope->from, event.envelope->instance, address(event.from),
                                 event.envelope->message);
            }
            for (const Update& change : one.it->changes()) {
                if (change.state == State::dead) ++deaths[change.name], last_death[change.name] = now;
                if (change.state == State::suspect) ++suspicions;
                if (on_change) on_change(event.to, change);
            }
            flush(event.to);
            if (done && done()) return;
        }
        now = end;
    }
    // Whether everybody that runs holds exactly these for present, itself among them.
    bool agree(const std::set<std::string>& there) const {
        for (const One& one : all) {
            if (!one.runs || one.it->replaced()) continue;
            if (!there.contains(one.it->self().name)) continue;
            if (one.it->present() != there.size()) return false;
            for (const auto& [name, member] : one.it->all())
                if ((member.is.state == State::alive || member.is.state == State::suspect) !=
                    there.contains(name))
                    return false;
        }
        return true;
    }
    std::set<std::string> names() const {
        std::set<std::string> there;
        for (const One& one : all)
            if (one.runs) there.insert(one.it->self().name);
        return there;
    }

    struct One {
        std::unique_ptr<Members> it;
        Seen seen{};
        std::uint64_t sequence = 0, sent = 0, bytes = 0;
        Time wakes_at = 0;
        bool runs = true, paused = false;
        int life = 0;
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

    MembersTerms terms;
    Air network;
    boost::random::mt19937 chance;
    std::vector<One> all;
    std::priority_queue<Event> queue;
    std::uint64_t order = 0, sent = 0, misread = 0;
    std::size_t longest = 0;
    Time now = a_second;
    std::map<std::string, int> deaths;
    std::map<std::string, Time> last_death;
    int suspicions = 0;
    std::function<void(std::size_t, const Update&)> on_change;
};

}  // namespace world

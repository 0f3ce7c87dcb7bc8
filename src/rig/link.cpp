#include "link.h"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <vector>

namespace dewweir::rig {
namespace {

constexpr Time connect_within = 100000;  // what a system gives up after is more; a rig need not wait for it
constexpr double a_second = 10000;

}  // namespace

LinkCounts& LinkCounts::operator+=(const LinkCounts& more) {
    connections += more.connections, there += more.there, back += more.back;
    refused += more.refused, reset += more.reset, broken += more.broken;
    held += more.held, late += more.late, dropped += more.dropped;
    return *this;
}

Link::Link(Loop& loop, std::string name, const tcp::endpoint& to, std::uint64_t seed)
    : loop_(loop),
      name_(std::move(name)),
      to_(to),
      chance_(static_cast<std::uint32_t>(seed)),
      door_(loop, loopback(), [this](tcp::socket socket) { welcome(std::move(socket)); }) {}

Link::~Link() {
    each_pair([this](std::uint32_t mark, Pair&) { give_back(mark, false); });
}

void Link::each_pair(const std::function<void(std::uint32_t, Pair&)>& visit) {
    std::vector<std::uint32_t> all;
    pairs_.each([&](std::uint32_t mark, Pair&) { all.push_back(mark); });
    for (const std::uint32_t mark : all)
        if (Pair* const pair = pairs_.find(mark)) visit(mark, *pair);
}

void Link::welcome(tcp::socket socket) {
    ++counts_.connections;
    const std::uint32_t mark = pairs_.add();
    if (!mark) return;
    Pair& pair = *pairs_.find(mark);
    pair.left = break_after_;
    pair.client.connection = loop_.connections.adopt(std::move(socket), *this, mark);
    if (pair.client.connection)
        pair.server.connection = loop_.connections.open(to_, *this, mark, connect_within);
    if (!pair.server.connection) give_back(mark, true);
}

void Link::opened(net::Handle, std::uint32_t mark, bool up) {
    Pair* const pair = pairs_.find(mark);
    if (!pair) return;
    if (!up) {
        // The other end refuses: so does the link, as late as a relay can.
        pair->server.connection = 0;
        ++counts_.refused;
        refused_at_.push_back(loop_.deadlines.now());
        give_back(mark, true);
    }
}

void Link::received(net::Handle connection, std::uint32_t mark) {
    Pair* const pair = pairs_.find(mark);
    if (!pair) return;
    const bool there = connection == pair->client.connection;
    End& to = there ? pair->server : pair->client;
    net::Ring& ring = loop_.connections.in(connection);
    std::string bytes;
    for (const std::string_view part : ring.filled()) bytes += part;
    ring.consume(bytes.size());
    if (bytes.empty()) return;
    const bool breaks = pair->left >= 0 && static_cast<std::int64_t>(bytes.size()) >= pair->left;
    if (breaks) {
        counts_.dropped += bytes.size() - static_cast<std::size_t>(pair->left);
        bytes.resize(static_cast<std::size_t>(pair->left));
    }
    if (pair->left >= 0) pair->left -= static_cast<std::int64_t>(bytes.size());
    (there ? counts_.there : counts_.back) += bytes.size();
    const Time now = loop_.deadlines.now();
    Time due = now;
    if (faults_.delay + faults_.jitter > 0)
        due += faults_.delay + boost::random::uniform_int_distribution<Time>(0, faults_.jitter)(chance_);
    due = std::max(due, to.last_due);  // order is kept, whatever the jitter
    if (faults_.bytes_a_second > 0)
        due += std::llround(static_cast<double>(bytes.size()) / faults_.bytes_a_second * a_second);
    to.last_due = due;
    counts_.late += due > now;
    to.queue.push_back({due, std::move(bytes)});
    pass(mark, there);
    if (!breaks || !pairs_.find(mark)) return;
    ++counts_.broken;
    give_back(mark, true);
}

// Hands on what is due; one deadline a direction stands for the rest.
void Link::pass(std::uint32_t mark, bool there) {
    Pair* const pair = pairs_.find(mark);
    if (!pair) return;
    End& to = there ? pair->server : pair->client;
    loop_.deadlines.cancel(to.next);
    if (silent(there)) return;
    while (!to.queue.empty() && to.queue.front().due <= loop_.deadlines.now()) {
        loop_.connections.send(to.connection, {to.queue.front().bytes});
        to.queue.pop_front();
    }
    if (!to.queue.empty())
        to.next = loop_.deadlines.after(to.queue.front().due - loop_.deadlines.now(),
                                        [this, mark, there] { pass(mark, there); });
    else if (to.over) give_back(mark, false);
}

void Link::ended(net::Handle connection, std::uint32_t mark) {
    Pair* const pair = pairs_.find(mark);
    if (!pair) return;
    const bool there = connection == pair->client.connection;
    End& gone = there ? pair->client : pair->server;
    End& other = there ? pair->server : pair->client;
    gone.connection = 0;
    // What was for it is lost with it.
    for (const Piece& piece : gone.queue) counts_.dropped += piece.bytes.size();
    gone.queue.clear();
    loop_.deadlines.cancel(gone.next);
    other.over = true;
    // Who leaves a silent link is gone at both ends at once: nobody would wait for the end to come through,
    // and an execution would count as out at a host long after its gateway has given it up.
    if (silent(there)) give_back(mark, false);
    else pass(mark, there);
}

void Link::give_back(std::uint32_t mark, bool reset) {
    Pair* const pair = pairs_.find(mark);
    if (!pair) return;
    for (End* const end : {&pair->client, &pair->server}) {
        loop_.deadlines.cancel(end->next);
        for (const Piece& piece : end->queue) counts_.dropped += piece.bytes.size();
        if (!end->connection) continue;
        if (reset) loop_.connections.reset(end->connection);
        else loop_.connections.close_gracefully(end->connection);
    }
    pairs_.remove(mark);
}

void Link::cut(bool on) {
    faults_.refused = on;
    if (!on) return door_.open();
    door_.close();
    each_pair([this](std::uint32_t mark, Pair&) {
        ++counts_.reset;
        give_back(mark, true);
    });
}

void Link::silence(Way way, bool on) {
    if (way != Way::back) faults_.silent_there = on;
    if (way != Way::there) faults_.silent_back = on;
    // Either way lost, no handshake comes to its end.
    if (!faults_.refused) door_.silence(faults_.silent_there || faults_.silent_back);
    each_pair([&](std::uint32_t mark, Pair& pair) {
        for (const bool there : {true, false}) {
            End& to = there ? pair.server : pair.client;
            if (on && silent(there)) counts_.held += to.queue.size();
            pass(mark, there);
            if (!pairs_.find(mark)) return;
        }
    });
}

bool Link::refused_between(Time from, Time to) const {
    const auto first = std::lower_bound(refused_at_.begin(), refused_at_.end(), from);
    return first != refused_at_.end() && *first <= to;
}

void Link::delay(Time delay, Time jitter) { faults_.delay = delay, faults_.jitter = jitter; }

void Link::throttle(double bytes_a_second) { faults_.bytes_a_second = bytes_a_second; }

void Link::break_after(std::int64_t bytes) {
    break_after_ = bytes;
    each_pair([this](std::uint32_t, Pair& pair) { pair.left = break_after_; });
}

}  // namespace dewweir::rig

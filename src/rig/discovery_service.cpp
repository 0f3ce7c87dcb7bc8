#include "discovery_service.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace dewweir::rig {
namespace {

constexpr Time between_beats = 20000;
const std::map<std::string, tcp::endpoint> no_addresses;

std::string chunk(const std::string& text) {
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

}  // namespace

DiscoveryService::DiscoveryService(Loop& loop, const tcp::endpoint& at, Time delay,
                                   const model::ListTraits& traits)
    : loop_(loop),
      delay_(delay),
      list_(traits),
      door_(loop, at, [this](tcp::socket socket) { welcome(std::move(socket), 0); }) {
    beat();
}

DiscoveryService::~DiscoveryService() {
    loop_.deadlines.cancel(beat_);
    ways_.each([&](std::uint32_t, Way& way) { loop_.connections.close(way.connection); });
}

std::size_t DiscoveryService::add_view(std::map<std::string, tcp::endpoint> addresses) {
    const std::size_t number = views_.size() + 1;
    views_.push_back(
        {std::make_unique<Door>(loop_, loopback(),
                                [this, number](tcp::socket socket) { welcome(std::move(socket), number); }),
         std::move(addresses)});
    return number;
}

void DiscoveryService::anew() {
    die();
    revision_ = 1;
    changed_.clear();
    start();
}

void DiscoveryService::die() {
    door_.close();
    for (View& view : views_) view.door->close();
    std::vector<std::uint32_t> all;
    ways_.each([&](std::uint32_t mark, Way&) { all.push_back(mark); });
    for (const std::uint32_t mark : all) give_back(mark);
}

void DiscoveryService::start() {
    door_.open();
    for (View& view : views_) view.door->open();
}

std::string DiscoveryService::listing(const std::vector<std::string>& ids, bool complete,
                                      std::size_t view) const {
    nlohmann::json members = nlohmann::json::array();
    for (const std::string& id : ids) {
        const Member& m = members_.at(id);
        const auto& seen = view ? views_.at(view - 1).addresses : no_addresses;
        const auto other = seen.find(id);
        members.push_back({{"id", m.id},
                           {"host_port", text_of(other == seen.end() ? m.address : other->second)},
                           {"locality", "a"},
                           {"flavor", "stand-in"},
                           {"cell", 0},
                           {"phase", m.phase},
                           {"size", 1.0},
                           {"up_since_ms", m.up_since / 10}});
    }
    return nlohmann::json{{"revision", revision_}, {"complete", complete}, {"members", members}}.dump();
}

std::string DiscoveryService::whole(std::size_t view) const {
    std::vector<std::string> ids;
    for (const auto& [id, member] : members_)
        if (member.phase != "terminated") ids.push_back(id);
    return listing(ids, true, view);
}

void DiscoveryService::change(const Member& member, std::function<void()> told) {
    // One delay for all: so they are told in the order in which they happened.
    loop_.deadlines.after(delay_, [this, member, told = std::move(told)] {
        members_[member.id] = member;
        changed_[member.id] = ++revision_;
        ways_.each([&](std::uint32_t, Way& way) {
            if (way.watching) say(way, chunk(listing({member.id}, false, way.view) + "\n"));
        });
        if (told) told();
    });
}

void DiscoveryService::beat() {
    beat_ = loop_.deadlines.after(between_beats, [this] {
        ways_.each([&](std::uint32_t, Way& way) {
            if (way.watching) say(way, chunk("\n"));
        });
        beat();
    });
}

void DiscoveryService::welcome(tcp::socket socket, std::size_t view) {
    const std::uint32_t mark = ways_.add();
    if (!mark) return;
    Way& way = *ways_.find(mark);
    way.view = view;
    way.connection = loop_.connections.adopt(std::move(socket), *this, mark);
    if (!way.connection) ways_.remove(mark);
}

void DiscoveryService::received(net::Handle connection, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way || way->watching) return;
    const auto state = way->reader.read(loop_.connections.in(connection));
    if (state == net::HttpReader::State::bad) return give_back(mark);
    if (state == net::HttpReader::State::complete) asked(mark, *way);
}

void DiscoveryService::asked(std::uint32_t mark, Way& way) {
    const std::string target = way.reader.target();
    const bool stays = way.reader.keep_alive();
    way.reader.next();
    // Each call has its turn; one that waits too long is refused and has had it all the same.
    const model::List::Answer turn = list_.call(loop_.deadlines.now(), slow_);
    loop_.deadlines.after(std::max<Time>(0, turn.at - loop_.deadlines.now()),
                          [this, mark, target, stays, turn] {
                              Way* const waiting = ways_.find(mark);
                              if (!waiting) return;
                              if (turn.served) return serve(mark, target, stays);
                              say(*waiting, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                              give_back(mark);
                          });
}

void DiscoveryService::serve(std::uint32_t mark, const std::string& target, bool stays) {
    Way& way = *ways_.find(mark);
    if (target.rfind("/registry/instances", 0) != 0) {
        say(way, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    } else if (target.find("stream=1") == target.npos) {
        const std::string list = whole(way.view);
        say(way, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                     std::to_string(list.size()) + "\r\n\r\n" + list);
    } else {
        std::uint64_t from = 0;
        if (const std::size_t at = target.find("index="); at != target.npos)
            std::from_chars(target.data() + at + 6, target.data() + target.size(), from);
        way.watching = true;
        say(way, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
        std::vector<std::string> since;
        for (const auto& [id, revision] : changed_)
            if (revision > from) since.push_back(id);
        // What it holds of a later revision than ours is from another agent: it gets the whole list.
        if (from == 0 || from > revision_) return say(way, chunk(whole(way.view) + "\n"));
        return say(way, chunk(since.empty() ? "\n" : listing(since, false, way.view) + "\n"));
    }
    if (!stays) give_back(mark);
}

void DiscoveryService::say(Way& way, const std::string& text) {
    loop_.connections.send(way.connection, {text});
}

void DiscoveryService::ended(net::Handle, std::uint32_t mark) { give_back(mark); }

void DiscoveryService::give_back(std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    loop_.connections.close(way->connection);
    ways_.remove(mark);
}

}  // namespace dewweir::rig

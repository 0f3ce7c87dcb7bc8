#include "discovery.h"

#include <algorithm>

namespace dewweir::net {
namespace {

// An empty line is due every 2 s, and what there is to tell counts as told 6 s later.
constexpr Time most_silence = 45000;
constexpr std::size_t most_line = 8 << 20;

}  // namespace

Discovery::Discovery(const Part& part, ListNews& news)
    : Part(part), news_(news), address_(told_.discovery), revision_(told_.known.revision) {}

void Discovery::follow() {
    if (connection_) return;
    reader_ = std::make_unique<HttpReader>(HTTP_RESPONSE, most_line);
    connection_ = connections_.open(address_, *this, 0, most_silence / 3);
    if (!connection_) lost("no connection left");
}

void Discovery::move_to(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    // Revisions of two sources need not compare: all is asked for anew.
    ask_anew();
}

void Discovery::ask_anew() {
    revision_ = 0;
    behind_ = false;
    deadlines_.drop(anew_);
    deadlines_.drop(silence_);
    if (connection_) connections_.close(connection_);
    connection_ = 0;
    follow();
}

void Discovery::opened(Handle connection, std::uint32_t, bool up) {
    if (!up) return lost("no connection");
    log_.tell(Event::discovery_asked, "discovery: asked");
    const std::string from = std::to_string(revision_);
    connections_.send(connection, {"GET /registry/instances?stream=1&index=", from,
                                   " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n"});
    heard();
}

void Discovery::heard() {
    deadlines_.drop(silence_);
    silence_ = deadlines_.after(most_silence, [this] { lost("silent"); });
}

void Discovery::received(Handle connection, std::uint32_t) {
    heard();
    // Longer than a ring: the reader keeps the body, the ring empties with each read.
    const HttpReader::State state = reader_->read(connections_.in(connection));
    if (reader_->head_read() && reader_->status() != 200)
        return lost("answers " + std::to_string(reader_->status()));
    std::string& body = reader_->body();
    std::size_t from = 0;
    for (std::size_t end; (end = body.find('\n', from)) != body.npos; from = end + 1) {
        const std::string_view line = std::string_view(body).substr(from, end - from);
        if (line.find_first_not_of(" \r\t") == line.npos) continue;
        try {
            const Listing listing = parse_listing(line, told_.zones);
            behind_ = listing.revision < revision_;
            if (behind_) {
                older(listing);
                continue;
            }
            deadlines_.drop(anew_);
            revision_ = listing.revision;
            log_.tell(Event::discovery_told,
                      "discovery: told revision " + std::to_string(revision_) + ", entries " +
                          std::to_string(listing.entries.size()),
                      {{"revision", static_cast<std::int64_t>(revision_)},
                       {"entries", static_cast<std::int64_t>(listing.entries.size())}});
            news_.list_told(listing);
        } catch (const std::exception& fault) {
            return lost(std::string("an unreadable line: ") + fault.what());
        }
    }
    body.erase(0, from);
    if (state != HttpReader::State::more) lost("the watch has ended");
}

// Either said late, by a source that will catch up, or by one that has lost what it kept and counts anew: its
// lists would be left out for good. A whole one is the sign; time tells the two apart.
void Discovery::older(const Listing& listing) {
    log_.tell(Event::discovery_older,
              "discovery: a list of revision " + std::to_string(listing.revision) + ", older than " +
                  std::to_string(revision_) + ": left out",
              {{"revision", static_cast<std::int64_t>(listing.revision)}});
    if (listing.whole && anew_ == Deadlines::Key{})
        anew_ = deadlines_.after(2 * told_.ask_within, [this] { take_anew(); });
}

void Discovery::take_anew() {
    anew_ = {};
    if (!behind_) return;
    log_.tell(Event::discovery_lost, "discovery: behind for too long: all is asked for anew",
              {{"why", "behind for too long"}});
    ask_anew();
}

void Discovery::ended(Handle connection, std::uint32_t) {
    if (connection == connection_) lost("connection ended");
}

void Discovery::lost(const std::string& why) {
    log_.tell(Event::discovery_lost, "discovery: " + why, {{"why", why}});
    deadlines_.drop(silence_);
    if (connection_) connections_.close(connection_);
    connection_ = 0;
    news_.list_failed();
}

}  // namespace dewweir::net

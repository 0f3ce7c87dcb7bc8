#include "discovery.h"

#include <algorithm>

namespace dewweir::net {
namespace {

// Discovery sends an empty line every 2 s, and changes must be known 6 s after they happen.
constexpr Time silence_timeout = 45000;
constexpr std::size_t max_line_bytes = 8 << 20;

}  // namespace

Discovery::Discovery(const NodeContext& context, HostListListener& listener)
    : NodeContext(context),
      listener_(listener),
      address_(configuration_.discovery),
      revision_(configuration_.initial_hosts.revision) {}

void Discovery::watch() {
    if (connection_) return;
    reader_ = std::make_unique<HttpReader>(HTTP_RESPONSE, max_line_bytes);
    connection_ = connections_.open(address_, *this, 0, silence_timeout / 3);
    if (!connection_) watch_lost("no connection left");
}

void Discovery::set_address(const tcp::endpoint& address) {
    if (address == address_) return;
    address_ = address;
    // Revisions of two sources are not comparable, so everything is requested again.
    resync();
}

void Discovery::resync() {
    revision_ = 0;
    behind_ = false;
    deadlines_.cancel(resync_timer_);
    deadlines_.cancel(silence_timer_);
    if (connection_) connections_.close(connection_);
    connection_ = 0;
    watch();
}

void Discovery::opened(Handle connection, std::uint32_t, bool connected) {
    if (!connected) return watch_lost("no connection");
    log_.record(Event::discovery_asked, "discovery: asked");
    const std::string from = std::to_string(revision_);
    connections_.send(connection, {"GET /registry/instances?stream=1&index=", from,
                                   " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n"});
    restart_silence_timer();
}

void Discovery::restart_silence_timer() {
    deadlines_.cancel(silence_timer_);
    silence_timer_ = deadlines_.after(silence_timeout, [this] { watch_lost("silent"); });
}

void Discovery::received(Handle connection, std::uint32_t) {
    restart_silence_timer();
    // Lists may exceed the ring: the reader accumulates the body and each read empties the ring.
    const HttpReader::State state = reader_->read(connections_.in(connection));
    if (reader_->head_read() && reader_->status() != 200)
        return watch_lost("answers " + std::to_string(reader_->status()));
    std::string& body = reader_->body();
    std::size_t from = 0;
    for (std::size_t end; (end = body.find('\n', from)) != body.npos; from = end + 1) {
        const std::string_view line = std::string_view(body).substr(from, end - from);
        if (line.find_first_not_of(" \r\t") == line.npos) continue;
        try {
            const HostList listing = parse_host_list(line, configuration_.zones);
            behind_ = listing.revision < revision_;
            if (behind_) {
                handle_older_list(listing);
                continue;
            }
            deadlines_.cancel(resync_timer_);
            revision_ = listing.revision;
            log_.record(Event::discovery_told,
                        "discovery: told revision " + std::to_string(revision_) + ", entries " +
                            std::to_string(listing.entries.size()),
                        {{"revision", static_cast<std::int64_t>(revision_)},
                         {"entries", static_cast<std::int64_t>(listing.entries.size())}});
            listener_.host_list_received(listing);
        } catch (const std::exception& fault) {
            return watch_lost(std::string("an unreadable line: ") + fault.what());
        }
    }
    body.erase(0, from);
    if (state != HttpReader::State::more) watch_lost("the watch has ended");
}

// An older list comes either from a source that lags and will catch up, or from one that lost its state and
// restarted its revisions, whose lists would be ignored for ever. A complete list starts a timer that tells
// the two apart.
void Discovery::handle_older_list(const HostList& listing) {
    log_.record(Event::discovery_older,
                "discovery: a list of revision " + std::to_string(listing.revision) + ", older than " +
                    std::to_string(revision_) + ": left out",
                {{"revision", static_cast<std::int64_t>(listing.revision)}});
    if (listing.complete && resync_timer_ == Deadlines::Key{})
        resync_timer_ = deadlines_.after(2 * configuration_.ask_within, [this] { resync_if_behind(); });
}

void Discovery::resync_if_behind() {
    resync_timer_ = {};
    if (!behind_) return;
    log_.record(Event::discovery_lost, "discovery: behind for too long: all is asked for anew",
                {{"why", "behind for too long"}});
    resync();
}

void Discovery::ended(Handle connection, std::uint32_t) {
    if (connection == connection_) watch_lost("connection ended");
}

void Discovery::watch_lost(const std::string& why) {
    log_.record(Event::discovery_lost, "discovery: " + why, {{"why", why}});
    deadlines_.cancel(silence_timer_);
    if (connection_) connections_.close(connection_);
    connection_ = 0;
    listener_.watch_failed();
}

}  // namespace dewweir::net

#include "host_service.h"

#include <algorithm>
#include <charconv>

namespace dewweir::rig {
namespace {

double units_of(std::string_view metering) {
    const std::size_t at = metering.find("units=");
    double units = 1;
    if (at != metering.npos)
        std::from_chars(metering.data() + at + 6, metering.data() + metering.size(), units);
    return units;
}

int place_of(const std::vector<std::string>& names, std::string_view name) {
    const auto at = std::find(names.begin(), names.end(), name);
    return at == names.end() ? -1 : static_cast<int>(at - names.begin());
}

}  // namespace

HostService::HostService(Loop& loop, const std::string& id, const model::HostTraits& traits,
                         std::uint64_t seed, const tcp::endpoint& at, Referee* referee, const Names* names)
    : loop_(loop),
      id_(id),
      host_(traits, seed),
      referee_(referee),
      names_(names),
      connections_(traits.connections),
      door_(loop, at, [this](tcp::socket socket) { welcome(std::move(socket)); }) {
    host_.start(loop.deadlines.now(), false);
}

HostService::~HostService() {
    loop_.deadlines.cancel(next_);
    ways_.each([&](std::uint32_t, Way& way) { loop_.connections.close(way.connection); });
}

void HostService::die() {
    door_.close();
    host_.die();
    loop_.deadlines.cancel(next_);
    pieces_.clear();
    std::vector<std::uint32_t> all;
    ways_.each([&](std::uint32_t mark, Way&) { all.push_back(mark); });
    for (const std::uint32_t mark : all) give_back(mark);
}

void HostService::start() {
    if (host_.up()) return;
    up_since_ = loop_.deadlines.now();
    host_.start(up_since_, true);
    door_.open();
}

void HostService::welcome(tcp::socket socket) {
    if (ways_.size() >= connections_) return;  // its table is full: the socket closes
    const std::uint32_t mark = ways_.add();
    if (!mark) return;
    Way& way = *ways_.find(mark);
    way.connection = loop_.connections.adopt(std::move(socket), *this, mark);
    if (!way.connection) return ways_.remove(mark);
    host_.connected(loop_.deadlines.now());
}

void HostService::received(net::Handle connection, std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way || way->piece) return;
    const auto state = way->reader.read(loop_.connections.in(connection));
    if (state == net::HttpReader::State::more) return;
    if (state == net::HttpReader::State::bad) {
        loop_.connections.send(connection, {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"});
        return give_back(mark);
    }
    take(mark, *way);
}

void HostService::take(std::uint32_t mark, Way& way) {
    const Time now = loop_.deadlines.now();
    const net::HttpReader& asked = way.reader;
    way.submission = asked.field("X-Request-Id");
    if (way.submission.empty()) return answer(mark, way, "404 Not Found", {}, {});
    taken_at_.push_back(now);
    const std::uint64_t piece = taken_at_.size();
    if (referee_) {
        const std::string track(asked.field("X-Class"));
        referee_->executed(now, way.submission, id_, names_ && place_of(names_->binding_tracks, track) >= 0,
                           names_ ? place_of(names_->plans, asked.field("X-Contract")) : -1,
                           std::string(asked.field("X-Client-Id")), units_of(asked.field("X-Metering")));
    }
    way.piece = piece;
    if (!host_.take(now, piece)) {
        if (host_.fallen()) {
            if (referee_) referee_->fell_over(now, id_);
            return die();
        }
        way.piece = 0;
        over(way, false);
        return answer(mark, way, "503 Service Unavailable", "X-Not-Run: 1\r\n", {});
    }
    pieces_[piece] = mark;
    look();
}

void HostService::look() {
    loop_.deadlines.cancel(next_);
    const Time due = host_.due();
    if (due < 0) return;
    next_ = loop_.deadlines.after(std::max<Time>(0, due - loop_.deadlines.now()), [this] {
        next_ = {};
        for (const model::Finished& done : host_.ended(loop_.deadlines.now())) finish(done);
        look();
    });
}

void HostService::finish(const model::Finished& done) {
    const auto found = pieces_.find(done.piece);
    if (found == pieces_.end()) return;  // its connection has ended: the work was for nobody
    const std::uint32_t mark = found->second;
    pieces_.erase(found);
    Way& way = *ways_.find(mark);
    if (cut_) return;  // it is said into the void
    way.piece = 0;
    over(way, true);
    switch (done.reply) {
        case model::Reply::delivered: return answer(mark, way, "200 OK", {}, "done by " + id_ + "\n");
        case model::Reply::error: return answer(mark, way, "500 Internal Server Error", {}, {});
        case model::Reply::spoilt:
            loop_.connections.send(way.connection,
                                   {"HTTP/1.1 2\x01\x02 noise\r\nContent-Length: -7\r\n\r\n"});
            return give_back(mark);
        case model::Reply::none: return;
    }
}

void HostService::answer(std::uint32_t mark, Way& way, std::string_view status, std::string_view fields,
                         std::string_view body) {
    loop_.connections.send(way.connection, {"HTTP/1.1 ", status, "\r\n", fields, "Content-Length: ",
                                            std::to_string(body.size()), "\r\n\r\n", body});
    const bool stays = way.reader.keep_alive();
    way.reader.next();
    if (!stays) return give_back(mark);
    if (!loop_.connections.in(way.connection).empty()) loop_.connections.redeliver(way.connection);
}

void HostService::over(Way& way, bool ran) {
    if (referee_ && !way.submission.empty()) referee_->execution_over(way.submission, ran);
    way.submission.clear();
}

void HostService::ended(net::Handle, std::uint32_t mark) { give_back(mark); }

// A piece in hand goes on: a closed connection stops no work. It counts as run.
void HostService::give_back(std::uint32_t mark) {
    Way* const way = ways_.find(mark);
    if (!way) return;
    if (way->piece) over(*way, true), pieces_.erase(way->piece);
    loop_.connections.close(way->connection);
    ways_.remove(mark);
}

}  // namespace dewweir::rig

#include "peers.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "errors/errors.h"

namespace dewweir::peers {
namespace {

using asio::ip::udp;
using members::Address;
using members::Refused;
using nlohmann::json;

constexpr Time a_second = 10000, look_every = a_second, refused_every = 10 * a_second;
constexpr int most_at_once = 256;  // datagrams of one turn: the clients' turn comes too

udp::endpoint endpoint_of(const std::string& key, const std::string& text) {
    const auto at = net::parse_address(key, text);
    return {at.address(), at.port()};
}
Address number_of(const udp::endpoint& at) {
    return static_cast<Address>(at.address().to_v4().to_uint()) << 16 | at.port();
}
udp::endpoint endpoint_of(Address at) {
    return {asio::ip::address_v4(static_cast<std::uint32_t>(at >> 16)),
            static_cast<std::uint16_t>(at & 0xffff)};
}
std::string text_of(Address at) {
    const udp::endpoint end = endpoint_of(at);
    return end.address().to_string() + ":" + std::to_string(end.port());
}

std::vector<Address> seeds_of(const MembersFile& file) {
    std::vector<Address> all;
    for (const std::string& one : file.seeds) all.push_back(number_of(endpoint_of("members.seeds", one)));
    return all;
}

}  // namespace

members::MembersTerms terms_of(const MembersFile& file) {
    members::MembersTerms terms;
    terms.period = file.period;
    terms.gossip = file.gossip;
    return terms;
}

Peers::Peers(const net::NodeContext& part, net::ReportReceiver& report_receiver, const MembersFile& file,
             const std::string& name, std::uint64_t seed, std::uint64_t instance)
    : part_(part),
      file_(file),
      name_(name),
      socket_(part.io_),
      members_(
          terms_of(file),
          {name, number_of(endpoint_of("members.listen", file.listen)), instance, 0, members::State::alive},
          seeds_of(file), seed, part.deadlines_.now()),
      live_({}) {
    for (const std::string& one : file.reach) {
        const std::size_t equals = one.find('=');
        if (equals == one.npos || equals == 0)
            throw errors::BadSetting("members.reach", "must be NAME=ADDRESS, is `" + one + "`");
        reach_[one.substr(0, equals)] = endpoint_of("members.reach", one.substr(equals + 1));
    }
    const udp::endpoint at = endpoint_of("members.listen", file.listen);
    std::error_code fault;
    socket_.open(udp::v4(), fault);
    if (!fault) socket_.bind(at, fault);
    if (!fault) socket_.non_blocking(true, fault);
    if (fault) errors::throw_of_system<errors::CannotListen>(fault.value(), "members.listen " + file.listen);
    if (!file.status.empty()) status_ = std::make_unique<state::LatestFile>(file.status);
    if (file.verdicts)
        words_ = std::make_unique<Words>(members_, report_receiver, name, instance, seed, file.rights);
    listen();
    follow();
    look_ = part_.deadlines_.after(look_every, [this] { turn(); });
}

Peers::~Peers() {
    *there_ = false;
    part_.deadlines_.cancel(next_);
    part_.deadlines_.cancel(look_);
    std::error_code ignored;
    socket_.close(ignored);
}

void Peers::listen() {
    socket_.async_wait(udp::socket::wait_read, [this, there = there_](const std::error_code& fault) {
        if (!*there || fault) return;
        part_.deadlines_.update_now();
        for (int n = 0; n < most_at_once; ++n) {
            std::error_code why;
            const std::size_t bytes = socket_.receive_from(asio::buffer(buffer_), from_, 0, why);
            if (why == asio::error::would_block) break;
            // An earlier datagram of ours found nobody: that is for the probes to find out.
            if (!why) came(bytes);
        }
        follow();
        listen();
    });
}

void Peers::came(std::size_t bytes) {
    ++received_;
    members::Envelope envelope;
    Refused why = Refused::none;
    const std::string host = from_.address().to_string();
    if (std::find(file_.from.begin(), file_.from.end(), host) == file_.from.end()) why = Refused::stranger;
    if (why == Refused::none)
        why = members::read_envelope({buffer_.data(), bytes}, file_.deployment, part_.deadlines_.now(),
                                     envelope);
    if (why == Refused::none && envelope.from != name_ &&
        !seen_.fresh(envelope.from, envelope.instance, envelope.sequence))
        why = Refused::replayed;
    if (why != Refused::none) return void(++refused_[static_cast<std::size_t>(why)]);
    members_.came(part_.deadlines_.now(), envelope.from, envelope.instance, number_of(from_),
                  envelope.message);
}

void Peers::turn() {
    const Time now = part_.deadlines_.now();
    members_.step(now);
    follow();
    // Once a second: what only time changes, and what is told seldom.
    if (look_.first <= now) {
        write_status(now);
        if (now / look_every % (refused_every / look_every) == 0) tell_refused();
        part_.deadlines_.cancel(look_);
        look_ = part_.deadlines_.after(look_every, [this] { turn(); });
    }
}

void Peers::host_status_changed(const std::string& host, bool shut) {
    if (!words_) return;
    words_->host_found(part_.deadlines_.now(), host, shut);
    soon();
}

void Peers::attempt_started(const std::string& host) {
    if (!words_) return;
    const Time due = words_->host_asked(part_.deadlines_.now(), host);
    if (due < next_.first) wake_at(due);
}

void Peers::attempt_ended(const std::string& host, AttemptOutcome outcome, Time took) {
    if (words_) words_->host_ended(part_.deadlines_.now(), host, outcome, took);
}

void Peers::host_list_received(const net::HostList& listing) {
    if (!words_) return;
    words_->list_told(part_.deadlines_.now(), listing);
    soon();
}

void Peers::publish_total(std::uint64_t name, double total) {
    if (words_ && words_->publish_total(part_.deadlines_.now(), name, total)) soon();
}

void Peers::report_shortage(const QuotaShare& of, double units) {
    if (words_ && words_->report_shortage(part_.deadlines_.now(), of, units)) soon();
}

double Peers::corroborated_total(std::uint64_t name) const {
    return words_ ? words_->corroborated_total(part_.deadlines_.now(), name) : 0;
}

void Peers::soon() {
    if (std::exchange(soon_, true)) return;
    asio::post(part_.io_, [this, there = there_] {
        if (!*there) return;
        soon_ = false;
        part_.deadlines_.update_now();
        follow();
    });
}

void Peers::follow() {
    const Time now = part_.deadlines_.now();
    if (words_) words_->follow(now);
    for (members::Sending& one : members_.take()) {
        members::Envelope envelope{file_.deployment, name_, members_.self().instance, ++sequence_,
                                   std::move(one.message)};
        const std::string bytes = members::written(envelope, now);
        const auto known = reach_.find(one.whom);
        std::error_code fault;
        socket_.send_to(asio::buffer(bytes), known == reach_.end() ? endpoint_of(one.to) : known->second, 0,
                        fault);
        // A full buffer is a lost datagram, as on the way: nothing waits for it.
        if (fault) ++not_sent_;
        else ++sent_, sent_bytes_ += bytes.size();
    }
    tell_changes(now);
    wake_at(words_ ? std::min(members_.next(), words_->next(now)) : members_.next());
}

void Peers::wake_at(Time next) {
    const Time now = part_.deadlines_.now();
    part_.deadlines_.cancel(next_);
    if (next - now < 1000 * look_every)
        next_ = part_.deadlines_.after(std::max<Time>(1, next - now), [this] { turn(); });
}

void Peers::tell_changes(Time now) {
    net::Log& log = part_.log_;
    for (const members::Update& one : members_.changes()) {
        const std::string at = text_of(one.address);
        log.record(
            net::Event::members_state,
            "member " + one.name + " at " + at + ": " + members::name_of(one.state) +
                (one.by.empty() ? "" : ", by " + one.by),
            {{"name", one.name}, {"address", at}, {"state", members::name_of(one.state)}, {"by", one.by}});
        if (words_ && one.state == members::State::dead) words_->gone(one.name);
    }
    live_.see(now, std::max<std::size_t>(1, members_.reached()));
    const auto present = static_cast<std::int64_t>(members_.present());
    const auto count = static_cast<std::int64_t>(live_.count());
    if (live_.cut_off() != cut_told_) {
        cut_told_ = live_.cut_off();
        log.record(cut_told_ ? net::Event::members_cut_off : net::Event::members_healed,
                   cut_told_ ? "members: cut off: " + std::to_string(present) + " seen; the count stays at " +
                                   std::to_string(count)
                             : "members: healed: " + std::to_string(present) + " seen",
                   {{"present", present}, {"count", count}});
    }
    if (live_.count() != count_told_) {
        count_told_ = live_.count();
        log.record(net::Event::members_count, "members: " + std::to_string(count) + " count",
                   {{"present", present}, {"count", count}});
    }
    if (members_.replaced() && !replaced_told_) {
        replaced_told_ = true;
        const std::string at = text_of(members_.replaced_by());
        log.record(
            net::Event::members_replaced,
            "members: a later process has the name " + name_ + ", at " + at + "; this one says no more",
            {{"address", at}});
    }
}

void Peers::tell_refused() {
    if (refused_ == refused_told_) return;
    const auto of = [&](Refused why) {
        const auto n = static_cast<std::size_t>(why);
        return static_cast<std::int64_t>(refused_[n] - refused_told_[n]);
    };
    const std::int64_t torn = of(Refused::torn), other = of(Refused::other_deployment),
                       version = of(Refused::unknown_version), replayed = of(Refused::replayed),
                       strangers = of(Refused::stranger);
    refused_told_ = refused_;
    part_.log_.record(net::Event::members_refused,
                      "members: datagrams dropped: torn " + std::to_string(torn) + ", other deployment " +
                          std::to_string(other) + ", unknown version " + std::to_string(version) +
                          ", replayed " + std::to_string(replayed) + ", strangers " +
                          std::to_string(strangers),
                      {{"torn", torn},
                       {"other_deployment", other},
                       {"unknown_version", version},
                       {"replayed", replayed},
                       {"strangers", strangers}});
}

json Peers::status(Time now) const {
    json all = json::array();
    for (const auto& [name, one] : members_.all())
        all.push_back({{"name", name},
                       {"address", text_of(one.is.address)},
                       {"state", members::name_of(one.is.state)},
                       {"instance", one.is.instance},
                       {"incarnation", one.is.incarnation},
                       {"for_ms", (now - one.since) / 10},
                       {"by", one.is.by}});
    json refused = json::object();
    for (std::size_t n = 1; n < refused_.size(); ++n)
        refused[members::name_of(static_cast<Refused>(n))] = refused_[n];
    const auto& tally = members_.tally();
    json told = {{"name", name_},
                 {"deployment", file_.deployment},
                 {"at_ms", now / 10},
                 {"address", text_of(members_.self().address)},
                 {"instance", members_.self().instance},
                 {"incarnation", members_.self().incarnation},
                 {"present", members_.present()},
                 {"reached", members_.reached()},
                 {"count", live_.count()},
                 {"cut_off", live_.cut_off()},
                 {"replaced", members_.replaced()},
                 {"doubt", members_.doubt()},
                 {"sent", sent_},
                 {"sent_bytes", sent_bytes_},
                 {"not_sent", not_sent_},
                 {"received", received_},
                 {"refused", refused},
                 {"probes", tally.probes},
                 {"probes_failed", tally.failed},
                 {"refuted", tally.refuted},
                 {"members", all}};
    if (words_) told["verdicts"] = words_->status(now);
    return told;
}

// While a disk holds the last one up, nothing is told anew: what stands there is old, and the log says so.
void Peers::write_status(Time now) {
    if (!status_) return;
    const bool held_up = status_->writing();
    if (!held_up) status_->write(status(now).dump(1) + '\n');
    if (status_->failed() || (held_up && !held_up_told_))
        part_.log_.record(net::Event::members_status, "members: cannot write " + file_.status,
                          {{"file", file_.status}});
    held_up_told_ = held_up;
}

void Peers::leave() {
    members_.leave(part_.deadlines_.now());
    follow();
}

}  // namespace dewweir::peers

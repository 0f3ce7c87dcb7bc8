#include "peers.h"

#include <algorithm>
#include <asio/post.hpp>
#include <nlohmann/json.hpp>

#include "errors/errors.h"

namespace dewweir::peers {
namespace {

using asio::ip::udp;
using members::Address;
using members::RejectReason;
using nlohmann::json;

constexpr Time a_second = 10000;
constexpr Time check_period = a_second;
constexpr Time refused_log_period = 10 * a_second;
constexpr int max_datagrams_per_turn = 256;  // so that client connections on the loop are served in between

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

members::MembersOptions members_options_of(const MembersFile& file) {
    members::MembersOptions options;
    options.probe_period = file.period;
    options.gossip_period = file.gossip;
    return options;
}

Peers::Peers(const net::NodeContext& part, net::ReportReceiver& report_receiver, const MembersFile& file,
             const std::string& name, std::uint64_t seed, std::uint64_t instance)
    : part_(part),
      file_(file),
      name_(name),
      socket_(part.io_),
      members_(
          members_options_of(file),
          {name, number_of(endpoint_of("members.listen", file.listen)), instance, 0, members::State::alive},
          seeds_of(file), seed, part.deadlines_.now()),
      live_count_({}) {
    for (const std::string& one : file.reach) {
        const std::size_t equals = one.find('=');
        if (equals == one.npos || equals == 0)
            throw errors::BadSetting("members.reach", "must be NAME=ADDRESS, is `" + one + "`");
        routes_[one.substr(0, equals)] = endpoint_of("members.reach", one.substr(equals + 1));
    }
    const udp::endpoint at = endpoint_of("members.listen", file.listen);
    std::error_code fault;
    socket_.open(udp::v4(), fault);
    if (!fault) socket_.bind(at, fault);
    if (!fault) socket_.non_blocking(true, fault);
    if (fault) errors::throw_of_system<errors::CannotListen>(fault.value(), "members.listen " + file.listen);
    if (!file.status.empty()) status_ = std::make_unique<state::LatestFile>(file.status);
    if (file.verdicts)
        reports_ =
            std::make_unique<ReportExchange>(members_, report_receiver, name, instance, seed, file.rights);
    listen();
    follow();
    next_check_ = part_.deadlines_.after(check_period, [this] { turn(); });
}

Peers::~Peers() {
    *alive_ = false;
    part_.deadlines_.cancel(next_);
    part_.deadlines_.cancel(next_check_);
    std::error_code ignored;
    socket_.close(ignored);
}

void Peers::listen() {
    socket_.async_wait(udp::socket::wait_read, [this, alive = alive_](const std::error_code& fault) {
        if (!*alive || fault) return;
        part_.deadlines_.update_now();
        for (int n = 0; n < max_datagrams_per_turn; ++n) {
            std::error_code why;
            const std::size_t bytes = socket_.receive_from(asio::buffer(buffer_), from_, 0, why);
            if (why == asio::error::would_block) break;
            // An ICMP error for an earlier datagram is ignored: probes detect dead members.
            if (!why) receive(bytes);
        }
        follow();
        listen();
    });
}

void Peers::receive(std::size_t bytes) {
    ++received_;
    members::Envelope envelope;
    RejectReason why = RejectReason::none;
    const std::string host = from_.address().to_string();
    if (std::find(file_.from.begin(), file_.from.end(), host) == file_.from.end())
        why = RejectReason::stranger;
    if (why == RejectReason::none)
        why = members::decode_envelope({buffer_.data(), bytes}, file_.deployment, part_.deadlines_.now(),
                                       envelope);
    if (why == RejectReason::none && envelope.from != name_ &&
        !replay_filter_.accept(envelope.from, envelope.instance, envelope.sequence))
        why = RejectReason::replayed;
    if (why != RejectReason::none) return void(++refused_[static_cast<std::size_t>(why)]);
    members_.receive(part_.deadlines_.now(), envelope.from, envelope.instance, number_of(from_),
                     envelope.message);
}

void Peers::turn() {
    const Time now = part_.deadlines_.now();
    members_.step(now);
    follow();
    // Once a second: the status file, and less often the count of dropped datagrams.
    if (next_check_.first <= now) {
        write_status(now);
        if (now / check_period % (refused_log_period / check_period) == 0) log_refused();
        part_.deadlines_.cancel(next_check_);
        next_check_ = part_.deadlines_.after(check_period, [this] { turn(); });
    }
}

void Peers::host_status_changed(const std::string& host, bool shut) {
    if (!reports_) return;
    reports_->host_status_changed(part_.deadlines_.now(), host, shut);
    schedule_follow();
}

void Peers::attempt_started(const std::string& host) {
    if (!reports_) return;
    const Time due = reports_->attempt_started(part_.deadlines_.now(), host);
    if (due < next_.first) wake_at(due);
}

void Peers::attempt_ended(const std::string& host, AttemptOutcome outcome, Time took) {
    if (reports_) reports_->attempt_ended(part_.deadlines_.now(), host, outcome, took);
}

void Peers::host_list_received(const net::HostList& listing) {
    if (!reports_) return;
    reports_->host_list_received(part_.deadlines_.now(), listing);
    schedule_follow();
}

void Peers::publish_total(std::uint64_t name, double total) {
    if (reports_ && reports_->publish_total(part_.deadlines_.now(), name, total)) schedule_follow();
}

void Peers::report_shortage(const QuotaShare& of, double units) {
    if (reports_ && reports_->report_shortage(part_.deadlines_.now(), of, units)) schedule_follow();
}

double Peers::corroborated_total(std::uint64_t name) const {
    return reports_ ? reports_->corroborated_total(part_.deadlines_.now(), name) : 0;
}

void Peers::schedule_follow() {
    if (std::exchange(follow_scheduled_, true)) return;
    asio::post(part_.io_, [this, alive = alive_] {
        if (!*alive) return;
        follow_scheduled_ = false;
        part_.deadlines_.update_now();
        follow();
    });
}

void Peers::follow() {
    const Time now = part_.deadlines_.now();
    if (reports_) reports_->follow(now);
    for (members::OutgoingMessage& one : members_.take_outgoing()) {
        members::Envelope envelope{file_.deployment, name_, members_.self().instance, ++sequence_,
                                   std::move(one.message)};
        const std::string bytes = members::encode_envelope(envelope, now);
        const auto known = routes_.find(one.target);
        std::error_code fault;
        socket_.send_to(asio::buffer(bytes), known == routes_.end() ? endpoint_of(one.to) : known->second, 0,
                        fault);
        // A full socket buffer counts as a lost datagram: nothing is retried.
        if (fault) ++not_sent_;
        else {
            ++sent_;
            sent_bytes_ += bytes.size();
        }
    }
    log_changes(now);
    wake_at(reports_ ? std::min(members_.next(), reports_->next(now)) : members_.next());
}

void Peers::wake_at(Time next) {
    const Time now = part_.deadlines_.now();
    part_.deadlines_.cancel(next_);
    if (next - now < 1000 * check_period)
        next_ = part_.deadlines_.after(std::max<Time>(1, next - now), [this] { turn(); });
}

void Peers::log_changes(Time now) {
    net::Log& log = part_.log_;
    for (const members::Update& one : members_.take_changes()) {
        const std::string at = text_of(one.address);
        log.record(
            net::Event::members_state,
            "member " + one.name + " at " + at + ": " + members::name_of(one.state) +
                (one.by.empty() ? "" : ", by " + one.by),
            {{"name", one.name}, {"address", at}, {"state", members::name_of(one.state)}, {"by", one.by}});
        if (reports_ && one.state == members::State::dead) reports_->origin_removed(one.name);
    }
    live_count_.update(now, std::max<std::size_t>(1, members_.reachable_count()));
    const auto present = static_cast<std::int64_t>(members_.present_count());
    const auto count = static_cast<std::int64_t>(live_count_.count());
    if (live_count_.cut_off() != cut_logged_) {
        cut_logged_ = live_count_.cut_off();
        log.record(cut_logged_ ? net::Event::members_cut_off : net::Event::members_healed,
                   cut_logged_
                       ? "members: cut off: " + std::to_string(present) +
                             " members present; quotas stay divided by " + std::to_string(count)
                       : "members: no longer cut off: " + std::to_string(present) + " members present",
                   {{"present", present}, {"count", count}});
    }
    if (live_count_.count() != count_logged_) {
        count_logged_ = live_count_.count();
        log.record(net::Event::members_count,
                   "members: " + std::to_string(count) + " gateways share the quotas",
                   {{"present", present}, {"count", count}});
    }
    if (members_.replaced() && !replaced_logged_) {
        replaced_logged_ = true;
        const std::string at = text_of(members_.replaced_by());
        log.record(net::Event::members_replaced,
                   "members: a later process uses the name " + name_ + ", at " + at +
                       "; this one sends nothing more: stop one of the two",
                   {{"address", at}});
    }
}

void Peers::log_refused() {
    if (refused_ == refused_logged_) return;
    const auto of = [&](RejectReason why) {
        const auto n = static_cast<std::size_t>(why);
        return static_cast<std::int64_t>(refused_[n] - refused_logged_[n]);
    };
    const std::int64_t torn = of(RejectReason::torn), other = of(RejectReason::other_deployment),
                       version = of(RejectReason::unknown_version), replayed = of(RejectReason::replayed),
                       strangers = of(RejectReason::stranger);
    refused_logged_ = refused_;
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
    for (const auto& [name, one] : members_.others())
        all.push_back({{"name", name},
                       {"address", text_of(one.update.address)},
                       {"state", members::name_of(one.update.state)},
                       {"instance", one.update.instance},
                       {"incarnation", one.update.incarnation},
                       {"for_ms", (now - one.since) / 10},
                       {"by", one.update.by}});
    json refused = json::object();
    for (std::size_t n = 1; n < refused_.size(); ++n)
        refused[members::name_of(static_cast<RejectReason>(n))] = refused_[n];
    const auto& counters = members_.counters();
    json fields = {{"name", name_},
                   {"deployment", file_.deployment},
                   {"at_ms", now / 10},
                   {"address", text_of(members_.self().address)},
                   {"instance", members_.self().instance},
                   {"incarnation", members_.self().incarnation},
                   {"present", members_.present_count()},
                   {"reached", members_.reachable_count()},
                   {"count", live_count_.count()},
                   {"cut_off", live_count_.cut_off()},
                   {"replaced", members_.replaced()},
                   {"doubt", members_.health_score()},
                   {"sent", sent_},
                   {"sent_bytes", sent_bytes_},
                   {"not_sent", not_sent_},
                   {"received", received_},
                   {"refused", refused},
                   {"probes", counters.probes},
                   {"probes_failed", counters.failed},
                   {"refuted", counters.refuted},
                   {"members", all}};
    if (reports_) fields["verdicts"] = reports_->status(now);
    return fields;
}

// While a slow disk delays the previous write, no new status is written; the log says that the file is stale.
void Peers::write_status(Time now) {
    if (!status_) return;
    const bool held_up = status_->writing();
    if (!held_up) status_->write(status(now).dump(1) + '\n');
    if (status_->failed() || (held_up && !held_up_logged_))
        part_.log_.record(net::Event::members_status, "members: cannot write " + file_.status,
                          {{"file", file_.status}});
    held_up_logged_ = held_up;
}

void Peers::leave() {
    members_.leave(part_.deadlines_.now());
    follow();
}

}  // namespace dewweir::peers

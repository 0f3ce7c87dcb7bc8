#include "gateway/counters.h"

#include <xxhash.h>

#include <random>

#include "transport/addresses.h"

namespace dewweir::gateway {
namespace {

constexpr std::int64_t windows_kept = 8;
constexpr runtime::Time forget_interval = 10 * runtime::tenths_per_second;

}  // namespace

double HeldCounts::add(runtime::Time now, std::uint64_t tenant, runtime::Time window, std::uint32_t age,
                       double units) {
    if (window <= 0 || age > 1) return 0;
    Count& count = counts_[{tenant, window}];
    const std::int64_t number = now / window;
    if (number != count.window) {
        count.previous = number == count.window + 1 ? count.current : 0;
        count.current = 0;
        count.window = number;
    }
    double& total = age == 0 ? count.current : count.previous;
    total += units;
    return total;
}

void HeldCounts::forget_idle(runtime::Time now) {
    std::erase_if(counts_, [&](const auto& item) {
        return now / item.first.second - item.second.window > windows_kept;
    });
}

void Placement::update(const std::map<std::string, wire::Member>& members) {
    gateways_.clear();
    for (const auto& [node, member] : members) {
        if (member.role != wire::Role::gateway) continue;
        gateways_.emplace_back(XXH3_64bits(node.data(), node.size()), node);
    }
}

const std::string& Placement::holder_of(std::uint64_t tenant) const {
    static const std::string nobody;
    const std::string* holder = &nobody;
    std::uint64_t highest = 0;
    for (const auto& [hash, node] : gateways_) {
        const std::uint64_t both[] = {hash, tenant};
        const std::uint64_t score = XXH3_64bits(both, sizeof both);
        if (holder != &nobody && score <= highest) continue;
        holder = &node;
        highest = score;
    }
    return *holder;
}

Counters::Counters(runtime::EventLoop& loop, std::string self, runtime::Time limit)
    : loop_(loop),
      self_(std::move(self)),
      limit_(limit),
      life_(std::random_device{}()),
      datagrams_(loop, [this](const asio::ip::udp::endpoint& from, const wire::Message& message) {
          received(from, message);
      }) {}

std::optional<std::string> Counters::bind(const asio::ip::udp::endpoint& address) { return datagrams_.bind(address); }

void Counters::members_changed(const std::map<std::string, wire::Member>& members) {
    placement_.update(members);
    addresses_.clear();
    for (const auto& [node, member] : members) {
        const auto endpoint = settings::parse_endpoint(member.internal);
        if (member.role == wire::Role::gateway && endpoint) addresses_[node] = transport::udp_endpoint(*endpoint);
    }
}

void Counters::count(std::uint64_t tenant, runtime::Time window, std::uint32_t age, double units, Counted done) {
    if (loop_.now() - forgot_at_ > forget_interval) {
        held_.forget_idle(loop_.now());
        forgot_at_ = loop_.now();
    }
    const std::string& holder = placement_.holder_of(tenant);
    if (holder == self_ || holder.empty()) {
        const double total = held_.add(loop_.now(), tenant, window, age, units);
        loop_.post([done = std::move(done), total] { done(Verdict::ok, total, 0); });
        return;
    }
    const std::uint64_t sequence = ++sequence_;
    Call& call = calls_[sequence];
    call.done = std::move(done);
    call.sent = loop_.now();
    call.deadline = loop_.deadlines().after(limit_, [this, sequence] { over(sequence, Verdict::timeout, 0); });
    wire::CountRequest request;
    request.sequence = sequence;
    request.life = life_;
    request.tenant = tenant;
    request.window_ms = static_cast<std::uint32_t>(window / runtime::tenths_per_millisecond);
    request.age = age;
    request.units = units;
    datagrams_.send(addresses_.at(holder), request);
}

void Counters::received(const asio::ip::udp::endpoint& from, const wire::Message& message) {
    if (const auto* const request = std::get_if<wire::CountRequest>(&message)) {
        const runtime::Time window = request->window_ms * runtime::tenths_per_millisecond;
        const double total = held_.add(loop_.now(), request->tenant, window, request->age, request->units);
        datagrams_.send(from, wire::CountReply{request->sequence, request->life, total});
        return;
    }
    const auto* const reply = std::get_if<wire::CountReply>(&message);
    if (reply && reply->life == life_) over(reply->sequence, Verdict::ok, reply->total);
}

void Counters::over(std::uint64_t sequence, Verdict verdict, double total) {
    const auto found = calls_.find(sequence);
    if (found == calls_.end()) return;
    Call call = std::move(found->second);
    calls_.erase(found);
    loop_.deadlines().drop(call.deadline);
    call.done(verdict, total, loop_.now() - call.sent);
}

}  // namespace dewweir::gateway

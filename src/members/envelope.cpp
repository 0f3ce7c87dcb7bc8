#include "envelope.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dewweir::members {
namespace {

using nlohmann::json;

constexpr std::size_t checksum_bytes = 8;
constexpr std::size_t max_name_bytes = 200;

std::string checksum_of(std::string_view bytes) {
    const std::uint64_t sum = XXH64(bytes.data(), bytes.size(), 0);
    std::string text;
    for (std::size_t n = 0; n < checksum_bytes; ++n) text += static_cast<char>(sum >> (8 * n));
    return text;
}

json::binary_t binary(const std::string& bytes) {
    return json::binary_t(std::vector<std::uint8_t>(bytes.begin(), bytes.end()));
}

// Both throw a json exception where a field is missing or of another type; decode_envelope reports it as
// torn.
std::string text_at(const json& from, const char* key) {
    const std::string text = from.at(key).get<std::string>();
    if (text.size() > max_name_bytes) throw json::other_error::create(600, "a name too long", nullptr);
    return text;
}
template <class Number> Number number_at(const json& from, const char* key) {
    const json& at = from.at(key);
    if (!at.is_number_unsigned()) throw json::other_error::create(601, "no whole number", nullptr);
    const auto number = at.get<std::uint64_t>();
    if (number > std::numeric_limits<Number>::max())
        throw json::other_error::create(602, "out of range", nullptr);
    return static_cast<Number>(number);
}

json encode(const Update& u) {
    json all = {{"n", u.name}, {"a", u.address}, {"p", u.instance}};
    if (u.incarnation) all["i"] = u.incarnation;
    if (u.state != State::alive) all["s"] = static_cast<unsigned>(u.state);
    if (!u.by.empty()) all["b"] = u.by;
    return all;
}
Update update_of(const json& from) {
    Update u{text_at(from, "n"), number_at<Address>(from, "a"), number_at<std::uint64_t>(from, "p")};
    if (from.contains("i")) u.incarnation = number_at<std::uint32_t>(from, "i");
    if (from.contains("s")) {
        const auto state = number_at<std::uint8_t>(from, "s");
        if (state > static_cast<std::uint8_t>(State::left))
            throw json::other_error::create(603, "no such state", nullptr);
        u.state = static_cast<State>(state);
    }
    if (from.contains("b")) u.by = text_at(from, "b");
    return u;
}

constexpr Time max_age = 36000000;  // one hour: of an item's time to live, and so of its age

json encode(const GossipItem& w, Time now) {
    return {{"k", w.key},
            {"r", w.sequence},
            {"a", static_cast<std::uint64_t>(std::clamp<Time>(now - w.created_at, 0, max_age))},
            {"l", static_cast<std::uint64_t>(std::clamp<Time>(w.time_to_live, 0, max_age))},
            {"v", binary(w.payload)}};
}
GossipItem item_of(const json& from, Time now) {
    const auto& bytes = from.at("v").get_binary();
    const auto age = number_at<std::uint32_t>(from, "a");
    const auto life = number_at<std::uint32_t>(from, "l");
    return {text_at(from, "k"), number_at<std::uint64_t>(from, "r"), now - std::min<Time>(age, max_age),
            std::min<Time>(life, max_age), std::string(bytes.begin(), bytes.end())};
}

}  // namespace

const char* name_of(RejectReason why) {
    static const char* const names[] = {"none",     "torn",    "other_deployment", "unknown_version",
                                        "replayed", "stranger"};
    return names[static_cast<int>(why)];
}

std::string encode_envelope(const Envelope& e, Time now) {
    const Message& m = e.message;
    json all = {{"v", static_cast<unsigned>(envelope_version)},
                {"d", e.deployment},
                {"f", e.from},
                {"p", e.instance},
                {"q", e.sequence},
                {"k", static_cast<unsigned>(m.kind)}};
    if (m.number) all["t"] = m.number;
    if (!m.target.empty()) {
        all["m"] = m.target;
        all["ma"] = m.target_address;
    }
    if (m.more) all["o"] = true;
    for (const Update& one : m.updates) all["u"].push_back(encode(one));
    for (const GossipItem& one : m.items) all["w"].push_back(encode(one, now));
    std::string bytes;
    json::to_cbor(all, bytes);
    return checksum_of(bytes) + bytes;
}

RejectReason decode_envelope(std::string_view bytes, const std::string& deployment, Time now,
                             Envelope& into) {
    if (bytes.size() < checksum_bytes || bytes.size() > 2 * max_datagram_bytes) return RejectReason::torn;
    const std::string_view body = bytes.substr(checksum_bytes);
    if (checksum_of(body) != bytes.substr(0, checksum_bytes)) return RejectReason::torn;
    const json all = json::from_cbor(body, true, false);
    if (!all.is_object()) return RejectReason::torn;
    try {
        // The version number rises only where older versions must not read on: added fields are ignored.
        if (number_at<unsigned>(all, "v") != envelope_version) return RejectReason::unknown_version;
        if (text_at(all, "d") != deployment) return RejectReason::other_deployment;
        into = {deployment,
                text_at(all, "f"),
                number_at<std::uint64_t>(all, "p"),
                number_at<std::uint64_t>(all, "q"),
                {}};
        Message& m = into.message;
        const auto kind = number_at<std::uint8_t>(all, "k");
        if (kind >= static_cast<std::uint8_t>(MessageKind::count)) return RejectReason::unknown_version;
        m.kind = static_cast<MessageKind>(kind);
        if (all.contains("t")) m.number = number_at<std::uint64_t>(all, "t");
        if (all.contains("m")) {
            m.target = text_at(all, "m");
            m.target_address = number_at<Address>(all, "ma");
        }
        if (all.contains("o")) m.more = all.at("o").get<bool>();
        if (all.contains("u"))
            for (const json& one : all.at("u")) m.updates.push_back(update_of(one));
        if (all.contains("w"))
            for (const json& one : all.at("w")) m.items.push_back(item_of(one, now));
    } catch (const json::exception&) { return RejectReason::torn; }
    return into.from.empty() ? RejectReason::torn : RejectReason::none;
}

bool ReplayFilter::accept(const std::string& from, std::uint64_t instance, std::uint64_t sequence) {
    constexpr std::uint64_t window = 64;
    const std::pair key{from, instance};
    if (!senders_.contains(key) && senders_.size() >= max_senders) senders_.erase(senders_.begin());
    const auto [at, unknown] = senders_.try_emplace(key, Sender{sequence, 0});
    Sender& sender = at->second;
    if (unknown) return true;
    if (sequence > sender.newest) {
        const std::uint64_t by = sequence - sender.newest;
        sender.before = by >= window ? 0 : sender.before << by;
        if (by <= window) sender.before |= std::uint64_t{1} << (by - 1);
        sender.newest = sequence;
        return true;
    }
    const std::uint64_t back = sender.newest - sequence;
    if (back == 0 || back > window) return false;
    const std::uint64_t bit = std::uint64_t{1} << (back - 1);
    if (sender.before & bit) return false;
    sender.before |= bit;
    return true;
}

}  // namespace dewweir::members

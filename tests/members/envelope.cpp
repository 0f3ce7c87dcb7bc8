// Envelopes on the wire: truncated, foreign, newer and replayed ones are told apart; merging of updates does
// not depend on their order.
#include "members/envelope.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <nlohmann/json.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "members/spread.h"

using namespace dewweir::members;

namespace {

Envelope example() {
    Message m{MessageKind::ping, 77, "x", 99};
    m.updates = {{"gateway-1", 4711, 1796172000000, 3, State::suspect, "gateway-2"}, {"g", 1, 2}};
    m.items = {{"host/7", 12, 400, 5000, std::string("\0\xff bytes", 8)}};
    return {"checks", "gateway-1", 1796172000000, 42, m};
}

std::string sealed(const nlohmann::json& all) {
    std::string body, sum;
    nlohmann::json::to_cbor(all, body);
    const std::uint64_t hash = XXH64(body.data(), body.size(), 0);
    for (int n = 0; n < 8; ++n) sum += static_cast<char>(hash >> (8 * n));
    return sum + body;
}

}  // namespace

TEST_CASE("an envelope survives encoding and decoding; one truncated or corrupted anywhere is rejected") {
    const std::string bytes = encode_envelope(example(), 1000);
    Envelope read;
    REQUIRE(decode_envelope(bytes, "checks", 1000, read) == RejectReason::none);
    CHECK(read == example());
    CHECK(decode_envelope(bytes, "other", 1000, read) == RejectReason::other_deployment);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(decode_envelope(std::string_view(bytes).substr(0, n), "checks", 1000, read) ==
              RejectReason::torn);
        std::string flipped = bytes;
        flipped[n] = static_cast<char>(flipped[n] ^ 0x10);
        CHECK(decode_envelope(flipped, "checks", 1000, read) == RejectReason::torn);
    }
}

TEST_CASE("old and new versions: unknown fields are ignored, an unknown envelope version is rejected") {
    nlohmann::json all = nlohmann::json::from_cbor(encode_envelope(example(), 1000).substr(8));
    Envelope read;
    all["z"] = {1, 2, 3};  // fields of a newer version, at every level
    all["u"][0]["zz"] = "more";
    all["w"][0]["zz"] = 7.5;
    CHECK(decode_envelope(sealed(all), "checks", 1000, read) == RejectReason::none);
    CHECK(read == example());
    nlohmann::json least = {{"v", 1}, {"d", "checks"}, {"f", "a"}, {"p", 1}, {"q", 1}, {"k", 4}};
    CHECK(decode_envelope(sealed(least), "checks", 1000, read) ==
          RejectReason::none);  // from an older version with fewer fields
    all["v"] = 2;
    CHECK(decode_envelope(sealed(all), "checks", 1000, read) == RejectReason::unknown_version);
    for (const auto& wrong : {nlohmann::json(-1), nlohmann::json("x"), nlohmann::json(nullptr)}) {
        nlohmann::json bad = least;
        bad["q"] = wrong;
        CHECK(decode_envelope(sealed(bad), "checks", 1000, read) == RejectReason::torn);
    }
    for (const char* const missing : {"v", "d", "f", "p", "q", "k"}) {
        nlohmann::json bad = least;
        bad.erase(missing);
        CHECK(decode_envelope(sealed(bad), "checks", 1000, read) == RejectReason::torn);
    }
}

TEST_CASE("fill never exceeds its byte limit, whatever the names and items") {
    boost::random::mt19937 chance(3);
    for (int play = 0; play < 200; ++play) {
        Spread spread;
        for (int n = 0; n < 100; ++n) {
            const auto length = boost::random::uniform_int_distribution<std::size_t>(1, 100)(chance);
            const auto large = static_cast<std::uint64_t>(chance()) << 32 | chance();
            spread.put(Update{std::string(length, 'n') + std::to_string(n), large, large, 4000000000u,
                              State::suspect, std::string(length, 'b')});
            spread.put(
                GossipItem{"w" + std::to_string(n), large, 0, 36000000, std::string(2 * length, '\xff')});
        }
        Envelope envelope{
            std::string(60, 'd'), std::string(60, 'f'), ~0ull, ~0ull, {MessageKind::ping_request, ~0ull}};
        // Entries that the message already contains count towards the limit.
        const std::string own(100, 'o');
        envelope.message.updates.push_back({own, ~0ull, ~0ull, ~0u, State::suspect, own});
        spread.fill(envelope.message, max_gossip_bytes, 8, 5);
        CHECK(envelope.message.updates.size() > 1);
        CHECK(envelope.message.items.size() > 0);
        CHECK(encode_envelope(envelope, 5).size() <= max_datagram_bytes);
    }
}

TEST_CASE("an item's age travels with it, independent of clocks, and an expired item is not passed on") {
    Envelope read;
    REQUIRE(decode_envelope(encode_envelope(example(), 900), "checks", 77000, read) == RejectReason::none);
    CHECK(read.message.items[0].created_at == 77000 - 500);
    CHECK_FALSE(read.message.items[0].is_expired(77000 + 4499));
    CHECK(read.message.items[0].is_expired(77000 + 4500));
    Spread spread;
    spread.put(example().message.items[0]);
    Message message;
    spread.fill(message, max_gossip_bytes, 8, 5399);
    CHECK(message.items.size() == 1);
    spread.fill(message, max_gossip_bytes, 8, 5400);
    CHECK(message.items.size() == 1);
    CHECK(spread.empty());
}

TEST_CASE("each entry is sent a bounded number of times, the least sent first, and a later one replaces it") {
    Spread spread;
    for (int n = 0; n < 60; ++n) spread.put(Update{"member-" + std::to_string(n), 1, 1});
    std::map<std::string, int> told;
    while (!spread.empty()) {
        Message message;
        spread.fill(message, max_gossip_bytes, 3, 5);
        REQUIRE(message.updates.size() > 0);
        for (const Update& one : message.updates) ++told[one.name];
    }
    CHECK(told.size() == 60);
    CHECK(std::all_of(told.begin(), told.end(), [](const auto& one) { return one.second == 3; }));
}

TEST_CASE("a datagram is accepted once in any order; one older than the window is rejected") {
    ReplayFilter seen;
    for (const std::uint64_t n : {5, 3, 9, 4, 8, 72, 10}) CHECK(seen.accept("a", 1, n));
    for (const std::uint64_t n : {5, 3, 9, 4, 8, 72, 10, 1}) CHECK_FALSE(seen.accept("a", 1, n));
    CHECK(seen.accept("b", 1, 5));
    CHECK(seen.accept("a", 2, 1));  // a later process starts its own sequence
}

TEST_CASE("merging updates in any order, any number of times, gives the same result") {
    boost::random::mt19937 chance(11);
    const auto draw = [&](int most) { return boost::random::uniform_int_distribution<>(0, most)(chance); };
    for (int play = 0; play < 300; ++play) {
        std::vector<Update> said;
        for (int n = 0; n < 12; ++n)
            said.push_back({"x", 1, static_cast<std::uint64_t>(draw(2)), static_cast<std::uint32_t>(draw(2)),
                            static_cast<State>(draw(3))});
        const auto merged = [&](const std::vector<Update>& all) {
            Update held = all[0];
            for (const Update& one : all)
                if (supersedes(one, held)) held = one;
            return std::tuple(held.instance, held.incarnation, held.state);
        };
        const auto once = merged(said);
        for (int order = 0; order < 5; ++order) {
            for (std::size_t n = said.size(); n > 1; --n)
                std::swap(said[n - 1], said[static_cast<std::size_t>(draw(static_cast<int>(n) - 1))]);
            CHECK(merged(said) == once);
            said.push_back(said[0]);
        }
    }
}

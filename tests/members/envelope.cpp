// The envelope on the wire: what is torn, foreign, newer or came before is told apart; merging has no order.
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
    Message m{Kind::ping, 77, "x", 99};
    m.updates = {{"gateway-1", 4711, 1796172000000, 3, State::suspect, "gateway-2"}, {"g", 1, 2}};
    m.words = {{"host/7", 12, 400, 5000, std::string("\0\xff bytes", 8)}};
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

TEST_CASE("an envelope comes back as it was, and one torn or flipped anywhere is none") {
    const std::string bytes = written(example(), 1000);
    Envelope read;
    REQUIRE(read_envelope(bytes, "checks", 1000, read) == Refused::none);
    CHECK(read == example());
    CHECK(read_envelope(bytes, "other", 1000, read) == Refused::other_deployment);
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        CHECK(read_envelope(std::string_view(bytes).substr(0, n), "checks", 1000, read) == Refused::torn);
        std::string flipped = bytes;
        flipped[n] = static_cast<char>(flipped[n] ^ 0x10);
        CHECK(read_envelope(flipped, "checks", 1000, read) == Refused::torn);
    }
}

TEST_CASE(
    "old and new side by side: further fields are passed over, a version that must not be read is refused") {
    nlohmann::json all = nlohmann::json::from_cbor(written(example(), 1000).substr(8));
    Envelope read;
    all["z"] = {1, 2, 3};  // of a newer one, everywhere
    all["u"][0]["zz"] = "more";
    all["w"][0]["zz"] = 7.5;
    CHECK(read_envelope(sealed(all), "checks", 1000, read) == Refused::none);
    CHECK(read == example());
    nlohmann::json least = {{"v", 1}, {"d", "checks"}, {"f", "a"}, {"p", 1}, {"q", 1}, {"k", 4}};
    CHECK(read_envelope(sealed(least), "checks", 1000, read) ==
          Refused::none);  // of an older one, which says less
    all["v"] = 2;
    CHECK(read_envelope(sealed(all), "checks", 1000, read) == Refused::unknown_version);
    for (const auto& wrong : {nlohmann::json(-1), nlohmann::json("x"), nlohmann::json(nullptr)}) {
        nlohmann::json bad = least;
        bad["q"] = wrong;
        CHECK(read_envelope(sealed(bad), "checks", 1000, read) == Refused::torn);
    }
    for (const char* const missing : {"v", "d", "f", "p", "q", "k"}) {
        nlohmann::json bad = least;
        bad.erase(missing);
        CHECK(read_envelope(sealed(bad), "checks", 1000, read) == Refused::torn);
    }
}

TEST_CASE("what is filled in keeps to its bytes, whatever names and words are") {
    boost::random::mt19937 chance(3);
    for (int play = 0; play < 200; ++play) {
        Spread spread;
        for (int n = 0; n < 100; ++n) {
            const auto length = boost::random::uniform_int_distribution<std::size_t>(1, 100)(chance);
            const auto large = static_cast<std::uint64_t>(chance()) << 32 | chance();
            spread.put(Update{std::string(length, 'n') + std::to_string(n), large, large, 4000000000u,
                              State::suspect, std::string(length, 'b')});
            spread.put(Word{"w" + std::to_string(n), large, 0, 36000000, std::string(2 * length, '\xff')});
        }
        Envelope envelope{std::string(60, 'd'), std::string(60, 'f'), ~0ull, ~0ull, {Kind::request, ~0ull}};
        // What is in there already takes its part of the room.
        const std::string own(100, 'o');
        envelope.message.updates.push_back({own, ~0ull, ~0ull, ~0u, State::suspect, own});
        spread.fill(envelope.message, room_bytes, 8, 5);
        CHECK(envelope.message.updates.size() > 1);
        CHECK(envelope.message.words.size() > 0);
        CHECK(written(envelope, 5).size() <= most_bytes);
    }
}

TEST_CASE("a word has its age with it, whatever the clocks say, and past its life it is passed on no more") {
    Envelope read;
    REQUIRE(read_envelope(written(example(), 900), "checks", 77000, read) == Refused::none);
    CHECK(read.message.words[0].born == 77000 - 500);
    CHECK_FALSE(read.message.words[0].past(77000 + 4499));
    CHECK(read.message.words[0].past(77000 + 4500));
    Spread spread;
    spread.put(example().message.words[0]);
    Message message;
    spread.fill(message, room_bytes, 8, 5399);
    CHECK(message.words.size() == 1);
    spread.fill(message, room_bytes, 8, 5400);
    CHECK(message.words.size() == 1);
    CHECK(spread.empty());
}

TEST_CASE("each is passed on in so many messages, the least told first, and a later one takes its place") {
    Spread spread;
    for (int n = 0; n < 60; ++n) spread.put(Update{"member-" + std::to_string(n), 1, 1});
    std::map<std::string, int> told;
    while (!spread.empty()) {
        Message message;
        spread.fill(message, room_bytes, 3, 5);
        REQUIRE(message.updates.size() > 0);
        for (const Update& one : message.updates) ++told[one.name];
    }
    CHECK(told.size() == 60);
    CHECK(std::all_of(told.begin(), told.end(), [](const auto& one) { return one.second == 3; }));
}

TEST_CASE("a datagram counts once, in whatever order; what is too old to tell is not taken") {
    Seen seen;
    for (const std::uint64_t n : {5, 3, 9, 4, 8, 72, 10}) CHECK(seen.fresh("a", 1, n));
    for (const std::uint64_t n : {5, 3, 9, 4, 8, 72, 10, 1}) CHECK_FALSE(seen.fresh("a", 1, n));
    CHECK(seen.fresh("b", 1, 5));
    CHECK(seen.fresh("a", 2, 1));  // a process that follows counts anew
}

TEST_CASE("merging: in any order, any number of times, to the same") {
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
                if (later(one, held)) held = one;
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

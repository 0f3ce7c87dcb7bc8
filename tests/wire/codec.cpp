// Messages come back from their bytes as they were; bytes that are no message are refused.
#include "wire/codec.h"

#include <catch2/catch.hpp>
#include <random>
#include <tuple>

using namespace dewweir;
using namespace dewweir::wire;

namespace {

constexpr std::size_t answer_kind = std::variant_size_v<Message> - 2;  // of CountAnswer

Member some_member() {
    return {"node-1",      7,   Role::control_plane, "zone-a", "region-1", "10.0.0.1:8400", "10.0.0.1:80",
            "10.0.0.1:81", true};
}

Instance some_instance() {
    return {"i-1", "cart", "10.0.0.9:80", "zone-b", 12, InstanceState::draining, 1500};
}

consensus::Entry some_entry() {
    consensus::Entry entry;
    entry.term = 3;
    entry.index = 6;
    entry.kind = consensus::EntryKind::membership;
    entry.payload = "bytes";
    entry.membership = {{{1, "10.0.0.1:7000"}}, {{2, "10.0.0.2:7000"}}};
    return entry;
}

// As builds before 2026-12 have it.
struct EarlierMembersUpdate {
    Revision revision;
    std::vector<Member> members;
    MSGPACK_DEFINE(revision, members);
};

// One of every kind, in the order of Message.
std::vector<Message> all_kinds() {
    return {
        Hello{protocol_version, some_member()},
        Heartbeat{3, 1ull << 40, "10.0.0.1:81", 1ull << 41, 1ull << 42, 700},
        ConfigurationUpdate{4, std::string("{\"a\":\0}", 7)},
        EvacuationsUpdate{5, {"zone-a", ""}},
        InstancesUpdate{{2, 9}, true, {some_instance(), {}}, {"i-2"}},
        MembersUpdate{{2, 10}, {some_member(), {}}, false},
        MemberChanged{some_member()},
        MembersReport{{some_member()}},
        wrap({{1, "10.0.0.1:7000"},
              {2, "10.0.0.2:7000"},
              consensus::AppendRequest{3, 4, 5, 6, {some_entry()}}}),
        JoinRequest{{9, "10.0.0.3:7000"}},
        CountStatement{1ull << 63, 2, 3, 1500, 20, 0.25, 7, false},
        CountAnswer{6, 7, 8, 1e300, 9},
        Probe{},
    };
}

template <class... Arguments> std::string packed(const Arguments&... values) {
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(sizeof...(values));
    (packer.pack(values), ...);
    return {buffer.data(), buffer.size()};
}

}  // namespace

TEST_CASE("every kind of message comes back as it was") {
    const std::vector<Message> messages = all_kinds();
    REQUIRE(messages.size() == std::variant_size_v<Message>);
    for (std::size_t kind = 0; kind < messages.size(); ++kind) {
        CAPTURE(kind);
        REQUIRE(messages[kind].index() == kind);
        const std::string bytes = encode(messages[kind]);
        const std::optional<Message> decoded = decode(bytes);
        REQUIRE(decoded);
        CHECK(decoded->index() == kind);
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE("fields keep their values") {
    const auto hello = std::get<Hello>(*decode(encode(Hello{protocol_version, some_member()})));
    CHECK(hello.protocol == protocol_version);
    CHECK(hello.self == some_member());
    const auto update =
        std::get<InstancesUpdate>(*decode(encode(InstancesUpdate{{2, 9}, true, {some_instance()}, {"x"}})));
    CHECK(update.revision == Revision{2, 9});
    CHECK(update.whole);
    CHECK(update.changed == std::vector{some_instance()});
    CHECK(update.gone == std::vector<std::string>{"x"});
    const auto statement =
        std::get<CountStatement>(*decode(encode(CountStatement{1, 2, 3, 1500, 20, 0.25, 7, false})));
    CHECK(statement.elapsed_ms == 20);
    CHECK(statement.current == 0.25);
    CHECK_FALSE(statement.answer);
}

TEST_CASE("a list of members of an earlier build, which doesn't say so, is whole") {
    const Message now = MembersUpdate{{2, 10}, {some_member()}, false};
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(2);
    packer.pack(now.index());
    packer.pack(EarlierMembersUpdate{{2, 10}, {some_member()}});
    const auto read = decode({buffer.data(), buffer.size()});
    REQUIRE(read);
    const auto& members = std::get<MembersUpdate>(*read);
    CHECK(members.revision == Revision{2, 10});
    CHECK(members.members == std::vector{some_member()});
    CHECK(members.whole);
    // And an earlier build passes over what it does not know.
    const std::string bytes = encode(now);
    const msgpack::object_handle handle = msgpack::unpack(bytes.data(), bytes.size());
    CHECK(handle.get().via.array.ptr[1].as<EarlierMembersUpdate>().members.size() == 1);
}

TEST_CASE("consensus messages come back with their sender, receiver and fields") {
    const consensus::Envelope envelope{
        {1, "a"}, {2, "b"}, consensus::AppendRequest{3, 4, 5, 6, {some_entry()}}};
    const auto back = unwrap(std::get<ConsensusMessage>(*decode(encode(wrap(envelope)))));
    REQUIRE(back);
    CHECK(back->from == envelope.from);
    CHECK(back->to == envelope.to);
    const auto& request = std::get<consensus::AppendRequest>(back->message);
    CHECK(request.commit == 6);
    REQUIRE(request.entries.size() == 1);
    CHECK(request.entries[0] == some_entry());
    ConsensusMessage spoilt = wrap(envelope);
    spoilt.kind = 99;
    CHECK_FALSE(unwrap(spoilt));
    spoilt = wrap(envelope);
    spoilt.body.pop_back();
    CHECK_FALSE(unwrap(spoilt));
}

TEST_CASE("a request to leave and a permission of an earlier build name no life, and the other way round") {
    const consensus::Replica from{1, "a"};
    const consensus::Replica to{2, "b"};
    ConsensusMessage request = wrap({from, to, consensus::LeaveRequest{3, 77}});
    ConsensusMessage response = wrap({from, to, consensus::LeaveResponse{3, true, 77}});
    CHECK(std::get<consensus::LeaveRequest>(unwrap(request)->message).life == 77);
    CHECK(std::get<consensus::LeaveResponse>(unwrap(response)->message).life == 77);
    msgpack::sbuffer earlier;
    msgpack::pack(earlier, std::tuple(std::uint64_t{3}));
    request.body.assign(earlier.data(), earlier.size());
    CHECK(std::get<consensus::LeaveRequest>(unwrap(request)->message).life == 0);
    earlier.clear();
    msgpack::pack(earlier, std::tuple(std::uint64_t{3}, true));
    response.body.assign(earlier.data(), earlier.size());
    const auto read = std::get<consensus::LeaveResponse>(unwrap(response)->message);
    CHECK(read.permitted);
    CHECK(read.life == 0);
}

TEST_CASE("bytes that are cut are no message") {
    for (const Message& message : all_kinds()) {
        const std::string bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            CAPTURE(message.index(), size);
            CHECK_FALSE(decode(std::string_view(bytes).substr(0, size)));
        }
    }
}

TEST_CASE("bytes behind a message make it none") {
    for (const Message& message : all_kinds()) CHECK_FALSE(decode(encode(message) + "\xc0"));
}

TEST_CASE("spoilt bytes are refused or give a message that is encoded again") {
    std::mt19937 random(11);
    const std::vector<Message> messages = all_kinds();
    for (int round = 0; round < 5000; ++round) {
        std::string bytes = encode(messages[round % messages.size()]);
        for (int flips = 0; flips < 3; ++flips) {
            const auto mask = 1 + random() % 255;
            char& changed = bytes[random() % bytes.size()];
            changed = static_cast<char>(changed ^ mask);
        }
        const std::optional<Message> decoded = decode(bytes);
        if (decoded) CHECK(decode(encode(*decoded)));
    }
}

TEST_CASE("unknown kinds and other shapes are no messages") {
    CHECK_FALSE(decode(packed(std::variant_size_v<Message>, CountAnswer{})));
    CHECK_FALSE(decode(packed(~std::uint64_t{0}, CountAnswer{})));
    CHECK_FALSE(decode(packed(-1, CountAnswer{})));
    CHECK_FALSE(decode(packed("9", CountAnswer{})));
    CHECK_FALSE(decode(packed(answer_kind)));
    CHECK_FALSE(decode(packed(answer_kind, CountAnswer{}, 0)));
    CHECK_FALSE(decode(packed(answer_kind, "no fields")));
    CHECK_FALSE(decode("text"));
    CHECK_FALSE(decode(std::string(100, '\x91')));
}

TEST_CASE("values that are none of an enumeration are refused") {
    Member member = some_member();
    member.role = static_cast<Role>(2);
    CHECK_FALSE(decode(encode(MemberChanged{member})));
    Instance instance = some_instance();
    instance.state = static_cast<InstanceState>(200);
    CHECK_FALSE(decode(encode(InstancesUpdate{{1, 1}, false, {instance}, {}})));
}

TEST_CASE(
    "fields that a later version adds are ignored and those that an earlier lacks have their defaults") {
    using Later = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t, double, std::uint32_t, std::string>;
    const auto later = decode(packed(answer_kind, Later{1, 2, 3, 3.5, 4, "new"}));
    REQUIRE(later);
    CHECK(std::get<CountAnswer>(*later).others == 3.5);
    const auto earlier = decode(packed(answer_kind, std::tuple<std::uint64_t>{1}));
    REQUIRE(earlier);
    CHECK(std::get<CountAnswer>(*earlier).tenant == 1);
    CHECK(std::get<CountAnswer>(*earlier).others == 0);
    CHECK(std::get<CountAnswer>(*earlier).elapsed_ms == unknown_elapsed_ms);
}

TEST_CASE("lengths claimed without the bytes are refused") {
    const std::string claims[] = {
        std::string("\xdd\xff\xff\xff\xff", 5),  // array of 2^32 - 1
        std::string("\xdf\xff\xff\xff\xff", 5),  // map
        std::string("\xdb\xff\xff\xff\xff"
                    "a",
                    6),  // string
        std::string("\xc6\xff\xff\xff\xff"
                    "a",
                    6),  // bytes
    };
    for (const std::string& claim : claims) {
        CHECK_FALSE(decode(claim));
        CHECK_FALSE(decode(std::string("\x92\x03", 2) + claim));
    }
}

TEST_CASE("a frame begins with the length of what follows, up to the highest") {
    for (const Message& message : all_kinds()) {
        const std::string framed = frame(message);
        CHECK(frame_length(framed) == framed.size() - frame_header_bytes);
        CHECK(framed.substr(frame_header_bytes) == encode(message));
    }
    const std::string long_text(70000, 't');
    CHECK(frame_length(frame(ConfigurationUpdate{1, long_text})) > long_text.size());
    CHECK(frame_length(std::string(4, '\xff')) == 0xffffffffu);
    CHECK(frame_length(std::string("\x04\0\0\x01", 4)) == most_frame_bytes + 1);
    CHECK(frame_length(std::string(4, '\0')) == 0);
}

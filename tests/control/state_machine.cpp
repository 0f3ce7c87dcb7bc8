// The replicated state machine. Replicas that diverge would answer operators differently, so the same
// commands must give the same state and outcomes, also after a restore from a snapshot.
#include "control/state_machine.h"

#include <catch2/catch.hpp>
#include <random>

using namespace dewweir::control;

namespace {

// The state machine's visible state, without the history of accepted versions.
std::string visible_state(const StateMachine& machine) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, machine.configuration());
    msgpack::pack(buffer, machine.evacuations());
    return {buffer.data(), buffer.size()};
}

StateMachine some_machine() {
    StateMachine machine;
    machine.apply(1, PutConfiguration{0, 4, "first"});
    machine.apply(2, PutConfiguration{4, 9, "second"});
    machine.apply(3, SetEvacuation{"zone-a", true});
    return machine;
}

Command random_command(std::mt19937& random) {
    if (random() % 3 == 0)
        return SetEvacuation{std::string(1, static_cast<char>('a' + random() % 3)), random() % 2 == 0};
    const auto base = static_cast<std::uint32_t>(random() % 12);
    return PutConfiguration{base, static_cast<std::uint32_t>(base + random() % 3),
                            random() % 2 ? "one" : "other"};
}

}  // namespace

TEST_CASE("of two configurations proposed on the same base the first in the log is accepted") {
    StateMachine machine;
    CHECK(machine.apply(1, PutConfiguration{0, 1, "mine"}) == Outcome::accepted);
    CHECK(machine.apply(2, PutConfiguration{0, 1, "other"}) == Outcome::version_conflict);
    CHECK(machine.apply(3, PutConfiguration{0, 2, "other"}) == Outcome::version_conflict);
    CHECK(machine.configuration().text == "mine");
    CHECK(machine.apply(4, PutConfiguration{1, 2, "other"}) == Outcome::accepted);
    CHECK(machine.configuration().version == 2);
}

TEST_CASE("a version must be greater than the one in force") {
    StateMachine machine = some_machine();
    CHECK(machine.apply(4, PutConfiguration{9, 9, "third"}) == Outcome::not_newer);
    CHECK(machine.apply(5, PutConfiguration{9, 5, "third"}) == Outcome::not_newer);
    CHECK(StateMachine().apply(1, PutConfiguration{0, 0, "none"}) == Outcome::not_newer);
    CHECK(machine.configuration().text == "second");
}

TEST_CASE("a repeated proposal is accepted again, even with a later version in force, and changes nothing") {
    StateMachine machine = some_machine();
    CHECK(machine.apply(4, PutConfiguration{4, 9, "second"}) == Outcome::accepted);
    CHECK(machine.apply(5, PutConfiguration{0, 4, "first"}) == Outcome::accepted);
    CHECK(machine.configuration().version == 9);
    CHECK(machine.configuration().text == "second");
    CHECK(machine.apply(6, PutConfiguration{0, 4, "another"}) == Outcome::version_conflict);
    CHECK(machine.has_accepted(4, "first"));
    CHECK_FALSE(machine.has_accepted(4, "second"));
    CHECK_FALSE(machine.has_accepted(5, "first"));
}

TEST_CASE("the last 1024 accepted versions are kept") {
    StateMachine machine;
    for (std::uint32_t version = 1; version <= 1025; ++version) {
        REQUIRE(machine.apply(version, PutConfiguration{version - 1, version, "text"}) == Outcome::accepted);
    }
    CHECK_FALSE(machine.has_accepted(1, "text"));
    CHECK(machine.has_accepted(2, "text"));
    CHECK(machine.has_accepted(1025, "text"));
}

TEST_CASE("zones are evacuated and restored, and each command advances the index") {
    StateMachine machine;
    CHECK(machine.apply(3, SetEvacuation{"b", true}) == Outcome::accepted);
    machine.apply(4, SetEvacuation{"a", true});
    machine.apply(5, SetEvacuation{"a", true});
    CHECK(machine.evacuations().zones == std::vector<std::string>{"a", "b"});
    CHECK(machine.evacuations().index == 5);
    machine.apply(6, SetEvacuation{"b", false});
    machine.apply(7, SetEvacuation{"unknown", false});
    CHECK(machine.evacuations().zones == std::vector<std::string>{"a"});
    CHECK(machine.evacuations().index == 7);
}

TEST_CASE("commands survive encoding and decoding; other bytes are rejected") {
    std::mt19937 random(1);
    for (int round = 0; round < 100; ++round) {
        const Command command = random_command(random);
        const std::string bytes = encode_command(command);
        const std::optional<Command> decoded = decode_command(bytes);
        REQUIRE(decoded);
        CHECK(encode_command(*decoded) == bytes);
        for (std::size_t size = 0; size < bytes.size(); ++size)
            CHECK_FALSE(decode_command(bytes.substr(0, size)));
        CHECK_FALSE(decode_command(bytes + '\0'));
    }
    CHECK_FALSE(decode_command("\x92\x02\x90"));  // unknown command kind
    CHECK_FALSE(decode_command(std::string("\x92\0\xa1z", 4)));
}

TEST_CASE("a repeated version that is no longer in the history is neither accepted nor refused") {
    StateMachine machine;
    constexpr std::uint32_t more_than_kept = 1030;
    for (std::uint32_t version = 1; version <= more_than_kept; ++version) {
        REQUIRE(machine.apply(version, PutConfiguration{version - 1, version, "text"}) == Outcome::accepted);
    }
    StateMachine restored;
    REQUIRE(restored.restore(machine.snapshot()));
    for (StateMachine* const one : {&machine, &restored}) {
        CHECK(one->apply(2000, PutConfiguration{0, 1, "text"}) == Outcome::expired);
        CHECK(one->apply(2001, PutConfiguration{99, 100, "text"}) == Outcome::accepted);
        CHECK(one->apply(2002, PutConfiguration{99, 100, "other"}) == Outcome::version_conflict);
    }
}

TEST_CASE("a machine restored from a snapshot behaves like the original") {
    std::mt19937 random(2);
    for (int round = 0; round < 50; ++round) {
        StateMachine machine;
        std::uint64_t index = 0;
        while (index < 40) machine.apply(++index, random_command(random));
        StateMachine restored = some_machine();
        REQUIRE(restored.restore(machine.snapshot()));
        CHECK(restored.snapshot() == machine.snapshot());
        while (index < 80) {
            const Command command = random_command(random);
            ++index;
            CHECK(restored.apply(index, command) == machine.apply(index, command));
            CHECK(visible_state(restored) == visible_state(machine));
        }
    }
}

TEST_CASE("a damaged snapshot is rejected and changes nothing") {
    StateMachine machine = some_machine();
    const std::string before = machine.snapshot();
    for (std::size_t size = 0; size < before.size(); ++size)
        CHECK_FALSE(machine.restore(before.substr(0, size)));
    CHECK_FALSE(machine.restore(before + '\0'));
    CHECK_FALSE(machine.restore("\x90"));  // no fields at all
    CHECK_FALSE(machine.restore("\xc0"));
    CHECK_FALSE(machine.restore("not a snapshot"));
    CHECK_FALSE(machine.restore(std::string("\x94\x01\x80\x90\0", 5)));
    CHECK(machine.snapshot() == before);
}

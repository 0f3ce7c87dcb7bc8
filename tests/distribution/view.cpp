// A view never goes back, whatever the order of its updates and however often they are repeated: processes
// that receive them over different paths must end in the same state.
#include "distribution/view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace dewweir;
using distribution::Changes;
using distribution::View;

namespace {

wire::Instance instance(const std::string& id, std::uint32_t capacity = 1) {
    wire::Instance made;
    made.id = id;
    made.capacity = capacity;
    return made;
}

wire::Member member(const std::string& node, bool ready = true) {
    wire::Member made;
    made.node = node;
    made.ready = ready;
    return made;
}

Changes apply(View& view, const wire::Message& message) {
    if (const auto* const update = std::get_if<wire::ConfigurationUpdate>(&message))
        return view.apply(*update);
    if (const auto* const update = std::get_if<wire::EvacuationsUpdate>(&message)) return view.apply(*update);
    if (const auto* const update = std::get_if<wire::InstancesUpdate>(&message)) return view.apply(*update);
    return view.apply(std::get<wire::MembersUpdate>(message));
}

std::string encoded(const View& view) {
    std::string bytes;
    msgpack::sbuffer buffer;
    for (const wire::Message& message : view.snapshot()) {
        std::visit([&](const auto& fields) { msgpack::pack(buffer, fields); }, message);
    }
    return {buffer.data(), buffer.size()};
}

// Complete updates of every kind, each revision once.
std::vector<wire::Message> some_updates(std::mt19937& random) {
    std::vector<wire::Message> updates;
    for (std::uint32_t number = 1; number <= 6; ++number) {
        const wire::Revision revision{1 + number / 4, number % 4 + 1};
        const std::string name = static_cast<char>('a' + random() % 4) + std::to_string(number);
        updates.push_back(wire::ConfigurationUpdate{number, name});
        updates.push_back(wire::EvacuationsUpdate{number, {name}});
        updates.push_back(wire::InstancesUpdate{revision, true, {instance(name, number)}, {}});
        updates.push_back(wire::MembersUpdate{revision, {member(name, number % 2 == 0)}});
    }
    return updates;
}

}  // namespace

TEST_CASE("the snapshot of an empty view is empty") {
    const View view;
    CHECK(view.snapshot().empty());
    CHECK(view.configuration().version == 0);
    CHECK_FALSE(view.evacuated("a"));
}

TEST_CASE("complete updates in any order and any number of times give the same view") {
    std::mt19937 random(3);
    for (int round = 0; round < 50; ++round) {
        std::vector<wire::Message> updates = some_updates(random);
        View in_order;
        for (const wire::Message& update : updates) CHECK(apply(in_order, update).any());
        const std::vector<wire::Message> once = updates;
        for (int times = 0; times < 3; ++times) updates.insert(updates.end(), once.begin(), once.end());
        std::shuffle(updates.begin(), updates.end(), random);
        View shuffled;
        wire::Revision highest;
        for (const wire::Message& update : updates) {
            apply(shuffled, update);
            CHECK(shuffled.instances_revision() >= highest);
            highest = shuffled.instances_revision();
        }
        CHECK(encoded(shuffled) == encoded(in_order));
        for (const wire::Message& update : updates) CHECK_FALSE(apply(shuffled, update).any());
    }
}

TEST_CASE("a view's snapshot brings an empty view to the same state") {
    std::mt19937 random(4);
    View view;
    for (const wire::Message& update : some_updates(random)) apply(view, update);
    View other;
    for (const wire::Message& message : view.snapshot()) apply(other, message);
    CHECK(encoded(other) == encoded(view));
}

TEST_CASE("a revision of a higher term is newer than any revision of a lower term") {
    View view;
    CHECK(view.apply(wire::MembersUpdate{{1, 900}, {member("old")}}).members);
    CHECK(view.apply(wire::MembersUpdate{{2, 1}, {member("new")}}).members);
    CHECK_FALSE(view.apply(wire::MembersUpdate{{1, 901}, {member("old")}}).any());
    CHECK(view.members().contains("new"));
    CHECK_FALSE(view.members().contains("old"));
}

TEST_CASE("an update with the same members or evacuations advances the revision and reports no change") {
    View view;
    CHECK(view.apply(wire::EvacuationsUpdate{1, {"a", "b"}}).evacuations);
    CHECK_FALSE(view.apply(wire::EvacuationsUpdate{2, {"b", "a"}}).any());
    CHECK(view.evacuations().index == 2);
    CHECK(view.apply(wire::EvacuationsUpdate{3, {"b"}}).evacuations);
    CHECK_FALSE(view.evacuated("a"));
    CHECK(view.evacuated("b"));
    CHECK(view.apply(wire::MembersUpdate{{1, 1}, {member("x")}}).members);
    CHECK_FALSE(view.apply(wire::MembersUpdate{{1, 2}, {member("x")}}).any());
    CHECK(view.members_revision() == wire::Revision{1, 2});
}

TEST_CASE("an incomplete member list removes nobody, a complete one does") {
    View view;
    CHECK_FALSE(view.members_complete());
    view.apply(wire::MembersUpdate{{1, 1}, {member("a"), member("b"), member("c")}, true});
    CHECK(view.members_complete());
    CHECK(view.apply(wire::MembersUpdate{{2, 1}, {member("b", false), member("d")}, false}).members);
    CHECK_FALSE(view.members_complete());
    CHECK(view.members() ==
          std::map<std::string, wire::Member>{
              {"a", member("a")}, {"b", member("b", false)}, {"c", member("c")}, {"d", member("d")}});
    View late;
    for (const wire::Message& message : view.snapshot()) apply(late, message);
    CHECK(encoded(late) == encoded(view));
    CHECK_FALSE(late.members_complete());
    CHECK(view.apply(wire::MembersUpdate{{2, 2}, {member("b"), member("d")}, true}).members);
    CHECK(view.members().size() == 2);
}

TEST_CASE("becoming complete is a change of the members even if the list is the same") {
    View view;
    view.apply(wire::MembersUpdate{{1, 1}, {member("a")}, false});
    CHECK(view.apply(wire::MembersUpdate{{1, 2}, {member("a")}, true}).members);
    CHECK_FALSE(view.apply(wire::MembersUpdate{{1, 3}, {member("a")}, true}).any());
}

TEST_CASE("a partial instance update changes the instances it names, a full one replaces the list") {
    View view;
    view.apply(wire::InstancesUpdate{{1, 1}, true, {instance("a"), instance("b")}, {}});
    view.apply(wire::InstancesUpdate{{1, 2}, false, {instance("a", 5), instance("c")}, {"b", "unknown"}});
    CHECK(view.instances() ==
          std::map<std::string, wire::Instance>{{"a", instance("a", 5)}, {"c", instance("c")}});
    view.apply(wire::InstancesUpdate{{1, 3}, true, {instance("d")}, {}});
    CHECK(view.instances().size() == 1);
}

TEST_CASE("a difference turns one instance list into the other and names nothing else") {
    std::mt19937 random(5);
    const auto some_list = [&] {
        std::map<std::string, wire::Instance> list;
        for (char name = 'a'; name < 'k'; ++name) {
            if (random() % 2) list[{name}] = instance({name}, random() % 2);
        }
        return list;
    };
    for (std::uint64_t round = 0; round < 200; ++round) {
        const auto from = some_list();
        const auto to = some_list();
        wire::InstancesUpdate difference = distribution::instances_difference(from, to);
        for (const wire::Instance& changed : difference.changed) {
            CHECK((!from.contains(changed.id) || from.at(changed.id) != changed));
        }
        View view;
        wire::InstancesUpdate first{{1, 1}, true, {}, {}};
        for (const auto& [id, entry] : from) first.changed.push_back(entry);
        view.apply(first);
        difference.revision = {1, 2};
        view.apply(difference);
        CHECK(view.instances() == to);
    }
}

#include "distribution/view.h"

namespace dewweir::distribution {

Changes View::apply(const wire::ConfigurationUpdate& update) {
    if (update.version <= configuration_.version) return {};
    configuration_ = update;
    return {.configuration = true};
}

Changes View::apply(const wire::EvacuationsUpdate& update) {
    if (update.index <= evacuations_.index) return {};
    std::set<std::string> zones(update.zones.begin(), update.zones.end());
    const bool changed = zones != evacuated_;
    evacuations_ = update;
    evacuated_ = std::move(zones);
    return {.evacuations = changed};
}

Changes View::apply(const wire::InstancesUpdate& update) {
    if (update.revision <= instances_revision_) return {};
    instances_revision_ = update.revision;
    if (update.whole) instances_.clear();
    for (const std::string& id : update.gone) instances_.erase(id);
    for (const wire::Instance& instance : update.changed) instances_[instance.id] = instance;
    return {.instances = true};
}

Changes View::apply(const wire::MembersUpdate& update) {
    if (update.revision <= members_revision_) return {};
    members_revision_ = update.revision;
    // An incomplete list removes no member.
    std::map<std::string, wire::Member> members;
    if (!update.whole) members = members_;
    for (const wire::Member& member : update.members) members[member.node] = member;
    const bool changed = members != members_ || update.whole != members_complete_;
    members_ = std::move(members);
    members_complete_ = update.whole;
    return {.members = changed};
}

Changes View::apply(const wire::Message& message) {
    if (const auto* const members = std::get_if<wire::MembersUpdate>(&message)) return apply(*members);
    if (const auto* const instances = std::get_if<wire::InstancesUpdate>(&message)) return apply(*instances);
    if (const auto* const evacuations = std::get_if<wire::EvacuationsUpdate>(&message))
        return apply(*evacuations);
    if (const auto* const configuration = std::get_if<wire::ConfigurationUpdate>(&message)) {
        return apply(*configuration);
    }
    return {};
}

std::vector<wire::Message> View::snapshot() const {
    std::vector<wire::Message> messages;
    if (members_revision_ != wire::Revision{}) {
        wire::MembersUpdate members{members_revision_, {}, members_complete_};
        for (const auto& [node, member] : members_) members.members.push_back(member);
        messages.push_back(std::move(members));
    }
    if (instances_revision_ != wire::Revision{}) {
        wire::InstancesUpdate instances{instances_revision_, true, {}, {}};
        for (const auto& [id, instance] : instances_) instances.changed.push_back(instance);
        messages.push_back(std::move(instances));
    }
    if (evacuations_.index > 0) messages.push_back(evacuations_);
    if (configuration_.version > 0) messages.push_back(configuration_);
    return messages;
}

wire::InstancesUpdate instances_difference(const std::map<std::string, wire::Instance>& from,
                                           const std::map<std::string, wire::Instance>& to) {
    wire::InstancesUpdate difference;
    for (const auto& [id, instance] : to) {
        const auto before = from.find(id);
        if (before == from.end() || before->second != instance) difference.changed.push_back(instance);
    }
    for (const auto& [id, instance] : from) {
        if (!to.contains(id)) difference.gone.push_back(id);
    }
    return difference;
}

}  // namespace dewweir::distribution

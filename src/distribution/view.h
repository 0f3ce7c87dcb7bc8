// What every process of the system knows of the whole: the configuration in force, evacuated zones, the
// instances of all services and the members. Pure: updates are applied in any order, any number of times, and
// only move it forward.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace dewweir::distribution {

// What an update has changed.
struct Changes {
    bool configuration = false;
    bool evacuations = false;
    bool instances = false;
    bool members = false;  // also where they turn out to be whole

    bool any() const { return configuration || evacuations || instances || members; }
};

class View {
  public:
    Changes apply(const wire::ConfigurationUpdate& update);
    Changes apply(const wire::EvacuationsUpdate& update);
    Changes apply(const wire::InstancesUpdate& update);
    Changes apply(const wire::MembersUpdate& update);

    // Any of the updates above; other messages change nothing.
    Changes apply(const wire::Message& message);

    // Messages that bring a process that knows nothing to this view.
    std::vector<wire::Message> whole() const;

    const wire::ConfigurationUpdate& configuration() const { return configuration_; }  // version 0: none yet
    const wire::EvacuationsUpdate& evacuations() const { return evacuations_; }
    bool evacuated(const std::string& zone) const { return evacuated_.contains(zone); }
    const std::map<std::string, wire::Instance>& instances() const { return instances_; }
    wire::Revision instances_revision() const { return instances_revision_; }
    const std::map<std::string, wire::Member>& members() const { return members_; }  // by node
    wire::Revision members_revision() const { return members_revision_; }
    // Whether `members` are all that there are, as far as the leader could know.
    bool members_whole() const { return members_whole_; }

  private:
    wire::ConfigurationUpdate configuration_;
    wire::EvacuationsUpdate evacuations_;
    std::set<std::string> evacuated_;
    std::map<std::string, wire::Instance> instances_;
    wire::Revision instances_revision_;
    std::map<std::string, wire::Member> members_;
    wire::Revision members_revision_;
    bool members_whole_ = false;
};

// What changes `from` into `to`.
wire::InstancesUpdate instances_difference(const std::map<std::string, wire::Instance>& from,
                                           const std::map<std::string, wire::Instance>& to);

}  // namespace dewweir::distribution

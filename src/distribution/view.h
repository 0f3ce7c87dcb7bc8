// The fleet's shared state as one process knows it: the configuration in force, the evacuated zones, the
// instances of all services and the members. Pure: updates may be applied in any order and any number of
// times; each kind carries a version, index or revision, and an update that is not newer than the stored one
// is ignored.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace dewweir::distribution {

// Which parts of the view an update has changed.
struct Changes {
    bool configuration = false;
    bool evacuations = false;
    bool instances = false;
    bool members = false;  // also set when only members_complete() changed

    bool any() const { return configuration || evacuations || instances || members; }
};

class View {
  public:
    Changes apply(const wire::ConfigurationUpdate& update);
    Changes apply(const wire::EvacuationsUpdate& update);
    Changes apply(const wire::InstancesUpdate& update);
    Changes apply(const wire::MembersUpdate& update);

    // Applies any of the updates above; other messages change nothing.
    Changes apply(const wire::Message& message);

    // The updates that bring an empty view to the state of this one.
    std::vector<wire::Message> snapshot() const;

    const wire::ConfigurationUpdate& configuration() const { return configuration_; }  // version 0: none yet
    const wire::EvacuationsUpdate& evacuations() const { return evacuations_; }
    bool evacuated(const std::string& zone) const { return evacuated_.contains(zone); }
    const std::map<std::string, wire::Instance>& instances() const { return instances_; }  // by instance id
    wire::Revision instances_revision() const { return instances_revision_; }
    const std::map<std::string, wire::Member>& members() const { return members_; }  // by node
    wire::Revision members_revision() const { return members_revision_; }
    // False while the leader is too new to know every member: `members` may then lack some.
    bool members_complete() const { return members_complete_; }

  private:
    wire::ConfigurationUpdate configuration_;
    wire::EvacuationsUpdate evacuations_;
    std::set<std::string> evacuated_;
    std::map<std::string, wire::Instance> instances_;
    wire::Revision instances_revision_;
    std::map<std::string, wire::Member> members_;
    wire::Revision members_revision_;
    bool members_complete_ = false;
};

// The update that changes the list `from` into `to`. Its revision is left unset.
wire::InstancesUpdate instances_difference(const std::map<std::string, wire::Instance>& from,
                                           const std::map<std::string, wire::Instance>& to);

}  // namespace dewweir::distribution

// A stand-in discovery agent on loopback: the list of hosts, whole or as a watch. Owns the list and its
// revision. It must never tell a change before its delay has passed, nor out of order.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "loop.h"
#include "net/http.h"
#include "net/slots.h"

namespace dewweir::rig {

struct Member {
    std::string id;
    tcp::endpoint address;
    std::string phase = "in_service";  // or terminating, terminated
    Time up_since = 0;
};

class DiscoveryService : net::User {
  public:
    // `delay`: how late a change is told.
    DiscoveryService(Loop& loop, const tcp::endpoint& at, Time delay);
    ~DiscoveryService() override;

    const tcp::endpoint& address() const { return door_.address(); }
    // There from the start: told to nobody as news.
    void put(const Member& member) { members_[member.id] = member; }
    // Puts a member's new state on the list; `told`, if given, is called once watchers have it.
    void change(const Member& member, std::function<void()> told = {});
    void die();
    void start();
    std::string whole() const;  // as JSON, for a gateway's `known`

  private:
    struct Way {
        net::Handle connection = 0;
        net::HttpReader reader{HTTP_REQUEST};
        bool watching = false;
    };

    void welcome(tcp::socket socket);
    void received(net::Handle, std::uint32_t mark) override;
    void ended(net::Handle, std::uint32_t mark) override;
    void asked(std::uint32_t mark, Way& way);
    void say(Way& way, const std::string& text);
    void beat();
    void give_back(std::uint32_t mark);
    std::string listing(const std::vector<std::string>& ids, bool complete) const;

    Loop& loop_;
    Time delay_;
    std::uint64_t revision_ = 1;
    std::map<std::string, Member> members_;
    std::map<std::string, std::uint64_t> changed_;  // the revision of each member's last change
    net::Slots<Way> ways_;
    net::Deadlines::Key beat_{};
    Door door_;
};

}  // namespace dewweir::rig

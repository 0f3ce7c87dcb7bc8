// A stand-in discovery agent on loopback: the list of hosts, whole or as a watch. Owns the list and its
// revision. It must never tell a change before its delay has passed, nor out of order.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loop.h"
#include "model/list.h"
#include "net/http.h"
#include "net/slots.h"

namespace dewweir::rig {

struct Member {
    std::string id;
    tcp::endpoint address;
    std::string phase = "in_service";  // or terminating, terminated
    Time up_since = 0;
};

class DiscoveryService : net::ConnectionHandler {
  public:
    // `delay`: how late a change is told; calls take their turns as `traits` say.
    DiscoveryService(Loop& loop, const tcp::endpoint& at, Time delay,
                     const model::ListTraits& traits = {.each = 10});
    ~DiscoveryService() override;

    const tcp::endpoint& address() const { return door_.address(); }
    // There from the start: told to nobody as news.
    void put(const Member& member) { members_[member.id] = member; }
    // Puts a member's new state on the list; `told`, if given, is called once watchers have it.
    void change(const Member& member, std::function<void()> told = {});
    void die();
    void start();
    // Its revisions begin anew, as after the loss of what it kept: watches end, the list stays.
    void anew();
    void slow(double times) { slow_ = times; }      // a call's turn
    std::string whole(std::size_t view = 0) const;  // as JSON, for a gateway's `known`
    // A door of its own, behind which members have other addresses: where the links of one gateway begin. Its
    // number.
    std::size_t add_view(std::map<std::string, tcp::endpoint> addresses);
    const tcp::endpoint& address(std::size_t view) const { return views_.at(view - 1).door->address(); }

  private:
    struct Way {
        net::Handle connection = 0;
        net::HttpReader reader{HTTP_REQUEST};
        bool watching = false;
        std::size_t view = 0;
    };
    struct View {
        std::unique_ptr<Door> door;
        std::map<std::string, tcp::endpoint> addresses;
    };

    void welcome(tcp::socket socket, std::size_t view);
    void received(net::Handle, std::uint32_t mark) override;
    void ended(net::Handle, std::uint32_t mark) override;
    void asked(std::uint32_t mark, Way& way);
    void serve(std::uint32_t mark, const std::string& target, bool stays);
    void say(Way& way, const std::string& text);
    void beat();
    void give_back(std::uint32_t mark);
    std::string listing(const std::vector<std::string>& ids, bool complete, std::size_t view) const;

    Loop& loop_;
    Time delay_;
    std::uint64_t revision_ = 1;
    std::map<std::string, Member> members_;
    std::map<std::string, std::uint64_t> changed_;  // the revision of each member's last change
    model::List list_;
    double slow_ = 1;
    net::Slots<Way> ways_;
    std::vector<View> views_;  // from number 1
    net::Deadlines::Key beat_{};
    Door door_;
};

}  // namespace dewweir::rig

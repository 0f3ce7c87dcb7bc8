// The hosts' side: owns what is known of each host's address, its connections, and the attempts that are
// out on them. Each attempt asked for ends with exactly one call of `attempt_over`, never from within the
// asking. It must never send anything twice, nor pick a host.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "http.h"
#include "part.h"

namespace dewweir::net {

struct Answer {  // what a host has served: the fields that pass through, and the body
    std::string fields, body;
};

class Outcomes {
  public:
    virtual ~Outcomes() = default;
    virtual void attempt_over(Handle request, std::uint32_t host, AttemptOutcome outcome, Time took,
                              const Answer& answer) = 0;
};

class Hosts : public User, Part {
  public:
    Hosts(const Part& part, Outcomes& outcomes);

    // The host's number, which no other host gets while the program runs; 0 for one that was never here and
    // is gone.
    std::uint32_t listed(const Entry& entry);
    // A whole list names those that stay: the others are taken as gone.
    void keep_only(const std::vector<Entry>& entries);
    // By number its id in the list, empty for none; by id its number, 0 for none.
    std::string id_of(std::uint32_t host) const;
    std::uint32_t number_of(const std::string& id) const;

    // Gives what `call_off` takes; 0 when nothing can be sent (its end is told all the same).
    Handle start_attempt(Handle request, std::uint32_t host, std::string_view head, std::string_view body,
                         Time give_up_after);
    void call_off(Handle attempt);

    void opened(Handle, std::uint32_t mark, bool up) override;
    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;

  private:
    struct Host {
        std::string id;
        tcp::endpoint address{};
        HostState state = HostState::removed;
        Time up_since = 0;
        int upstreams = 0;           // all of them, idle or not
        Deadlines::Key leaving{};    // then it is forgotten
        std::vector<Handle> idle{};  // ways, the one used last at the end
    };
    struct UpstreamConnection {  // one connection to a host, and the attempt that is out on it
        std::uint32_t host;
        HttpReader reader{HTTP_RESPONSE};
        Handle connection = 0, request = 0;
        bool up = false;
        int interim = 0;  // answers ahead of the one
        Time sent = 0;
        std::string waiting;  // what is to be written once it is up
        Deadlines::Key deadline{};

        explicit UpstreamConnection(std::uint32_t to) : host(to) {}
    };

    Handle idle_upstream(Host& host);
    Handle open_upstream(std::uint32_t host);
    void take_from_idle(Handle upstream);
    void rest(Handle mark, UpstreamConnection& upstream);
    void give_back(Handle mark, UpstreamConnection& upstream);
    void drop_oldest_idle();
    void release_idle(Host& host);
    void now_stands(std::uint32_t number, Host& host, HostState state);
    void not_ready(std::uint32_t host);
    void forget_later(std::uint32_t number, Host& host);
    void over(Handle mark, UpstreamConnection& upstream, AttemptOutcome outcome, const Answer& answer = {});
    void later_over(Handle request, std::uint32_t host, AttemptOutcome outcome, Time took);

    Outcomes& outcomes_;
    std::map<std::uint32_t, Host> hosts_;  // by number
    std::unordered_map<std::string, std::uint32_t> numbers_;
    std::uint32_t last_number_ = 0;
    Slots<UpstreamConnection> upstreams_;
};

}  // namespace dewweir::net

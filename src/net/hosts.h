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

struct HostResponse {  // what a host has served: the fields that pass through, and the body
    std::string fields, body;
};

class AttemptListener {
  public:
    virtual ~AttemptListener() = default;
    virtual void attempt_ended(Handle request, std::uint32_t host, AttemptOutcome outcome, Time elapsed,
                               const HostResponse& answer) = 0;
};

class Hosts : public ConnectionHandler, NodeContext {
  public:
    Hosts(const NodeContext& context, AttemptListener& listener);

    // The host's number, which no other host gets while the program runs; 0 for one that was never here and
    // is removed.
    std::uint32_t update(const HostEntry& entry);
    // A whole list names those that stay: the others are taken as removed.
    void remove_unlisted(const std::vector<HostEntry>& entries);
    // By number its id in the list, empty for none; by id its number, 0 for none.
    std::string id_of(std::uint32_t host) const;
    std::uint32_t number_of(const std::string& id) const;

    // Gives what `call_off` takes; 0 when nothing can be sent (its end is told all the same).
    Handle start_attempt(Handle request, std::uint32_t host, std::string_view head, std::string_view body,
                         Time give_up_after);
    void cancel(Handle attempt);

    void opened(Handle, std::uint32_t mark, bool connected) override;
    void received(Handle, std::uint32_t mark) override;
    void ended(Handle, std::uint32_t mark) override;

  private:
    struct Host {
        std::string id;
        tcp::endpoint address{};
        HostState state = HostState::removed;
        Time up_since = 0;
        int upstreams = 0;           // all of them, idle or not
        Deadlines::Key removal{};    // then it is forgotten
        std::vector<Handle> idle{};  // ways, the one used last at the end
    };
    struct UpstreamConnection {  // one connection to a host, and the attempt that is out on it
        std::uint32_t host;
        HttpReader reader{HTTP_RESPONSE};
        Handle connection = 0, request = 0;
        bool connected = false;
        int interim_responses = 0;  // answers ahead of the one
        Time started_at = 0;
        std::string unsent_request;  // what is to be written once it is up
        Deadlines::Key deadline{};

        explicit UpstreamConnection(std::uint32_t to) : host(to) {}
    };

    Handle idle_upstream(Host& host);
    Handle open_upstream(std::uint32_t host);
    void remove_from_idle(Handle upstream);
    void make_idle(Handle mark, UpstreamConnection& upstream);
    void close_upstream(Handle mark, UpstreamConnection& upstream);
    void close_longest_idle();
    void close_idle_upstreams(Host& host);
    void set_state(std::uint32_t number, Host& host, HostState state);
    void stop_sending(std::uint32_t host);
    void schedule_removal(std::uint32_t number, Host& host);
    void finish_attempt(Handle mark, UpstreamConnection& upstream, AttemptOutcome outcome,
                        const HostResponse& answer = {});
    void post_attempt_ended(Handle request, std::uint32_t host, AttemptOutcome outcome, Time elapsed);

    AttemptListener& listener_;
    std::map<std::uint32_t, Host> hosts_;  // by number
    std::unordered_map<std::string, std::uint32_t> numbers_;
    std::uint32_t last_number_ = 0;
    Slots<UpstreamConnection> upstreams_;
};

}  // namespace dewweir::net

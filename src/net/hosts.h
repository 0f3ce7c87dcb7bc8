// The upstream side of a gateway: owns the known hosts, their connections and the attempts in flight. Every
// attempt that is started ends with exactly one call of AttemptListener::attempt_ended, never from within
// start_attempt. Hosts never retries and never chooses a host.
#pragma once

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "http.h"
#include "part.h"

namespace dewweir::net {

// The forwarded header fields and the body of a host's 200 response.
struct HostResponse {
    std::string fields, body;
};

// Receives the outcome of each attempt.
class AttemptListener {
  public:
    virtual ~AttemptListener() = default;
    // `elapsed`: from the start of the attempt. `answer` is filled for AttemptOutcome::ok only.
    virtual void attempt_ended(Handle request, std::uint32_t host, AttemptOutcome outcome, Time elapsed,
                               const HostResponse& answer) = 0;
};

// Connection pools, one per host, with at most one attempt per connection.
class Hosts : public ConnectionHandler, NodeContext {
  public:
    Hosts(const NodeContext& context, AttemptListener& listener);

    // Applies an entry of the host list and returns the host's number, which is unique for the life of the
    // process; 0 for the removal of an unknown host.
    std::uint32_t update(const HostEntry& entry);
    // Marks every host that a complete list does not name as removed.
    void remove_unlisted(const std::vector<HostEntry>& entries);
    // Id of a host number, empty if unknown; number of a host id, 0 if unknown.
    std::string id_of(std::uint32_t host) const;
    std::uint32_t number_of(const std::string& id) const;

    // Sends a request to a host with `give_up_after` as its deadline. Returns the handle for `cancel`, or 0
    // when nothing can be sent; the listener gets not_sent in that case.
    Handle start_attempt(Handle request, std::uint32_t host, std::string_view head, std::string_view body,
                         Time give_up_after);
    // Closes the connection of an attempt in flight; its outcome is reported as cancelled.
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
        int upstreams = 0;           // open connections, idle or busy
        Deadlines::Key removal{};    // when a removed host is erased
        std::vector<Handle> idle{};  // idle connections, most recently used last
    };
    // A connection to a host and the attempt in flight on it.
    struct UpstreamConnection {
        std::uint32_t host;
        HttpReader reader{HTTP_RESPONSE};
        Handle connection = 0, request = 0;
        bool connected = false;
        int interim_responses = 0;  // 1xx responses received for this attempt
        Time started_at = 0;
        std::string unsent_request;  // request to send once connected
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

// Selects the control plane that a gateway takes its view from. The current control plane is kept while it
// proves, by its heartbeats, that it is in sync with a majority of the control planes. When the proof becomes
// too old, the gateway opens sessions to further candidates, one after the other and without waiting for
// answers, and adopts the first one whose proof is recent enough. Performs no I/O: sessions are identified by
// number and the caller passes the time.
//
// A proof counts from the time at which it was asked for, a stamp of this gateway that the control plane
// echoes, and not from its arrival: the messages of a session may wait for long behind others.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "distribution/intervals.h"

namespace dewweir::gateway {

using SearchSession = std::uint32_t;  // identifies a session with a control plane; 0: none

class ControlPlaneSearch {
  public:
    // `start`: index of the first address to try, modulo their number. It differs between gateways, so that
    // they spread over the control planes.
    ControlPlaneSearch(const distribution::SearchIntervals& intervals, std::size_t start);

    // What the caller has to do after `review`.
    struct Actions {
        std::vector<SearchSession> close{};  // sessions to close; this object has removed them already
        std::optional<std::string> open{};   // address to open a session to
        SearchSession adopt = 0;             // session that is now the current one; 0: no change
    };
    // Evaluates the sessions. `addresses`: the internal addresses of all known control planes.
    Actions review(runtime::Time now, const std::vector<std::string>& addresses);
    // The latest time at which `review` must be called again.
    runtime::Time next_review(runtime::Time now) const;

    // A session to `address` is being opened.
    void add_session(SearchSession session, const std::string& address, runtime::Time now);
    // The session has been closed by the other side or has failed.
    void remove_session(SearchSession session, runtime::Time now);
    // The control plane of this session has stated how old its view may be at most: changes acknowledged
    // during that time may be missing. `staleness`: nothing if it has never been in sync. `asked_at`: the
    // stamp that it echoed; without one the message may be as old as the session.
    void report_staleness(SearchSession session, std::optional<runtime::Time> staleness,
                          std::optional<runtime::Time> asked_at);
    // The candidate has sent a message that proves nothing. Whether to probe it again now.
    bool should_probe_again(SearchSession session, runtime::Time now);

    // While the current control plane is suspected it counts as out of sync whatever staleness it states,
    // since its messages may arrive late. Adopting another one ends the suspicion.
    void set_suspected(bool suspected) { suspected_ = suspected; }
    bool suspected() const { return suspected_; }

    // How long a new session may take to be established and to answer. Longer after attempts that had no
    // answer: the round trip may exceed the usual limit while the link is full.
    runtime::Time attempt_timeout() const { return attempt_timeout_; }

    SearchSession current() const { return current_; }
    // Number of sessions besides the current one.
    std::size_t candidates() const { return sessions_.size() - (current_ ? 1 : 0); }

  private:
    struct Session {
        std::string address;
        runtime::Time opened_at = 0;
        bool answered = false;
        bool states_in_sync = false;  // by the last statement, which may have been under way for long
        runtime::Time probed_at = 0;
        std::optional<runtime::Time> adopted_at{};
        bool proved_since_adopted = false;  // it has echoed a stamp behind the complete view
        // The control plane has every change that was acknowledged up to this time; nothing: not known.
        std::optional<runtime::Time> in_sync_at{};
    };

    bool in_sync(const Session& session, runtime::Time now) const;
    // The session has just been adopted and its view is still being transferred.
    bool loading(const Session& session, runtime::Time now) const;
    bool much_fresher(const Session& candidate) const;
    bool adoptable(const Session& candidate, runtime::Time now) const;
    void adopt(SearchSession session, runtime::Time now);
    bool current_in_sync(runtime::Time now) const;
    bool has_session_to(const std::string& address) const;
    std::optional<std::string> next_address(const std::vector<std::string>& addresses);
    SearchSession freshest_candidate(runtime::Time now) const;
    void close_timed_out(runtime::Time now, Actions& actions);
    void attempt_failed(const Session& session, runtime::Time now);

    distribution::SearchIntervals intervals_;
    std::size_t next_index_;  // into the addresses, modulo their number
    std::map<SearchSession, Session> sessions_;
    SearchSession current_ = 0;
    bool suspected_ = false;
    // How long an adopted session may take to transfer its view. Doubled whenever one was left before that,
    // since the next one has to transfer all of it again.
    runtime::Time loading_limit_;
    runtime::Time attempt_timeout_;
    runtime::Time attempt_timeout_raised_at_ = 0;
    std::optional<runtime::Time> last_candidate_at_;  // when the last candidate session was requested
};

}  // namespace dewweir::gateway

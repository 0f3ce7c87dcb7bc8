// Which control plane a gateway takes its view from. One is kept for as long as it proves that it is in step
// with a majority; when its proof grows too old, others are asked beside it, one after the other without
// waiting for answers, and the first whose proof is young enough takes its place. Pure: sessions are names,
// times are handed in.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "distribution/intervals.h"

namespace dewweir::gateway {

using SearchSession = std::uint32_t;  // 0 is none

class ControlPlaneSearch {
  public:
    // `start` differs between gateways, so that they spread over the control planes.
    ControlPlaneSearch(const distribution::SearchIntervals& intervals, std::size_t start);

    struct Step {
        std::vector<SearchSession> close{};
        std::optional<std::string> open{};  // an attempt to be made now
        SearchSession adopt = 0;            // the session to take the view from
    };
    // What to do now. `addresses` are the control planes known.
    Step review(runtime::Time now, const std::vector<std::string>& addresses);
    // When to call review again at the latest.
    runtime::Time next_review(runtime::Time now) const;

    void opened(SearchSession session, const std::string& address, runtime::Time now);
    void closed(SearchSession session);
    // The session's control plane has told for how long it may lack changes; nothing: it was never in step.
    void told(SearchSession session, std::optional<runtime::Time> staleness, runtime::Time now);

    // While in doubt the current one counts as out of step, whatever it tells: what it sends may come late.
    void set_doubt(bool doubt) { in_doubt_ = doubt; }
    bool in_doubt() const { return in_doubt_; }

    SearchSession current() const { return current_; }
    std::size_t attempts() const { return sessions_.size() - (current_ ? 1 : 0); }

  private:
    struct Session {
        std::string address;
        runtime::Time opened_at = 0;
        bool answered = false;
        std::optional<runtime::Time> fresh_at{};  // everything acknowledged up to then was there
    };

    bool fresh(const Session& session, runtime::Time now) const;
    bool settled(runtime::Time now) const;
    bool is_in_use(const std::string& address) const;
    std::optional<std::string> next_address(const std::vector<std::string>& addresses);
    SearchSession freshest_attempt(runtime::Time now) const;
    void give_up_late(runtime::Time now, Step& step);

    distribution::SearchIntervals intervals_;
    std::size_t next_;
    std::map<SearchSession, Session> sessions_;
    SearchSession current_ = 0;
    bool in_doubt_ = false;
    std::optional<runtime::Time> last_attempt_at_;
};

}  // namespace dewweir::gateway

// The open-loop load generator: sends by a schedule drawn ahead, never waiting for answers, and counts what
// comes back. Latency runs from the moment a submission was meant to be sent, so a stall of a gateway, or of
// this program, cannot hide. Owns its connections and every submission it has begun; it must never send less
// than the schedule says without saying so: sends behind it are counted, and past a stated part the result is
// invalid.
#pragma once

#include <boost/histogram.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "loop.h"
#include "net/http.h"
#include "net/slots.h"
#include "referee.h"

namespace dewweir::rig {

// Latencies from 0.1 ms to 100 s in buckets of equal ratio: whatever is read off lies within 1% of the truth.
class Latencies {
  public:
    static constexpr double relative_error = 0.01;
    Latencies();
    void add(Time latency);
    // In ms; 0 where there are none. `part` from 0 to 1.
    double quantile(double part) const;
    std::uint64_t count() const { return count_; }

  private:
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<std::uint64_t>> histogram_;
    std::uint64_t count_ = 0;
};

struct PlanLoad {
    std::string name;
    int customers = 1;
    double rate = 1;  // submissions a second of each customer
};

struct LoadPlan {
    std::vector<tcp::endpoint> gateways;
    bool gathered = false;  // a customer comes to the first gateway of its set alone
    int set = 0;            // gateways of a customer's set, in a row and counted round; 0: all
    std::vector<PlanLoad> plans;
    std::string track = "check";
    bool binding = false;    // sent as POST with a body, and repeated by the client only when bounced
    std::size_t body = 200;  // bytes of a binding submission's body
    Time goal = 10000, limit = 40000;
    Time length = 300000;
    int retries = 1;           // tries more, by the client
    bool heeds_advice = true;  // else it comes again after its own wait alone
    Time wait = 1000;          // before a retry, jittered by half
    bool keep_alive = true;
    // Whether a gateway, by its place, was kept from answering at any time from then to then; empty: never.
    std::function<bool(std::size_t, Time, Time)> excused{};
    std::uint64_t seed = 1;
    Time most_lag = 100;        // a send this far behind its schedule is late ...
    double most_behind = 0.01;  // ... and this part of late ones makes the result invalid
};

struct PlanResult {
    std::string name;
    std::uint64_t asked = 0, tries = 0, delivered = 0, in_goal = 0, bounced_advised = 0, bounced_plain = 0,
                  written_off = 0, unanswered = 0, refused = 0, unconnected = 0,
                  after_limit = 0;  // final answers of any kind past the client's limit
    Latencies latencies;            // of what was delivered, from the intended moment
};

class Load : net::ConnectionHandler {
  public:
    // Throws errors::BadCall naming what is out of range. `done` is told once the last submission has
    // ended.
    Load(Loop& loop, const LoadPlan& plan, Referee* referee, std::function<void()> done);
    ~Load() override;

    void start();
    void stop();  // sends nothing more; what is out still ends

    const std::vector<PlanResult>& results() const { return results_; }
    std::uint64_t sent() const { return sent_; }
    std::uint64_t behind() const { return behind_; }  // sends later than `most_lag`
    Time worst_lag() const { return worst_lag_; }
    bool valid() const {
        return static_cast<double>(behind_) <= plan_.most_behind * static_cast<double>(sent_);
    }
    std::size_t open() const { return open_; }
    // Of each second since the start: asked, delivered within the goal, bounced.
    struct Second {
        std::uint64_t asked = 0, in_goal = 0, bounced = 0;
    };
    // Of the tries at each gateway, by its place.
    struct AtGateway {
        std::uint64_t tries = 0, delivered = 0, in_goal = 0, bounced = 0, written_off = 0, unanswered = 0,
                      excused = 0, unconnected = 0;
    };
    const std::vector<AtGateway>& gateways() const { return at_; }
    const std::vector<Second>& seconds() const { return seconds_; }
    nlohmann::json report() const;

  private:
    struct Arrival {
        Time at;  // from the start
        std::uint32_t plan, customer;
    };
    struct Submission {
        std::uint32_t plan;
        std::uint64_t customer;
        Time intended;
        int tries = 0;
        std::size_t gateway = 0;
        Time sent = 0;  // the last try
        bool resent = false;
        std::string id{};
    };
    struct Way {
        std::size_t gateway;
        net::Handle connection = 0;
        net::HttpReader reader{HTTP_RESPONSE};
        net::Handle submission = 0;
        bool up = false, used = false;
        std::string waiting{};
        net::Deadlines::Key limit{};
    };

    void send_due();
    void begin(const Arrival& arrival);
    void try_once(net::Handle id);
    void give(std::uint32_t mark, Way& way, net::Handle id);
    std::string request(const Submission& s, Time left) const;
    void opened(net::Handle, std::uint32_t mark, bool up) override;
    void received(net::Handle, std::uint32_t mark) override;
    void ended(net::Handle, std::uint32_t mark) override;
    void answered(std::uint32_t mark, Way& way);
    void lost(net::Handle id);
    void again_or(net::Handle id, Time advice, std::uint64_t PlanResult::*otherwise);
    void over(net::Handle id);
    void tell_if_done();
    void give_back(std::uint32_t mark);
    Second& second();
    PlanResult& result(const Submission& s) { return results_[s.plan]; }

    Loop& loop_;
    LoadPlan plan_;
    Referee* referee_;
    std::function<void()> done_;
    boost::random::mt19937 chance_;
    std::vector<Arrival> arrivals_;
    std::size_t next_ = 0;
    Time started_ = 0;
    net::Deadlines::Key next_send_{};
    net::Slots<Submission> submissions_;
    net::Slots<Way> ways_;
    std::vector<std::vector<std::uint32_t>> idle_;  // by gateway, the one used last at the end
    std::vector<PlanResult> results_;
    std::vector<AtGateway> at_;
    std::vector<Second> seconds_;
    std::uint64_t sent_ = 0, behind_ = 0, ids_ = 0;
    std::size_t open_ = 0;
    Time worst_lag_ = 0;
    bool stopped_ = false, told_ = false;
};

}  // namespace dewweir::rig

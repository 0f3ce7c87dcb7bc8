// The adapter to the simulator: reads batches of events on standard input, calls the Decisions object of each
// simulated gateway, and writes their actions as one reply per batch. The codes and layouts of the
// simulator's protocol are known in this file only; nothing is decided here.
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "decided.h"
#include "dewweir/decisions.h"
#include "errors/errors.h"
#include "setting_names.h"

using namespace dewweir;

namespace {

// Codes of the protocol.
enum EventCode : std::uint16_t {
    instance_started = 256,
    host_list = 257,
    request_received = 258,
    stream_started = 259,
    attempt_ended = 260,
    client_disconnected = 261,
    timer_expired = 262,
    probe_answered = 263,
    peer_message = 264,
    instance_stopped = 265,
    counter_replied = 266,
};
enum ActionCode : std::uint16_t {
    start_attempt = 256,
    refuse_request = 257,
    fail_request = 258,
    cancel_attempt = 259,
    start_timer = 260,
    write_log = 264,
    stop_instance = 265,
    watch_list = 266,
    call_counter = 268,
};

// A record, read at the offsets that the protocol gives. Throws errors::BadInput on reading past its end.
class Record {
  public:
    Record(const char* at, std::size_t size) : at_(at), size_(size) {}
    template <class T> T get(std::size_t offset) const {
        if (offset > size_ || sizeof(T) > size_ - offset)
            throw errors::BadInput("the wire", "a record is cut short");
        T value;
        std::memcpy(&value, at_ + offset, sizeof value);
        return value;
    }
    std::string text(std::size_t offset) const {
        const auto length = get<std::uint32_t>(offset);
        if (length > size_ - offset - 4) throw errors::BadInput("the wire", "a record's text is cut short");
        return {at_ + offset + 4, length};
    }
    Time time(std::size_t offset) const {
        const double ms = get<double>(offset);
        if (!(std::abs(ms) < 1e14)) throw errors::BadInput("the wire", "a time is not a number");
        return std::llround(ms * 10);
    }

  private:
    const char* at_;
    std::size_t size_;
};

class Reply {
  public:
    void begin(std::uint32_t batch) {
        bytes_.clear();
        records_ = 0;
        put(batch).put<std::uint32_t>(0).put<std::uint32_t>(0);
    }
    Reply& action(std::uint16_t code, std::uint32_t size) {
        ++records_;
        return put(code).put(size);
    }
    template <class T> Reply& put(T value) {
        bytes_.append(reinterpret_cast<const char*>(&value), sizeof value);
        return *this;
    }
    Reply& text(const std::string& text) {
        put<std::uint16_t>(text.size());
        bytes_ += text;
        return *this;
    }
    const std::string& finish() {
        const std::uint32_t size = bytes_.size();
        std::memcpy(&bytes_[4], &records_, 4);
        std::memcpy(&bytes_[8], &size, 4);
        return bytes_;
    }

  private:
    std::string bytes_;
    std::uint32_t records_ = 0;
};

double ms(Time time) { return static_cast<double>(time) / 10; }

// Writes the actions of one simulated gateway to the reply.
class SimulatedGateway : public Gateway {
  public:
    SimulatedGateway(Reply& reply, std::uint16_t instance) : reply_(reply), instance_(instance) {}
    void start_attempt(std::uint32_t request, std::uint32_t host, Time timeout) override {
        reply_.action(ActionCode::start_attempt, 18).put(instance_).put(request).put(host).put(ms(timeout));
    }
    void refuse(std::uint32_t request, Time retry_after) override {
        reply_.action(ActionCode::refuse_request, 14).put(instance_).put(request).put(ms(retry_after));
    }
    void fail(std::uint32_t request) override {
        reply_.action(ActionCode::fail_request, 6).put(instance_).put(request);
    }
    void cancel(std::uint32_t request, int attempt) override {
        reply_.action(ActionCode::cancel_attempt, 8).put(instance_).put(request).put<std::uint16_t>(attempt);
    }
    void add_to_counter(std::uint64_t name, double amount, Time keep_for) override {
        reply_.action(ActionCode::call_counter, 22)
            .put(instance_)
            .put(name)
            .put<float>(amount)
            .put(ms(keep_for));
    }
    void start_timer(Time from_now, std::uint64_t token) override {
        reply_.action(ActionCode::start_timer, 18).put(instance_).put(ms(from_now)).put(token);
    }
    void cancel_timer(std::uint64_t) override {}  // the protocol has no such action
    void watch_host_list() override {
        reply_.action(ActionCode::watch_list, 3).put(instance_).put<std::uint8_t>(1);
    }
    void log(LogEvent, std::uint32_t, const std::string& line) override {
        const std::string text = line.substr(0, 60000);
        reply_.action(ActionCode::write_log, text.size() + 4).put(instance_).text(text);
    }
    void report_decisions(const DecisionCounts& counts) override {
        if (const std::string line = decided_line(counts); !line.empty()) log({}, 0, line);
    }
    void stop(const std::string& why) {
        reply_.action(ActionCode::stop_instance, why.size() + 4).put(instance_).text(why);
    }

  private:
    Reply& reply_;
    std::uint16_t instance_;
};

struct Instance {
    std::unique_ptr<SimulatedGateway> gateway;
    std::unique_ptr<Decisions> decisions;
};

AttemptOutcome outcome_of(std::uint8_t code) {
    switch (code) {
        case 0: return AttemptOutcome::ok;
        case 255: return AttemptOutcome::error;
        case 254: return AttemptOutcome::overloaded;
        case 253: return AttemptOutcome::timeout;
        case 252: return AttemptOutcome::connect_failed;
        case 251: return AttemptOutcome::broken;
        case 250: return AttemptOutcome::cancelled;
        case 249: return AttemptOutcome::not_sent;
    }
    throw errors::BadInput("the wire", "unknown outcome code " + std::to_string(code));
}

void handle_host_list(Decisions& decisions, const Record& r, Time now) {
    const auto mode = r.get<std::uint8_t>(8);
    if (mode > 3) throw errors::BadInput("the wire", "unknown kind of list " + std::to_string(mode));
    if (mode == 3) return decisions.list_failed(now);
    const auto rows = r.get<std::uint32_t>(17);
    decisions.list_begins(now, mode != 0);
    for (std::uint64_t row = 0; row < rows; ++row) {
        const std::size_t at = 21 + row * 22;
        const auto state = r.get<std::uint8_t>(at + 21);
        if (state > 2) throw errors::BadInput("the wire", "unknown host mode " + std::to_string(state));
        decisions.host_listed(now, r.get<std::uint32_t>(at + 17), static_cast<HostState>(state), r.time(at),
                              r.get<std::uint8_t>(at + 10), r.get<std::uint16_t>(at + 8));
    }
    decisions.list_ends(now);
}

void handle_event(std::map<std::uint16_t, Instance>& instances, Reply& reply, const Record& r, Time now) {
    const auto code = r.get<std::uint16_t>(0);
    if (code < EventCode::instance_started || code > EventCode::counter_replied)
        throw errors::BadInput("the wire", "unknown event code " + std::to_string(code));
    const auto number = r.get<std::uint16_t>(6);
    if (code == EventCode::instance_started) {
        Instance& fresh = instances[number];
        fresh.decisions.reset();
        fresh.gateway = std::make_unique<SimulatedGateway>(reply, number);
        try {
            fresh.decisions = std::make_unique<Decisions>(*fresh.gateway, settings_of_lines(r.text(16)),
                                                          r.get<std::uint64_t>(8), now);
        } catch (const errors::BadSetting& fault) { fresh.gateway->stop(fault.what()); }
        return;
    }
    const auto found = instances.find(number);
    if (found == instances.end() || !found->second.decisions) return;  // not started, or stopped
    Decisions& decisions = *found->second.decisions;
    switch (code) {
        case EventCode::host_list: return handle_host_list(decisions, r, now);
        case EventCode::request_received:
            return decisions.request_received(
                now, r.get<std::uint32_t>(8), r.get<std::uint16_t>(37), r.get<std::uint32_t>(25),
                r.get<std::uint64_t>(29), r.get<float>(13),
                static_cast<int>(std::clamp(r.get<float>(17), 0.0f, 1e6f)), r.time(39));
        case EventCode::stream_started:
            return decisions.stream_started(now, r.get<std::uint32_t>(8), r.get<std::uint16_t>(12));
        case EventCode::attempt_ended:
            return decisions.attempt_ended(now, r.get<std::uint32_t>(8), r.get<std::uint16_t>(30),
                                           r.get<std::uint32_t>(26), outcome_of(r.get<std::uint8_t>(25)),
                                           r.time(15), r.get<std::uint8_t>(14) != 0,
                                           r.get<std::uint16_t>(23));
        case EventCode::client_disconnected:
            return decisions.client_disconnected(now, r.get<std::uint32_t>(8));
        case EventCode::timer_expired: return decisions.timer_expired(now, r.get<std::uint64_t>(8));
        case EventCode::probe_answered: return;  // no probe requests are sent
        case EventCode::peer_message: return;    // simulated gateways share the counter only
        case EventCode::instance_stopped: instances.erase(found); return;
        case EventCode::counter_replied:
            return decisions.counter_replied(now, r.get<std::uint64_t>(8),
                                             outcome_of(r.get<std::uint8_t>(28)), r.get<float>(24),
                                             r.time(16));
    }
}

bool read_all(char* to, std::size_t size) {
    const std::size_t got = std::fread(to, 1, size, stdin);
    if (got && got < size) throw errors::BadInput("the wire", "input ends within a batch");
    return got == size;
}

void serve() {
    std::map<std::uint16_t, Instance> instances;
    Reply reply;
    std::string batch(20, '\0');
    while (read_all(batch.data(), 20)) {
        const Record header(batch.data(), 20);
        const auto number = header.get<std::uint32_t>(0), length = header.get<std::uint32_t>(4);
        const auto records = header.get<std::uint32_t>(8);
        const Time now = header.time(12);
        if (length < 20) throw errors::BadInput("the wire", "a batch is shorter than its header");
        std::string body(length - 20, '\0');
        if (!body.empty() && !read_all(body.data(), body.size()))
            throw errors::BadInput("the wire", "a batch has no body");
        reply.begin(number);
        std::size_t at = 0;
        for (std::uint32_t n = 0; n < records; ++n) {
            const std::size_t left = body.size() - at;
            const auto size = Record(body.data() + at, left).get<std::uint32_t>(2);
            if (size > left - 6) throw errors::BadInput("the wire", "a record runs past its batch");
            handle_event(instances, reply, Record(body.data() + at, size + 6), now);
            at += size + 6;
        }
        if (at != body.size()) throw errors::BadInput("the wire", "a batch is longer than its records");
        const std::string& bytes = reply.finish();
        std::fwrite(bytes.data(), 1, bytes.size(), stdout);
        std::fflush(stdout);
    }
}

}  // namespace

int main() {
    try {
        serve();
    } catch (const std::exception& fault) {
        std::fprintf(stderr, "dewweir_simhost: %s\n", fault.what());
        return 1;
    }
}

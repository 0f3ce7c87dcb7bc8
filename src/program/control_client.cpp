#include "program/control_client.h"

#include <algorithm>
#include <optional>
#include <thread>

#include "api/status.h"

namespace dewweir::program {
namespace {

constexpr std::chrono::milliseconds silence_limit{1'000};
constexpr std::chrono::milliseconds first_pause{100};
constexpr std::chrono::milliseconds longest_pause{1'000};
constexpr int most_redirects = 2;
// What a slow link carries in a second; large bodies get that much longer.
constexpr std::size_t body_bytes_per_second = 4u << 20;
constexpr int first_server_error = 500;

std::chrono::milliseconds silence_for(const HttpRequest& request) {
    return silence_limit * (1 + static_cast<int>(request.body.size() / body_bytes_per_second));
}

bool is(int status, api::Status expected) { return status == static_cast<int>(expected); }

// Such an answer settles nothing: another control plane may do better, or the same one later.
bool is_clear(int status) {
    const bool later = is(status, api::Status::request_timeout) || is(status, api::Status::too_many_requests);
    return !later && status < first_server_error && !is(status, api::Status::temporary_redirect);
}

struct RedirectTarget {
    ControlAddress address;
    std::string target;
};

std::optional<RedirectTarget> parse_location(std::string_view location) {
    constexpr std::string_view scheme = "http://";
    if (!location.starts_with(scheme)) return std::nullopt;
    location.remove_prefix(scheme.size());
    const std::size_t slash = location.find('/');
    if (slash == std::string_view::npos) return std::nullopt;
    const std::optional<ControlAddress> address = parse_control_address(location.substr(0, slash));
    if (!address) return std::nullopt;
    return RedirectTarget{*address, std::string(location.substr(slash))};
}

}  // namespace

ExchangeResult RealTransport::exchange(const ControlAddress& address, const HttpRequest& request,
                                       std::chrono::milliseconds silence) {
    return program::exchange(address, request, silence);
}

Clock::time_point RealTransport::now() { return Clock::now(); }

void RealTransport::pause(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

ControlClient::ControlClient(Transport& transport, std::vector<ControlAddress> controls,
                             std::chrono::milliseconds timeout)
    : transport_(transport), controls_(std::move(controls)), timeout_(timeout) {}

// One try at one address, with the redirects that follow from it.
ControlClient::Try ControlClient::try_once(const ControlAddress& address, HttpRequest request) {
    Try made{address, address, {}};
    for (int redirects = 0; redirects <= most_redirects; ++redirects) {
        const ExchangeResult result = transport_.exchange(made.address, request, silence_for(request));
        if (const auto* const fault = std::get_if<ExchangeFault>(&result)) {
            made.outcome = to_string(*fault);
            made.may_have_arrived |= may_have_arrived(*fault);
            return made;
        }
        made.answer = std::get<HttpResponse>(result);
        if (is_clear(made.answer.status)) return made;
        // Even a redirect or a 503 may come after a proposal whose leader has changed meanwhile.
        made.may_have_arrived = true;
        made.outcome = "status " + std::to_string(made.answer.status);
        const std::optional<RedirectTarget> next = parse_location(made.answer.location);
        if (!is(made.answer.status, api::Status::temporary_redirect) || !next) return made;
        if (redirects == most_redirects) break;
        made.address = next->address;
        request.target = next->target;
        made.outcome.clear();
    }
    made.outcome = "too many redirects";
    return made;
}

CallResult ControlClient::call(const HttpRequest& request) {
    const Clock::time_point end = transport_.now() + timeout_;
    std::chrono::milliseconds pause = first_pause;
    std::vector<Try> last_tries(controls_.size());
    bool may_have_arrived = false;
    for (std::size_t next = 0;; next = (next + 1) % controls_.size()) {
        const Try made = try_once(controls_[next], request);
        if (made.outcome.empty()) return made.answer;
        may_have_arrived |= made.may_have_arrived;
        last_tries[next] = made;
        last_tries[next].may_have_arrived = may_have_arrived;
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(end - transport_.now());
        if (left <= std::chrono::milliseconds::zero()) break;
        transport_.pause(std::min(pause, left));
        pause = std::min(pause * 2, longest_pause);
    }
    return give_up(request, last_tries);
}

Failure ControlClient::give_up(const HttpRequest& request, const std::vector<Try>& last_tries) const {
    std::string reason = "no clear answer in " + std::to_string(timeout_.count()) + " ms:";
    bool may_have_arrived = false;
    for (const Try& made : last_tries) {
        if (made.outcome.empty()) continue;
        reason.append(" ").append(to_string(made.asked)).append(" (");
        if (made.address != made.asked)
            reason.append("sent on to ").append(to_string(made.address)).append(": ");
        reason.append(made.outcome).append(")");
        may_have_arrived |= made.may_have_arrived;
    }
    const bool unclear = may_have_arrived && request.method != "GET";
    return {unclear ? ExitCode::unclear : ExitCode::unreachable, reason, {}};
}

EndpointAnswer ControlClient::ask(const ControlAddress& address, const HttpRequest& request) {
    return {address, transport_.exchange(address, request, silence_for(request))};
}

std::vector<EndpointAnswer> ControlClient::ask_each(const HttpRequest& request) {
    std::vector<EndpointAnswer> answers;
    for (const ControlAddress& address : controls_) answers.push_back(ask(address, request));
    return answers;
}

}  // namespace dewweir::program

#include "program/control_client.h"

#include <algorithm>
#include <optional>
#include <thread>

#include "api/status.h"

namespace dewweir::program {
namespace {

constexpr std::chrono::milliseconds base_stall_timeout{1'000};
constexpr std::chrono::milliseconds initial_backoff{100};
constexpr std::chrono::milliseconds max_backoff{1'000};
constexpr int max_redirects = 2;
// Throughput of a slow link. Each so many bytes of a body extend the stall timeout by one base timeout.
constexpr std::size_t slow_link_bytes_per_second = 4u << 20;
constexpr int first_server_error = 500;

std::chrono::milliseconds stall_timeout_for(const HttpRequest& request) {
    return base_stall_timeout * (1 + static_cast<int>(request.body.size() / slow_link_bytes_per_second));
}

bool is(int status, api::Status expected) { return status == static_cast<int>(expected); }

// Whether a response settles the call. After any other response the call is repeated: another control plane,
// or the same one later, may give a conclusive one.
bool is_conclusive(int status) {
    const bool try_later =
        is(status, api::Status::request_timeout) || is(status, api::Status::too_many_requests);
    return !try_later && status < first_server_error && !is(status, api::Status::temporary_redirect);
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
                                       std::chrono::milliseconds stall_timeout) {
    return program::exchange(address, request, stall_timeout);
}

Clock::time_point RealTransport::now() { return Clock::now(); }

void RealTransport::sleep_for(std::chrono::milliseconds duration) { std::this_thread::sleep_for(duration); }

ControlClient::ControlClient(Transport& transport, std::vector<ControlAddress> controls,
                             std::chrono::milliseconds timeout)
    : transport_(transport), controls_(std::move(controls)), timeout_(timeout) {}

// One attempt: calls the address and follows its redirects.
ControlClient::Attempt ControlClient::attempt(const ControlAddress& address, HttpRequest request) {
    Attempt current{address, address, {}};
    for (int redirects = 0; redirects <= max_redirects; ++redirects) {
        const ExchangeResult result =
            transport_.exchange(current.last_address, request, stall_timeout_for(request));
        if (const auto* const error = std::get_if<ExchangeError>(&result)) {
            current.failure = to_string(*error);
            current.may_have_arrived |= may_have_arrived(*error);
            return current;
        }
        current.response = std::get<HttpResponse>(result);
        if (is_conclusive(current.response.status)) return current;
        // Even a redirect or a 503 may follow a proposal that was made before the leader changed.
        current.may_have_arrived = true;
        current.failure = "status " + std::to_string(current.response.status);
        const std::optional<RedirectTarget> next = parse_location(current.response.location);
        if (!is(current.response.status, api::Status::temporary_redirect) || !next) return current;
        if (redirects == max_redirects) break;
        current.last_address = next->address;
        request.target = next->target;
        current.failure.clear();
    }
    current.failure = "too many redirects";
    return current;
}

CallResult ControlClient::call(const HttpRequest& request) {
    const Clock::time_point end = transport_.now() + timeout_;
    std::chrono::milliseconds backoff = initial_backoff;
    std::vector<Attempt> last_attempts(controls_.size());
    bool may_have_arrived = false;
    for (std::size_t next = 0;; next = (next + 1) % controls_.size()) {
        const Attempt latest = attempt(controls_[next], request);
        if (latest.failure.empty()) return latest.response;
        may_have_arrived |= latest.may_have_arrived;
        last_attempts[next] = latest;
        last_attempts[next].may_have_arrived = may_have_arrived;
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(end - transport_.now());
        if (remaining <= std::chrono::milliseconds::zero()) break;
        transport_.sleep_for(std::min(backoff, remaining));
        backoff = std::min(backoff * 2, max_backoff);
    }
    return failure_after(request, last_attempts);
}

Failure ControlClient::failure_after(const HttpRequest& request,
                                     const std::vector<Attempt>& last_attempts) const {
    std::string reason = "no clear answer in " + std::to_string(timeout_.count()) + " ms:";
    bool may_have_arrived = false;
    for (const Attempt& last : last_attempts) {
        if (last.failure.empty()) continue;
        reason.append(" ").append(to_string(last.first_address)).append(" (");
        if (last.last_address != last.first_address)
            reason.append("sent on to ").append(to_string(last.last_address)).append(": ");
        reason.append(last.failure).append(")");
        may_have_arrived |= last.may_have_arrived;
    }
    const bool outcome_unknown = may_have_arrived && request.method != "GET";
    return {outcome_unknown ? ExitCode::outcome_unknown : ExitCode::unreachable, reason, {}};
}

EndpointResult ControlClient::call_once(const ControlAddress& address, const HttpRequest& request) {
    return {address, transport_.exchange(address, request, stall_timeout_for(request))};
}

std::vector<EndpointResult> ControlClient::call_each_once(const HttpRequest& request) {
    std::vector<EndpointResult> results;
    for (const ControlAddress& address : controls_) results.push_back(call_once(address, request));
    return results;
}

}  // namespace dewweir::program

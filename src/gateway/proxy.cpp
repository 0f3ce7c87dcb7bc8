#include "gateway/proxy.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace dewweir::gateway {
namespace {

using configuration::RouteClass;

// A body longer than this is sent on as it comes, and then can't be sent to a second host.
constexpr std::size_t held_body = 64u << 10;
// So much may wait for a slow peer before the other side is read no further.
constexpr std::size_t most_unsent = 256u << 10;
// Kept off the client's time, for the answer's way.
constexpr runtime::Time answer_margin = 20 * runtime::tenths_per_millisecond;
constexpr std::string_view retry_without_configuration = "Retry-After: 0.5\r\n";
// By then what fills the link has passed, and its age is known anew.
constexpr std::string_view retry_with_old_list = "Retry-After: 1\r\n";
// Some requests have come by then, and with them the budget for another attempt.
constexpr runtime::Time retry_without_budget = 300 * runtime::tenths_per_millisecond;

quota::TenantId number_of(std::string_view tenant) { return XXH3_64bits(tenant.data(), tenant.size()); }

std::optional<runtime::Time> parse_time_left(std::string_view text) {
    double milliseconds = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (fault != std::errc() || end != text.data() + text.size() || !(milliseconds >= 0)) return std::nullopt;
    return static_cast<runtime::Time>(std::min(milliseconds, 3.6e6) * runtime::tenths_per_millisecond);
}

std::string retry_after_field(runtime::Time retry_after) {
    if (retry_after <= 0) return {};
    char text[48];
    std::snprintf(text, sizeof text, "Retry-After: %.3f\r\n",
                  static_cast<double>(retry_after) / runtime::tenths_per_second);
    return text;
}

// Hosts that turn an attempt away have had it too.
bool may_have_arrived(AttemptOutcome outcome) {
    return outcome != AttemptOutcome::connect_failed && outcome != AttemptOutcome::not_sent;
}

PolicyOutcome verdict_of(const AttemptResult& result) {
    switch (result.outcome) {
        case AttemptOutcome::answered:
            return result.answer.status < 500 ? PolicyOutcome::ok : PolicyOutcome::error;
        case AttemptOutcome::not_executed: return PolicyOutcome::overloaded;
        case AttemptOutcome::misdirected:
        case AttemptOutcome::connect_failed: return PolicyOutcome::connect_failed;
        case AttemptOutcome::broken: return PolicyOutcome::broken;
        case AttemptOutcome::timed_out: return PolicyOutcome::timeout;
        case AttemptOutcome::not_sent: return PolicyOutcome::not_sent;
    }
    return PolicyOutcome::broken;
}

}  // namespace

Proxy::Proxy(runtime::EventLoop& loop, QuotaClient& quotas, const Options& options)
    : loop_(loop),
      locality_(options.locality),
      quotas_(quotas),
      cold_(options.node, options.cold_bound),
      retry_budget_(options.retry_bound),
      front_(loop, *this),
      upstreams_(loop, *this),
      endpoints_(options.locality) {
    endpoints_.set_list_lag(options.list_lag);
}

// ---- requests of clients ----

void Proxy::request_begun(ClientId client, net::HttpReader& reader) {
    const std::string_view attempt_id = reader.field("X-Attempt-Id");
    const std::string_view host = reader.field("Host");
    if (attempt_id.empty() || host.empty()) return answer_error(client, 400, {});
    if (!takes_requests_) return answer_error(client, 503, {});
    if (!list_valid()) return answer_error(client, 503, retry_with_old_list);
    const RequestAddress address{host, reader.target(), reader.field("Authorization"), attempt_id};
    const RoutingResult result = route_request(table_.get(), address);
    if (const auto* const error = std::get_if<RoutingError>(&result)) {
        switch (*error) {
            case RoutingError::no_configuration:
                return answer_error(client, 503, retry_without_configuration);
            case RoutingError::no_route: return answer_error(client, 404, {});
            case RoutingError::unknown_key: return answer_error(client, 401, {});
            // Nothing is wrong with the request, so this is no 4xx; it can't run anywhere.
            case RoutingError::no_home: return answer_error(client, 503, {});
        }
    }
    const RequestId id = requests_.add();
    if (!id) return answer_error(client, 503, retry_without_configuration);
    Request& request = *requests_.find(id);
    request.client = client;
    request.table = table_;
    request.routed = std::get<Routed>(result);
    retry_budget_.requested(request.routed.pool.service);
    request.attempt_id = attempt_id;
    request.method = http_method_str(static_cast<http_method>(reader.method()));
    request.target = reader.target();
    reader.append_forwarded_fields(request.fields,
                                   {"Authorization", "X-Tenant", "X-Time-Left-Ms", "X-Expect-Instance"});
    request.chunked = reader.chunked();
    const runtime::Time deadline = runtime::tenths(request.routed.route->deadline);
    const runtime::Time patience = parse_time_left(reader.field("X-Time-Left-Ms")).value_or(deadline);
    request.expires = loop_.now() + std::min(deadline, patience);
    if (answers_at_) request.expires = std::min(request.expires, *answers_at_);
    if (!reader.chunked() && reader.has_field("Content-Length")) {
        request.fields.append("Content-Length: ").append(std::to_string(reader.body_length())).append("\r\n");
    }
    PoolEntry& entry = pool_for(request.routed.pool);
    request.pool = entry.pool.get();
    ++entry.requests;
    by_client_[client] = id;
}

void Proxy::request_body(ClientId client, net::HttpReader& reader) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const RequestId id = found->second;
    Request& request = *requests_.find(id);
    if (request.complete) return;
    if (request.streaming_up) return forward_body(request, reader);
    if (request.body.size() >= held_body) return;  // waits with the reader until a host takes it
    request.body.append(reader.body());
    reader.body().clear();
    request.complete = reader.complete();
    const bool enough = request.complete || request.body.size() >= held_body;
    if (enough && !request.asked) check_quota(id, request);
}

void Proxy::check_quota(RequestId id, Request& request) {
    request.asked = true;
    const configuration::Tenant* const tenant = request.routed.tenant;
    if (!tenant || !tenant->has_quota()) return submit(id, request);
    const quota::Quota quota{tenant->rate_per_s, tenant->burst};
    quotas_.request(number_of(tenant->name), quota, [this, id](const QuotaVerdict& verdict) {
        Request* const asked = requests_.find(id);
        if (!asked || !asked->client) return;
        if (verdict.passed) return submit(id, *asked);
        answer(id, *asked, {429, retry_after_field(verdict.retry_after)}, {});
    });
}

// What a slow host does not take waits with the client's reader, until `attempt_writable`.
void Proxy::forward_body(Request& request, net::HttpReader& reader) {
    if (!request.attempt || upstreams_.unsent(request.attempt) > most_unsent) return;
    request.complete = reader.complete();
    upstreams_.send_body(request.attempt, reader.body(), request.complete);
    reader.body().clear();
}

void Proxy::submit(RequestId id, Request& request) {
    request.submitted = true;
    const configuration::Route& route = *request.routed.route;
    PoolRequest wanted;
    wanted.id = id;
    wanted.kind = {route.route_class, route.target_latency};
    wanted.time_left = std::max<runtime::Time>(1, request.expires - loop_.now() - answer_margin);
    request.pool->submit(wanted);
}

void Proxy::client_left(ClientId client) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const RequestId id = found->second;
    by_client_.erase(found);
    Request& request = *requests_.find(id);
    request.client = 0;
    // Nobody reads a repeatable one's answer, and one whose body is missing can't run. Any other goes on
    // unseen.
    const bool repeatable = request.routed.route->route_class == RouteClass::idempotent;
    if (repeatable || !request.complete) cancel(id);
    if (request.attempt) upstreams_.read_on(request.attempt);
    if (request.submitted) request.pool->client_left(id);
    forget_if_over(id);
}

void Proxy::client_writable(ClientId client) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const Request& request = *requests_.find(found->second);
    if (request.attempt) upstreams_.read_on(request.attempt);
}

// ---- what the pools decide ----

std::string Proxy::request_head(const Request& request, EndpointId endpoint, runtime::Time time_left) const {
    std::string head;
    head.reserve(request.fields.size() + request.target.size() + 160);
    head.append(request.method)
        .append(" ")
        .append(request.target)
        .append(" HTTP/1.1\r\n")
        .append(request.fields);
    if (request.chunked) head.append("Transfer-Encoding: chunked\r\n");
    const runtime::Time milliseconds =
        std::max<runtime::Time>(1, time_left / runtime::tenths_per_millisecond);
    head.append("X-Time-Left-Ms: ").append(std::to_string(milliseconds)).append("\r\n");
    if (const Endpoint* const known = endpoints_.find(endpoint)) {
        head.append("X-Expect-Instance: ").append(known->instance.id).append("\r\n");
    }
    if (request.routed.tenant) head.append("X-Tenant: ").append(request.routed.tenant->name).append("\r\n");
    return head;
}

void Proxy::send(RequestId id, EndpointId endpoint, runtime::Time within) {
    Request* const request = requests_.find(id);
    if (!request) return;
    request->endpoint = endpoint;
    const std::string& service = request->routed.pool.service;
    if (request->arrived && !retry_budget_.allows(service)) return end_without_retry(id, *request);
    if (!request->client || request->streaming_up || !admit(endpoint)) {
        return attempt_dropped(id, *request, PolicyOutcome::not_sent);
    }
    if (request->arrived) retry_budget_.spend(service);
    const std::string head =
        request_head(*request, endpoint, std::min(within, request->expires - loop_.now()));
    AttemptRequest sent;
    sent.head = head;
    sent.attempt_id = request->attempt_id;
    sent.body = request->body;
    sent.chunked = request->chunked;
    sent.complete = request->complete;
    sent.bodiless_answer = request->method == "HEAD";
    request->attempt = upstreams_.start(id, endpoint, sent, within);
    request->sent = true;
    if (!request->complete && request->attempt) {
        request->streaming_up = true;
        request->body.clear();
        front_.read_on(request->client);
    }
}

void Proxy::refuse(RequestId id, runtime::Time retry_after) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    const configuration::Tenant* const tenant = request->routed.tenant;
    if (tenant && tenant->has_quota() && !request->sent) quotas_.give_back(number_of(tenant->name));
    answer(id, *request, {503, retry_after_field(retry_after)}, {});
}

void Proxy::fail(RequestId id) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    if (request->streaming_down) {
        by_client_.erase(request->client);
        return front_.abort(std::exchange(request->client, 0));
    }
    if (request->held) {
        const HostAnswer held = std::move(*request->held);
        return answer(id, *request, {held.status, held.fields, held.length, held.bodiless}, held.body);
    }
    const bool timed_out = request->last_outcome == AttemptOutcome::timed_out || request->attempt != 0;
    answer(id, *request, {timed_out ? 504 : 502, {}}, {});
}

void Proxy::cancel(RequestId id) {
    Request* const request = requests_.find(id);
    if (!request || !request->attempt) return;
    upstreams_.abandon(std::exchange(request->attempt, 0));
    request->arrived = true;
    attempt_dropped(id, *request, PolicyOutcome::cancelled);
}

// Tells the pool in the next turn: it may be deciding now.
void Proxy::attempt_dropped(RequestId id, Request& request, PolicyOutcome verdict) {
    ++request.untold;
    loop_.post([this, id, verdict, pool = request.pool, endpoint = request.endpoint] {
        Request* const late = requests_.find(id);
        --late->untold;
        pool->attempt_over(id, endpoint, verdict, 0, late->client == 0);
        forget_if_over(id);
    });
}

void Proxy::end_without_retry(RequestId id, Request& request) {
    attempt_dropped(id, request, PolicyOutcome::not_sent);
    refuse(id, retry_without_budget);
}

// ---- what hosts answer ----

// A host's own 408, 429 or 503 may come after it has run the request; from here it would be a promise that it
// has not.
int Proxy::status_for(const Request& request, int status) const {
    const bool promise = status == 408 || status == 429 || status == 503;
    const bool repeatable = request.routed.route->route_class == RouteClass::idempotent;
    return promise && !repeatable ? 502 : status;
}

void Proxy::attempt_over(RequestId id, EndpointId endpoint, AttemptResult&& result) {
    Request* const request = requests_.find(id);
    if (!request) return;
    request->attempt = 0;
    request->last_outcome = result.outcome;
    if (!result.streamed) result.answer.status = status_for(*request, result.answer.status);
    const PolicyOutcome verdict = verdict_of(result);
    request->arrived |= may_have_arrived(result.outcome);
    ServicePool* const pool = request->pool;
    if (result.streamed && request->client) {
        if (result.outcome == AttemptOutcome::answered) {
            front_.continue_answer(request->client, result.answer.body);
            front_.end_answer(request->client);
        } else {
            front_.abort(request->client);
        }
        by_client_.erase(std::exchange(request->client, 0));
    } else if (verdict == PolicyOutcome::ok && request->client) {
        const HostAnswer& host = result.answer;
        answer(id, *request, {host.status, host.fields, host.length, host.bodiless}, host.body);
    } else if (verdict == PolicyOutcome::error) {
        request->held = std::move(result.answer);
    }
    Request* const left = requests_.find(id);
    const bool answered = !left || left->client == 0;
    if (pool_entries_.contains(pool)) pool->attempt_over(id, endpoint, verdict, result.took, answered);
    forget_if_over(id);
}

void Proxy::attempt_streams(RequestId id, HostAnswer&& host) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    request->streaming_down = true;
    const int status = status_for(*request, host.status);
    front_.begin_answer(request->client, {status, host.fields, host.length});
    attempt_continues(id, std::move(host.body));
}

void Proxy::attempt_continues(RequestId id, std::string&& body) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    front_.continue_answer(request->client, body);
    if (front_.unsent(request->client) > most_unsent) upstreams_.pause(request->attempt);
}

void Proxy::attempt_writable(RequestId id) {
    const Request* const request = requests_.find(id);
    if (request && request->client && request->streaming_up) front_.read_on(request->client);
}

// ---- answers ----

void Proxy::answer(RequestId id, Request& request, const AnswerHead& head, std::string_view body) {
    const ClientId client = std::exchange(request.client, 0);
    by_client_.erase(client);
    front_.answer(client, head, body);
    // The pool may still name it while it decides: it is forgotten in the next turn.
    loop_.post([this, id] { forget_if_over(id); });
}

void Proxy::answer_error(ClientId client, int status, std::string_view fields) {
    front_.answer(client, {status, std::string(fields)}, {});
}

void Proxy::forget_if_over(RequestId id) {
    const Request* const request = requests_.find(id);
    if (!request || request->client || request->attempt || request->untold > 0) return;
    const auto entry = pool_entries_.find(request->pool);
    requests_.remove(id);
    if (entry == pool_entries_.end()) return;
    --entry->second.requests;
    if (entry->second.retired && entry->second.requests == 0) loop_.post([this] { drop_retired(); });
}

}  // namespace dewweir::gateway

#include "gateway/proxy.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace dewweir::gateway {
namespace {

using configuration::RouteClass;

// A request body of this size, in bytes, is streamed to the host as it arrives and cannot be sent again.
constexpr std::size_t max_buffered_body_bytes = 64u << 10;
// Bytes waiting to be sent to one side before reading from the other side pauses.
constexpr std::size_t max_unsent_bytes = 256u << 10;
// Subtracted from the client's time limit for the transit of the response.
constexpr runtime::Time response_margin = 20 * runtime::tenths_per_millisecond;
constexpr std::string_view retry_without_configuration = "Retry-After: 0.5\r\n";
// By then a congested link has usually recovered, and the age of the list is known again.
constexpr std::string_view retry_with_old_list = "Retry-After: 1\r\n";
// By then further requests have usually added budget for another attempt.
constexpr runtime::Time retry_without_budget = 300 * runtime::tenths_per_millisecond;

quota::TenantId tenant_id(std::string_view tenant) { return XXH3_64bits(tenant.data(), tenant.size()); }

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

// Also true for an attempt that the host has turned away.
bool may_reach_host(AttemptOutcome outcome) {
    return outcome != AttemptOutcome::connect_failed && outcome != AttemptOutcome::not_sent;
}

PolicyOutcome policy_outcome_of(const AttemptResult& result) {
    switch (result.outcome) {
        case AttemptOutcome::answered:
            return result.response.status < 500 ? PolicyOutcome::ok : PolicyOutcome::error;
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
      front_end_(loop, *this),
      upstreams_(loop, *this),
      endpoints_(options.locality) {
    endpoints_.set_list_lag(options.list_lag);
}

// ---- requests from clients ----

void Proxy::request_started(ClientId client, net::HttpReader& reader) {
    const std::string_view attempt_id = reader.field("X-Attempt-Id");
    const std::string_view host = reader.field("Host");
    if (attempt_id.empty() || host.empty()) return respond_error(client, 400, {});
    if (!accepting_requests_) return respond_error(client, 503, {});
    if (!list_valid()) return respond_error(client, 503, retry_with_old_list);
    const RoutingInput input{host, reader.target(), reader.field("Authorization"), attempt_id};
    const RoutingResult result = route_request(table_.get(), input);
    if (const auto* const error = std::get_if<RoutingError>(&result)) {
        switch (*error) {
            case RoutingError::no_configuration:
                return respond_error(client, 503, retry_without_configuration);
            case RoutingError::no_route: return respond_error(client, 404, {});
            case RoutingError::unknown_key: return respond_error(client, 401, {});
            // Not a 4xx status, since the request is valid; it just cannot be executed in any region.
            case RoutingError::no_common_region: return respond_error(client, 503, {});
        }
    }
    const RequestId id = requests_.add();
    if (!id) return respond_error(client, 503, retry_without_configuration);
    Request& request = *requests_.find(id);
    request.client = client;
    request.table = table_;
    request.routed = std::get<RoutedRequest>(result);
    retry_budget_.add_request(request.routed.pool.service);
    request.attempt_id = attempt_id;
    request.method = http_method_str(static_cast<http_method>(reader.method()));
    request.target = reader.target();
    reader.append_forwarded_fields(request.fields,
                                   {"Authorization", "X-Tenant", "X-Time-Left-Ms", "X-Expect-Instance"});
    request.chunked = reader.chunked();
    const runtime::Time deadline = runtime::tenths(request.routed.route->deadline);
    const runtime::Time client_limit = parse_time_left(reader.field("X-Time-Left-Ms")).value_or(deadline);
    request.expires_at = loop_.now() + std::min(deadline, client_limit);
    if (response_deadline_) request.expires_at = std::min(request.expires_at, *response_deadline_);
    if (!reader.chunked() && reader.has_field("Content-Length")) {
        request.fields.append("Content-Length: ").append(std::to_string(reader.body_length())).append("\r\n");
    }
    PoolEntry& entry = pool_for(request.routed.pool);
    request.pool = entry.pool.get();
    ++entry.requests;
    by_client_[client] = id;
}

void Proxy::request_body_available(ClientId client, net::HttpReader& reader) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const RequestId id = found->second;
    Request& request = *requests_.find(id);
    if (request.complete) return;
    if (request.streaming_request) return forward_body(request, reader);
    // The rest stays in the reader until a host receives it.
    if (request.body.size() >= max_buffered_body_bytes) return;
    request.body.append(reader.body());
    reader.body().clear();
    request.complete = reader.complete();
    const bool enough = request.complete || request.body.size() >= max_buffered_body_bytes;
    if (enough && !request.quota_checked) check_quota(id, request);
}

void Proxy::check_quota(RequestId id, Request& request) {
    request.quota_checked = true;
    const configuration::Tenant* const tenant = request.routed.tenant;
    if (!tenant || !tenant->has_quota()) return submit(id, request);
    const quota::Quota quota{tenant->rate_per_s, tenant->burst};
    quotas_.check(tenant_id(tenant->name), quota, [this, id](const QuotaResult& result) {
        Request* const checked = requests_.find(id);
        if (!checked || !checked->client) return;
        if (result.admitted) return submit(id, *checked);
        respond(id, *checked, {429, retry_after_field(result.retry_after)}, {});
    });
}

// While the host reads slowly, the body stays in the client's reader until `attempt_writable`.
void Proxy::forward_body(Request& request, net::HttpReader& reader) {
    if (!request.attempt || upstreams_.unsent_bytes(request.attempt) > max_unsent_bytes) return;
    request.complete = reader.complete();
    upstreams_.send_request_body(request.attempt, reader.body(), request.complete);
    reader.body().clear();
}

void Proxy::submit(RequestId id, Request& request) {
    request.submitted = true;
    PoolRequest pool_request;
    pool_request.id = id;
    pool_request.kind = request_kind(*request.routed.route);
    pool_request.time_left = std::max<runtime::Time>(1, request.expires_at - loop_.now() - response_margin);
    request.pool->submit(pool_request);
}

void Proxy::client_disconnected(ClientId client) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const RequestId id = found->second;
    by_client_.erase(found);
    Request& request = *requests_.find(id);
    request.client = 0;
    // The response of an idempotent request has no reader any more, and a request with an incomplete body
    // cannot be executed. Any other request continues without a client.
    const bool idempotent = request.routed.route->route_class == RouteClass::idempotent;
    if (idempotent || !request.complete) cancel_attempt(id);
    if (request.attempt) upstreams_.resume_response(request.attempt);
    if (request.submitted) request.pool->client_disconnected(id);
    release_if_done(id);
}

void Proxy::client_writable(ClientId client) {
    const auto found = by_client_.find(client);
    if (found == by_client_.end()) return;
    const Request& request = *requests_.find(found->second);
    if (request.attempt) upstreams_.resume_response(request.attempt);
}

// ---- decisions of the pools ----

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

void Proxy::send_attempt(RequestId id, EndpointId endpoint, runtime::Time within) {
    Request* const request = requests_.find(id);
    if (!request) return;
    request->endpoint = endpoint;
    const std::string& service = request->routed.pool.service;
    if (request->may_have_reached_host && !retry_budget_.allows(service))
        return end_without_retry_budget(id, *request);
    if (!request->client || request->streaming_request || !admit(endpoint)) {
        return report_attempt_end(id, *request, PolicyOutcome::not_sent);
    }
    if (request->may_have_reached_host) retry_budget_.spend(service);
    const std::string head =
        request_head(*request, endpoint, std::min(within, request->expires_at - loop_.now()));
    AttemptRequest sent;
    sent.head = head;
    sent.attempt_id = request->attempt_id;
    sent.body = request->body;
    sent.chunked = request->chunked;
    sent.complete = request->complete;
    sent.expects_no_body = request->method == "HEAD";
    request->attempt = upstreams_.start(id, endpoint, sent, within);
    request->sent_upstream = true;
    if (!request->complete && request->attempt) {
        request->streaming_request = true;
        request->body.clear();
        front_end_.resume_reading(request->client);
    }
}

void Proxy::refuse_request(RequestId id, runtime::Time retry_after) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    const configuration::Tenant* const tenant = request->routed.tenant;
    if (tenant && tenant->has_quota() && !request->sent_upstream) quotas_.give_back(tenant_id(tenant->name));
    respond(id, *request, {503, retry_after_field(retry_after)}, {});
}

void Proxy::fail_request(RequestId id) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    if (request->streaming_response) {
        by_client_.erase(request->client);
        return front_end_.abort(std::exchange(request->client, 0));
    }
    if (request->fallback_response) {
        const UpstreamResponse response = std::move(*request->fallback_response);
        return respond(id, *request, {response.status, response.fields, response.length, response.no_body},
                       response.body);
    }
    const bool timed_out = request->last_outcome == AttemptOutcome::timed_out || request->attempt != 0;
    respond(id, *request, {timed_out ? 504 : 502, {}}, {});
}

void Proxy::cancel_attempt(RequestId id) {
    Request* const request = requests_.find(id);
    if (!request || !request->attempt) return;
    upstreams_.abandon(std::exchange(request->attempt, 0));
    request->may_have_reached_host = true;
    report_attempt_end(id, *request, PolicyOutcome::cancelled);
}

// Informs the pool in the next turn of the event loop, since this may be called from within its decision.
void Proxy::report_attempt_end(RequestId id, Request& request, PolicyOutcome outcome) {
    ++request.pending_reports;
    loop_.post([this, id, outcome, pool = request.pool, endpoint = request.endpoint] {
        Request* const ended = requests_.find(id);
        --ended->pending_reports;
        pool->attempt_finished(id, endpoint, outcome, 0, ended->client == 0);
        release_if_done(id);
    });
}

void Proxy::end_without_retry_budget(RequestId id, Request& request) {
    report_attempt_end(id, request, PolicyOutcome::not_sent);
    refuse_request(id, retry_without_budget);
}

// ---- responses of hosts ----

// Status for the client. A host may send its own 408, 429 or 503 after it has executed the request; from this
// gateway these statuses state that the request was not executed.
int Proxy::client_status(const Request& request, int status) const {
    const bool means_not_executed = status == 408 || status == 429 || status == 503;
    const bool idempotent = request.routed.route->route_class == RouteClass::idempotent;
    return means_not_executed && !idempotent ? 502 : status;
}

void Proxy::attempt_finished(RequestId id, EndpointId endpoint, AttemptResult&& result) {
    Request* const request = requests_.find(id);
    if (!request) return;
    request->attempt = 0;
    request->last_outcome = result.outcome;
    if (!result.streamed) result.response.status = client_status(*request, result.response.status);
    const PolicyOutcome outcome = policy_outcome_of(result);
    request->may_have_reached_host |= may_reach_host(result.outcome);
    ServicePool* const pool = request->pool;
    if (result.streamed && request->client) {
        if (result.outcome == AttemptOutcome::answered) {
            front_end_.send_response_body(request->client, result.response.body);
            front_end_.end_response(request->client);
        } else {
            front_end_.abort(request->client);
        }
        by_client_.erase(std::exchange(request->client, 0));
    } else if (outcome == PolicyOutcome::ok && request->client) {
        const UpstreamResponse& response = result.response;
        respond(id, *request, {response.status, response.fields, response.length, response.no_body},
                response.body);
    } else if (outcome == PolicyOutcome::error) {
        request->fallback_response = std::move(result.response);
    }
    Request* const remaining = requests_.find(id);
    const bool request_done = !remaining || remaining->client == 0;
    if (pool_entries_.contains(pool))
        pool->attempt_finished(id, endpoint, outcome, result.duration, request_done);
    release_if_done(id);
}

void Proxy::response_started(RequestId id, UpstreamResponse&& response) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    request->streaming_response = true;
    const int status = client_status(*request, response.status);
    front_end_.begin_response(request->client, {status, response.fields, response.length});
    response_body_available(id, std::move(response.body));
}

void Proxy::response_body_available(RequestId id, std::string&& body) {
    Request* const request = requests_.find(id);
    if (!request || !request->client) return;
    front_end_.send_response_body(request->client, body);
    if (front_end_.unsent_bytes(request->client) > max_unsent_bytes)
        upstreams_.pause_response(request->attempt);
}

void Proxy::attempt_writable(RequestId id) {
    const Request* const request = requests_.find(id);
    if (request && request->client && request->streaming_request) front_end_.resume_reading(request->client);
}

// ---- responses to clients ----

void Proxy::respond(RequestId id, Request& request, const ResponseHead& head, std::string_view body) {
    const ClientId client = std::exchange(request.client, 0);
    by_client_.erase(client);
    front_end_.send_response(client, head, body);
    // Released in the next turn of the event loop, since the pool may still refer to it while it decides.
    loop_.post([this, id] { release_if_done(id); });
}

void Proxy::respond_error(ClientId client, int status, std::string_view fields) {
    front_end_.send_response(client, {status, std::string(fields)}, {});
}

void Proxy::release_if_done(RequestId id) {
    const Request* const request = requests_.find(id);
    if (!request || request->client || request->attempt || request->pending_reports > 0) return;
    const auto entry = pool_entries_.find(request->pool);
    requests_.remove(id);
    if (entry == pool_entries_.end()) return;
    --entry->second.requests;
    if (entry->second.retired && entry->second.requests == 0) loop_.post([this] { drop_retired(); });
}

}  // namespace dewweir::gateway

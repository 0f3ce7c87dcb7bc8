// Forwards client requests to upstream hosts. Connects the front end, the routing by the configuration in
// force, the decisions of the pools and the upstream connections, and owns every request from its head to the
// end of its response. The pools decide which host is used, whether a request is attempted again and whether
// it is refused; Proxy carries this out and reports the outcomes.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>

#include "gateway/cold_budget.h"
#include "gateway/endpoints.h"
#include "gateway/front_end.h"
#include "gateway/quota_client.h"
#include "gateway/retry_budget.h"
#include "gateway/routing.h"
#include "gateway/service_pool.h"
#include "gateway/upstreams.h"

namespace dewweir::gateway {

class Proxy : ClientRequestHandler, AttemptHandler, PoolActions {
  public:
    struct Options {
        std::string node;  // node name of this gateway
        Locality locality;
        ColdBound cold_bound;
        RetryBound retry_bound;
        // Longest delay from a change in the platform's list of hosts until this gateway has applied it.
        runtime::Time list_lag = 0;
    };

    Proxy(runtime::EventLoop& loop, QuotaClient& quotas, const Options& options);

    FrontEnd& front_end() { return front_end_; }
    bool has_configuration() const { return table_ != nullptr; }
    // The routes of the configuration in force; null while there is none.
    const configuration::RouteTable* route_table() const { return table_.get(); }
    std::size_t open_requests() const { return requests_.size(); }
    // Number of upstream connections that are not established yet.
    std::size_t connecting() { return upstreams_.connecting(); }

    // Prepares the end of the process: every response closes its connection, and no request is given time
    // beyond `response_deadline`.
    void drain(runtime::Time response_deadline);
    // Accepts no further connections and requests; open requests continue. Idempotent.
    void stop_accepting();
    // Responds to all open requests now: those of which nothing was sent to a host as not executed (503), the
    // others as failed.
    void finish_open_requests();

    // Puts a newer configuration in force. Requests that are routed already keep their routes.
    void configure(std::shared_ptr<const configuration::Configuration> configuration);
    void view_changed(const distribution::View& view, const distribution::Changes& changes);
    // Sets the last moment at which requests may be sent by the list of hosts; later ones are refused.
    void set_list_valid_until(runtime::Time moment);

  private:
    struct Request {
        ClientId client = 0;  // 0 once the client has its response or has disconnected
        std::shared_ptr<const configuration::RouteTable> table;  // keeps `routed` valid
        RoutedRequest routed;
        ServicePool* pool = nullptr;  // of the configuration that the request was routed by
        bool quota_checked = false;   // the check of the tenant's quota has been started
        bool submitted = false;       // the pool decides on the request
        std::string attempt_id;
        std::string method;
        std::string target;
        std::string fields;     // header lines to pass on, each with its line end
        std::string body;       // the part that is kept for the next attempt
        bool chunked = false;   // chunked transfer coding
        bool complete = false;  // the complete body has been received
        // Parts of the body were sent to a host and are not kept, so no further attempt is possible.
        bool streaming_request = false;
        bool streaming_response = false;  // parts of the response were passed on to the client
        runtime::Time expires_at = 0;     // when the client gives up
        AttemptId attempt = 0;            // the attempt in flight; 0: none
        EndpointId endpoint = 0;          // of the latest attempt
        bool sent_upstream = false;       // an attempt has been started
        // An attempt may have reached a host: the next one counts as a further attempt.
        bool may_have_reached_host = false;
        int pending_reports = 0;  // ended attempts that the pool has not been told of yet
        // A host's error response, which is passed on if no later attempt succeeds.
        std::optional<UpstreamResponse> fallback_response;
        AttemptOutcome last_outcome = AttemptOutcome::not_sent;
    };
    // A pool with the number of requests that use it. A retired pool takes no new requests and is removed
    // with its last one.
    struct PoolEntry {
        std::unique_ptr<ServicePool> pool;
        bool retired = false;
        std::size_t requests = 0;
    };

    // ClientRequestHandler
    void request_started(ClientId client, net::HttpReader& reader) override;
    void request_body_available(ClientId client, net::HttpReader& reader) override;
    void client_disconnected(ClientId client) override;
    void client_writable(ClientId client) override;
    // AttemptHandler
    void attempt_finished(RequestId request, EndpointId endpoint, AttemptResult&& result) override;
    void response_started(RequestId request, UpstreamResponse&& response) override;
    void response_body_available(RequestId request, std::string&& body) override;
    bool may_send_to(EndpointId endpoint) override;
    void attempt_writable(RequestId request) override;
    // PoolActions
    void send_attempt(RequestId request, EndpointId endpoint, runtime::Time within) override;
    void refuse_request(RequestId request, runtime::Time retry_after) override;
    void fail_request(RequestId request) override;
    void cancel_attempt(RequestId request) override;

    void check_quota(RequestId id, Request& request);
    void submit(RequestId id, Request& request);
    void forward_body(Request& request, net::HttpReader& reader);
    int client_status(const Request& request, int status) const;
    void report_attempt_end(RequestId id, Request& request, PolicyOutcome outcome);
    // The service has no budget for a further attempt. Refusing is correct: every earlier attempt was turned
    // away without being executed, or the request may be executed again when the client retries.
    void end_without_retry_budget(RequestId id, Request& request);
    void respond(RequestId id, Request& request, const ResponseHead& head, std::string_view body);
    void respond_error(ClientId client, int status, std::string_view fields);
    void release_if_done(RequestId id);
    std::string request_head(const Request& request, EndpointId endpoint, runtime::Time time_left) const;

    PoolEntry& pool_for(const PoolKey& key);
    PoolSettings settings_for(const PoolKey& key) const;
    void refresh_pools();
    void refresh_endpoints();
    void drop_retired();
    void withdraw_attempts(const EndpointChanges& changes);
    std::size_t known_gateways() const;
    int gateways_in_zone() const;
    double cold_rate_for(const std::string& service) const;
    bool is_cold(const Endpoint& endpoint) const { return endpoint.cold_until > loop_.now(); }
    bool list_valid() const { return loop_.now() <= list_valid_until_; }
    // Whether a request may be sent to the endpoint now. Takes a token of a cold endpoint's budget.
    bool admit(EndpointId endpoint);
    std::set<EndpointId> withheld_endpoints();
    void schedule_cold_review(EndpointId endpoint);
    void review_cold(EndpointId endpoint);

    runtime::EventLoop& loop_;
    Locality locality_;
    QuotaClient& quotas_;
    ColdBudget cold_;
    RetryBudget retry_budget_;
    std::map<EndpointId, std::unique_ptr<runtime::Timer>> cold_reviews_;
    FrontEnd front_end_;
    Upstreams upstreams_;
    EndpointTable endpoints_;
    std::map<std::string, wire::Member> members_;
    std::shared_ptr<const configuration::RouteTable> table_;
    std::map<PoolKey, ServicePool*> pools_;           // those that take new requests
    std::map<ServicePool*, PoolEntry> pool_entries_;  // those and the retired ones
    net::Slots<Request> requests_;
    std::map<ClientId, RequestId> by_client_;
    std::optional<runtime::Time> response_deadline_;  // set by `drain`
    bool accepting_requests_ = true;
    runtime::Time list_valid_until_ = std::numeric_limits<runtime::Time>::max();
};

}  // namespace dewweir::gateway

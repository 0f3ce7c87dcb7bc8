// Requests on their way: ties clients' connections, the configuration in force, the pools' decisions and the
// connections to hosts together. Owns every request from its head to the end of its answer. It carries out
// and reports; which host, whether again and whether to refuse is decided by the pools.
#pragma once

#include <limits>
#include <map>
#include <memory>
#include <set>

#include "gateway/cold_budget.h"
#include "gateway/endpoints.h"
#include "gateway/front.h"
#include "gateway/quota_client.h"
#include "gateway/retry_budget.h"
#include "gateway/routing.h"
#include "gateway/service_pool.h"
#include "gateway/upstreams.h"

namespace dewweir::gateway {

class Proxy : RequestUser, AttemptUser, PoolUser {
  public:
    struct Options {
        std::string node;
        Locality locality;
        ColdBound cold_bound;
        RetryBound retry_bound;
        runtime::Time list_lag = 0;  // of the platform's list, until it has come here
    };

    Proxy(runtime::EventLoop& loop, QuotaClient& quotas, const Options& options);

    Front& front() { return front_; }
    bool has_configuration() const { return table_ != nullptr; }
    // Of the configuration in force; null while none is.
    const configuration::RouteTable* route_table() const { return table_.get(); }
    std::size_t open_requests() const { return requests_.size(); }
    // Attempts that wait for their connections.
    std::size_t connecting() { return upstreams_.connecting(); }

    // The process ends soon: every answer closes its connection, and no request is given time beyond
    // `answers_at`.
    void drain(runtime::Time answers_at);
    // Neither connections nor requests are taken any more; what is open goes on. Again: changes nothing.
    void take_no_more();
    // What is still open is answered now: as never to run where nothing of it was sent to a host.
    void answer_open();

    // A later configuration is in force from now on; requests that were routed keep their routes.
    void configure(std::shared_ptr<const configuration::Configuration> configuration);
    void view_changed(const distribution::View& view, const distribution::Changes& changes);
    // The last moment at which hosts may be sent requests by the list of them; after it requests are refused.
    void set_list_valid_until(runtime::Time moment);

  private:
    struct Request {
        ClientId client = 0;  // 0 once it has its answer or has left
        std::shared_ptr<const configuration::RouteTable> table;
        Routed routed;
        ServicePool* pool = nullptr;  // of the configuration that it was routed by
        bool asked = false;           // whether the tenant's quota holds it
        bool submitted = false;       // the pool decides on it
        std::string attempt_id;
        std::string method;
        std::string target;
        std::string fields;  // to pass on, each line with its end
        std::string body;    // what may still have to be sent
        bool chunked = false;
        bool complete = false;           // all of the body has come
        bool streaming_up = false;       // parts of the body were sent and are not kept
        bool streaming_down = false;     // parts of the answer were passed on
        runtime::Time expires = 0;       // when the client gives up
        AttemptId attempt = 0;           // while one is out
        EndpointId endpoint = 0;         // of the latest attempt
        bool sent = false;               // to any host
        bool arrived = false;            // an attempt may have reached a host: the next one is a further one
        int untold = 0;                  // attempts whose end the pool is still to hear of
        std::optional<HostAnswer> held;  // a host's answer that is passed on if nothing better comes
        AttemptOutcome last_outcome = AttemptOutcome::not_sent;
    };
    // A pool and the requests that need it; one with earlier settings goes once it has none.
    struct PoolEntry {
        std::unique_ptr<ServicePool> pool;
        bool retired = false;
        std::size_t requests = 0;
    };

    // RequestUser
    void request_begun(ClientId client, net::HttpReader& reader) override;
    void request_body(ClientId client, net::HttpReader& reader) override;
    void client_left(ClientId client) override;
    void client_writable(ClientId client) override;
    // AttemptUser
    void attempt_over(RequestId request, EndpointId endpoint, AttemptResult&& result) override;
    void attempt_streams(RequestId request, HostAnswer&& answer) override;
    void attempt_continues(RequestId request, std::string&& body) override;
    bool attempt_allowed(EndpointId endpoint) override;
    void attempt_writable(RequestId request) override;
    // PoolUser
    void send(RequestId request, EndpointId endpoint, runtime::Time within) override;
    void refuse(RequestId request, runtime::Time retry_after) override;
    void fail(RequestId request) override;
    void cancel(RequestId request) override;

    void check_quota(RequestId id, Request& request);
    void submit(RequestId id, Request& request);
    void forward_body(Request& request, net::HttpReader& reader);
    int status_for(const Request& request, int status) const;
    void attempt_dropped(RequestId id, Request& request, PolicyOutcome verdict);
    // No further attempt is left for its service: it has not run, or may run again by a new try.
    void end_without_retry(RequestId id, Request& request);
    void answer(RequestId id, Request& request, const AnswerHead& head, std::string_view body);
    void answer_error(ClientId client, int status, std::string_view fields);
    void forget_if_over(RequestId id);
    std::string request_head(const Request& request, EndpointId endpoint, runtime::Time time_left) const;

    PoolEntry& pool_for(const PoolKey& key);
    PoolSettings settings_for(const PoolKey& key) const;
    void refresh_pools();
    void refresh_endpoints();
    void drop_retired();
    void withdraw_attempts(const EndpointChanges& changes);
    std::size_t gateways_known() const;
    int gateways_nearby() const;
    double cold_rate_of(const std::string& service) const;
    bool is_cold(const Endpoint& endpoint) const { return endpoint.cold_until > loop_.now(); }
    bool list_valid() const { return loop_.now() <= list_valid_until_; }
    // Whether a request may go there now; a cold endpoint's budget is spent by it.
    bool admit(EndpointId endpoint);
    std::set<EndpointId> withheld_endpoints();
    void watch_cold(EndpointId endpoint);
    void review_cold(EndpointId endpoint);

    runtime::EventLoop& loop_;
    Locality locality_;
    QuotaClient& quotas_;
    ColdBudget cold_;
    RetryBudget retry_budget_;
    std::map<EndpointId, std::unique_ptr<runtime::Timer>> cold_reviews_;
    Front front_;
    Upstreams upstreams_;
    EndpointTable endpoints_;
    std::map<std::string, wire::Member> members_;
    std::shared_ptr<const configuration::RouteTable> table_;
    std::map<PoolKey, ServicePool*> pools_;  // in force
    std::map<ServicePool*, PoolEntry> pool_entries_;
    net::Slots<Request> requests_;
    std::map<ClientId, RequestId> by_client_;
    std::optional<runtime::Time> answers_at_;  // once the process is to end
    bool takes_requests_ = true;
    runtime::Time list_valid_until_ = std::numeric_limits<runtime::Time>::max();
};

}  // namespace dewweir::gateway

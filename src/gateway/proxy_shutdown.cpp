// Shutdown of the proxy: every request that was read is answered before the process exits.
#include "gateway/proxy.h"

namespace dewweir::gateway {

void Proxy::drain(runtime::Time response_deadline) {
    response_deadline_ = response_deadline;
    front_end_.drain();
}

void Proxy::stop_accepting() {
    accepting_requests_ = false;
    front_end_.stop_listening();
}

void Proxy::finish_open_requests() {
    std::vector<RequestId> open;
    requests_.each([&](RequestId id, const Request& request) {
        if (request.client) open.push_back(id);
    });
    for (const RequestId id : open) {
        if (requests_.find(id)->sent_upstream) {
            fail_request(id);
        } else {
            refuse_request(id, 0);
        }
    }
}

}  // namespace dewweir::gateway

// The proxy's part of the process's end: no request that it has read may end without an answer.
#include "gateway/proxy.h"

namespace dewweir::gateway {

void Proxy::drain(runtime::Time answers_at) {
    answers_at_ = answers_at;
    front_.drain();
}

void Proxy::take_no_more() {
    takes_requests_ = false;
    front_.stop_listening();
}

void Proxy::answer_open() {
    std::vector<RequestId> open;
    requests_.each([&](RequestId id, const Request& request) {
        if (request.client) open.push_back(id);
    });
    for (const RequestId id : open) {
        if (requests_.find(id)->sent) {
            fail(id);
        } else {
            refuse(id, 0);
        }
    }
}

}  // namespace dewweir::gateway

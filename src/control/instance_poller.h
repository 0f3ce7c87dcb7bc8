// Reads the platform's whole list at an interval, page after page. Owns the connection to the platform. It
// must never run in more than one process at a time for long: calls are priced and limited for all together.
#pragma once

#include <functional>

#include "api/client.h"
#include "control/instance_list.h"

namespace dewweir::control {

class InstancePoller {
  public:
    // `begun_at`: the list shows at least what the platform showed then. `pages`: how many calls it took.
    using Read = std::function<void(const Instances&, runtime::Time begun_at, unsigned pages)>;

    InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform, Read read);

    void start(runtime::Time interval);
    void stop();
    bool running() const { return running_; }

  private:
    void begin();
    void ask(const std::string& page_token);
    void answered(const api::CallResult& result);
    void failed();
    void again_later();

    runtime::EventLoop& loop_;
    Read read_;
    api::Client client_;
    runtime::Timer timer_;
    runtime::Time interval_ = 0;
    bool running_ = false;
    Instances gathered_;
    runtime::Time begun_at_ = 0;
    unsigned pages_ = 0;  // of the reading under way
};

}  // namespace dewweir::control

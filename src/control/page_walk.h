// Reads the platform's list of one zone, or of all, page after page over one connection of its own.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "api/client.h"
#include "control/instance_list.h"

namespace dewweir::control {

struct PageWalkResult {
    bool complete = false;  // every page was read; else `instances` may lack any
    Instances instances{};
    unsigned pages = 0;
    std::size_t page_size = 0;  // of the largest page that another one followed; 0: there was one page only
};

class PageWalk {
  public:
    using Done = std::function<void(PageWalkResult&&)>;

    PageWalk(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform);

    // Without a zone: all of them. Must not be called while a walk is under way; `done` is called once,
    // later.
    void start(const std::optional<std::string>& zone, Done done);
    bool busy() const { return static_cast<bool>(done_); }

  private:
    void ask(const std::string& page_token);
    void answered(const api::CallResult& result);
    void end(bool complete);

    api::Client client_;
    std::optional<std::string> zone_;
    PageWalkResult result_;
    Done done_;
};

// Where a page of the list is asked for; a part that is empty is left out.
std::string page_target(const std::optional<std::string>& zone, const std::string& page_token);

}  // namespace dewweir::control

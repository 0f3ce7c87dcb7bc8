// Reads the platform's list of instances, of one zone or of all, page after page over a connection of its
// own.
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>

#include "api/client.h"
#include "control/instance_list.h"

namespace dewweir::control {

struct PageWalkResult {
    bool complete = false;  // every page was read; otherwise `instances` may lack some
    Instances instances{};
    unsigned pages = 0;         // pages read
    std::size_t page_size = 0;  // entries of the largest page that was followed by another; 0: none was
};

// One walk at a time. A walk ends early, as incomplete, when a page can't be fetched within a second or
// parsed, or when it names a page that the walk has asked for already: answers carry no id, and such a page
// is a late copy of an earlier one.
class PageWalk {
  public:
    using Done = std::function<void(PageWalkResult&&)>;

    PageWalk(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform);

    // Without a zone all zones are read. Must not be called while busy. `done` is called exactly once, after
    // this call has returned.
    void start(const std::optional<std::string>& zone, Done done);
    bool busy() const { return static_cast<bool>(done_); }

  private:
    void request_page(const std::string& page_token);
    void page_received(const api::CallResult& result);
    void finish(bool complete);

    api::Client client_;
    std::optional<std::string> zone_;
    std::set<std::string> requested_tokens_;
    PageWalkResult result_;
    Done done_;
};

// The HTTP request target of one page; an absent zone or empty page token is left out of the query.
std::string page_target(const std::optional<std::string>& zone, const std::string& page_token);

}  // namespace dewweir::control

// The watch on discovery: owns its connection and the revision reached. It must never wait behind anything
// else, and takes no list older than the one it has, unless the source has
// been behind for so long that its revisions must have begun anew.
#pragma once

#include <memory>

#include "http.h"
#include "part.h"

namespace dewweir::net {

class HostListListener {
  public:
    virtual ~HostListListener() = default;
    virtual void host_list_received(const HostList& listing) = 0;
    virtual void watch_failed() = 0;
};

class Discovery : public ConnectionHandler, NodeContext {
  public:
    Discovery(const NodeContext& context, HostListListener& listener);

    void watch();  // nothing where the watch is up already
    // Another address now: watched at once, and its first word is taken whatever its revision.
    void set_address(const tcp::endpoint& address);

    void opened(Handle, std::uint32_t, bool connected) override;
    void received(Handle, std::uint32_t) override;
    void ended(Handle, std::uint32_t) override;

  private:
    void watch_lost(const std::string& why);
    void handle_older_list(const HostList& listing);
    void resync_if_behind();
    void resync();
    void restart_silence_timer();

    HostListListener& listener_;
    tcp::endpoint address_;
    Handle connection_ = 0;
    std::unique_ptr<HttpReader> reader_;
    std::uint64_t revision_;
    Deadlines::Key silence_timer_{};
    Deadlines::Key resync_timer_{};  // since a whole list was older than ours, and none has been as new
    bool behind_ = false;            // the last word was older
};

}  // namespace dewweir::net

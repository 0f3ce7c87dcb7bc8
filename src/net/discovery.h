// Watch on the discovery service: owns the connection to it and the last revision received. Lists older than
// that revision are ignored, unless the source stays behind for so long that its revisions must have been
// reset; then the client resyncs.
#pragma once

#include <memory>

#include "http.h"
#include "part.h"

namespace dewweir::net {

// Receives host lists.
class HostListListener {
  public:
    virtual ~HostListListener() = default;
    virtual void host_list_received(const HostList& listing) = 0;
    // The watch has ended; it is not restarted until `Discovery::watch` is called.
    virtual void watch_failed() = 0;
};

class Discovery : public ConnectionHandler, NodeContext {
  public:
    Discovery(const NodeContext& context, HostListListener& listener);

    void watch();  // starts the watch from the last revision; no effect while one is active
    // Changes the address and resyncs at once: the first list is accepted whatever its revision.
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
    Deadlines::Key
        resync_timer_{};   // runs since a complete list was older than `revision_`, until a current one comes
    bool behind_ = false;  // the last list was older than `revision_`
};

}  // namespace dewweir::net

// The watch on discovery: owns its connection and the revision reached. It must never wait behind anything
// else, and takes no list older than the one it has, unless the source has
// been behind for so long that its revisions must have begun anew.
#pragma once

#include <memory>

#include "http.h"
#include "part.h"

namespace dewweir::net {

class ListNews {
  public:
    virtual ~ListNews() = default;
    virtual void list_told(const Listing& listing) = 0;
    virtual void list_failed() = 0;
};

class Discovery : public User, Part {
  public:
    Discovery(const Part& part, ListNews& news);

    void follow();  // nothing where the watch is up already
    // Another address now: watched at once, and its first word is taken whatever its revision.
    void move_to(const tcp::endpoint& address);

    void opened(Handle, std::uint32_t, bool up) override;
    void received(Handle, std::uint32_t) override;
    void ended(Handle, std::uint32_t) override;

  private:
    void lost(const std::string& why);
    void older(const Listing& listing);
    void take_anew();
    void ask_anew();
    void heard();

    ListNews& news_;
    tcp::endpoint address_;
    Handle connection_ = 0;
    std::unique_ptr<HttpReader> reader_;
    std::uint64_t revision_;
    Deadlines::Key silence_{};
    Deadlines::Key anew_{};  // since a whole list was older than ours, and none has been as new
    bool behind_ = false;    // the last word was older
};

}  // namespace dewweir::net

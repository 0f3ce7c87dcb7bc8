// A stand-in host on loopback: a model::Host behind HTTP/1.1. Owns its door, its connections and the pieces
// it has in hand. It must never answer a piece that its model has not ended, nor decide how long one takes.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loop.h"
#include "model/host.h"
#include "net/http.h"
#include "net/slots.h"
#include "referee.h"

namespace dewweir::rig {

class HostService : net::ConnectionHandler {
  public:
    // What else is told of a message: which plan and track stand under a name. -1: unknown.
    struct Names {
        std::vector<std::string> plans;
        std::vector<std::string> binding_tracks;
    };

    HostService(Loop& loop, const std::string& id, const model::HostTraits& traits, std::uint64_t seed,
                const tcp::endpoint& at, Referee* referee, const Names* names);
    ~HostService() override;

    const std::string& id() const { return id_; }
    const tcp::endpoint& address() const { return door_.address(); }
    Time up_since() const { return up_since_; }  // 0: long ago
    bool up() const { return host_.up(); }
    const std::vector<Time>& taken_at() const { return taken_at_; }  // each piece that came, in order

    void die();                               // resets its connections and refuses new ones
    void start();                             // a fresh, cold process at the same address
    void cut(bool silent) { cut_ = silent; }  // says nothing more to anybody; what comes is taken in
    model::HostTroubles& troubles() { return host_.troubles(); }

  private:
    struct Way {
        net::Handle connection = 0;
        net::HttpReader reader{HTTP_REQUEST};
        std::uint64_t piece = 0;
        std::string submission;
    };

    void welcome(tcp::socket socket);
    void received(net::Handle, std::uint32_t mark) override;
    void ended(net::Handle, std::uint32_t mark) override;
    void take(std::uint32_t mark, Way& way);
    void finish(const model::Finished& done);
    void answer(std::uint32_t mark, Way& way, std::string_view status, std::string_view fields,
                std::string_view body);
    void over(Way& way, bool ran);
    void give_back(std::uint32_t mark);
    void look();

    Loop& loop_;
    std::string id_;
    model::Host host_;
    Referee* referee_;
    const Names* names_;
    Time up_since_ = 0;
    bool cut_ = false;
    std::size_t connections_;
    std::vector<Time> taken_at_;
    net::Slots<Way> ways_;
    std::map<std::uint64_t, std::uint32_t> pieces_;  // in hand, and their ways
    net::Deadlines::Key next_{};
    Door door_;
};

}  // namespace dewweir::rig

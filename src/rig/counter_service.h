// A stand-in counter on loopback: a model::Counter behind lines of text. Owns its door and its connections,
// and keeps the answers of each in the order of the calls. It must never count by itself.
#pragma once

#include <deque>
#include <string>

#include "loop.h"
#include "model/counter.h"
#include "net/slots.h"

namespace dewweir::rig {

class CounterService : net::ConnectionHandler {
  public:
    CounterService(Loop& loop, const model::CounterTraits& traits, const tcp::endpoint& at);
    ~CounterService() override;

    const tcp::endpoint& address() const { return door_.address(); }
    model::Counter& model() { return counter_; }
    void die();  // resets its connections and refuses new ones; what it held is kept, as on a disk
    void start();
    // The next so many answers hold no number.
    void spoil(int answers) { spoilt_ = answers; }
    std::uint64_t calls() const { return calls_; }

  private:
    struct Due {
        bool ready;
        std::string line;
    };
    struct Way {
        net::Handle connection = 0;
        std::string line{};
        std::deque<Due> due{};
        std::uint64_t first = 0;  // number of the answer at the front
    };

    void welcome(tcp::socket socket);
    void received(net::Handle, std::uint32_t mark) override;
    void ended(net::Handle, std::uint32_t mark) override;
    void call(std::uint32_t mark, Way& way, const std::string& line);
    void flush(Way& way);
    void give_back(std::uint32_t mark);

    Loop& loop_;
    model::Counter counter_;
    int spoilt_ = 0;
    std::uint64_t calls_ = 0;
    net::Slots<Way> ways_;
    Door door_;
};

}  // namespace dewweir::rig

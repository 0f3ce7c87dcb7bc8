// Gateways as processes of their own: starts them, waits until they are ready, ends them. Owns the processes
// and the folder with their configurations and logs; it must never leave one running, nor signal a process it
// did not start.
#pragma once

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

#include "loop.h"

namespace dewweir::rig {

class Gateways {
  public:
    // `folder` empty: one in the temporary folder, removed at the end.
    Gateways(std::string program, std::string folder);
    ~Gateways();
    Gateways(const Gateways&) = delete;

    // Throws std::runtime_error when the process cannot be started.
    void start(const std::string& name, const tcp::endpoint& at, const std::string& configuration);
    // True once each has answered that it is ready; throws, with the end of its log, when one has ended or
    // the time is up.
    void wait_until_ready(Time most);
    // Names of those that have ended without being told to.
    std::vector<std::string> gone();
    // SIGTERM to all; true when each has ended clean within `most`. The others are killed.
    bool end(Time most);
    std::string last_words(const std::string& name) const;
    const std::string& folder() const { return folder_; }

  private:
    struct One {
        std::string name;
        tcp::endpoint at;
        pid_t pid = -1;
        int code = -1;
    };
    bool reap(One& one);

    std::string program_, folder_;
    bool own_folder_;
    std::vector<One> all_;
};

}  // namespace dewweir::rig

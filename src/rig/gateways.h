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

// What a process to be started reads. Throws errors::CannotStart, errors::OutOfRoom.
void write_file(const std::string& file, const std::string& text);

class Gateways {
  public:
    // `folder` empty: one in the temporary folder, removed at the end.
    Gateways(std::string program, std::string folder);
    ~Gateways();
    Gateways(const Gateways&) = delete;

    // Throws errors::CannotStart, errors::OutOfRoom when the process cannot be started.
    // `later`: not before `launch`. `operator_file`: its text, where there is one.
    void start(const std::string& name, const tcp::endpoint& at, const std::string& configuration,
               bool later = false, const std::string& operator_file = {});
    // One that another process starts and ends, as a controller of rolling changes does: who it is stands in
    // its identity's lock. It is signalled and ended like the others, never launched.
    void attend(const std::string& name, const tcp::endpoint& at, const std::string& identity);
    // Starts it, again or for the first time, with the configuration it was given. Nothing where it runs.
    void launch(const std::string& name);
    // A signal on purpose: one that ends it is not told of by `gone`.
    void signal(const std::string& name, int signal);
    bool has(const std::string& name) const;
    bool runs(const std::string& name) { return !reap(named(name)); }
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
        bool meant = false;      // its end was, or it was not started yet
        int ends = 0;            // so many, on purpose
        std::string identity{};  // of one attended
        std::string with{};      // its operator file
    };
    bool reap(One& one);
    static void kill_now(One& one);
    One& named(const std::string& name);

    std::string program_, folder_;
    bool own_folder_;
    std::vector<One> all_;
};

}  // namespace dewweir::rig

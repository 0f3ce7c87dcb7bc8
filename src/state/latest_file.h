// A file that always holds the newest of what it is given, for whoever looks: whole or not there, and never
// synced. Written by a thread of its own, since a disk may hold a writer up for seconds (a rename over a file
// of a second ago was seen to take 1.5 s) and whoever hands the text over must not wait. Owns that thread;
// what is not written when the next text comes is left out.
#pragma once

#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace dewweir::state {

class LatestFile {
  public:
    // Throws errors::CannotStart when there is no thread to be had.
    explicit LatestFile(const std::string& file);
    // Waits for the last text, half a second at the most: a disk that hangs must not keep a process from its
    // end.
    ~LatestFile();
    LatestFile(const LatestFile&) = delete;

    void write(std::string text);  // returns at once
    // Whether a text could not be written since this was last asked.
    bool failed();
    bool writing() const;  // a text is not on its way yet, or under way

  private:
    // The thread's as well: it may outlive us, held up by the disk.
    struct Shared {
        std::string file;
        std::mutex mutex;
        std::condition_variable wake, idle;
        std::optional<std::string> next;
        bool busy = false, failed = false, ends = false;
    };
    static void run(const std::shared_ptr<Shared>& shared);

    std::shared_ptr<Shared> shared_;
};

}  // namespace dewweir::state

// Small files of state that are there whole or not at all: one line of JSON behind its checksum and format
// version. Written beside, synced and renamed; or, for a journal, appended and synced line by line. What is
// torn, newer than this program or no state of ours is told apart by type, and never half read.
#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace dewweir::state {

// xxHash of 64 bits, as 16 hex digits.
std::string digest(const std::string& text);
// `1 0123456789abcdef {...}`: version, xxHash of the rest, the rest.
std::string sealed(const nlohmann::json& what);
// Throws errors::StateNewer, errors::StateTorn; `where` is for their texts.
nlohmann::json unsealed(const std::string& line, const std::string& where);

// Throws errors::OutOfRoom, or errors::Refused for another fault of the disk; the old file stays as it was.
void write_whole(const std::string& file, const nlohmann::json& what);
std::optional<nlohmann::json> read_whole(const std::string& file);  // nothing where there is no such file

// Lines that only ever grow. A last line cut short is what a kill in mid-write leaves: it is left out, and
// overwritten by the next one. Any other fault is a torn state.
class Journal {
  public:
    explicit Journal(std::string file);
    ~Journal();
    Journal(const Journal&) = delete;
    const std::vector<nlohmann::json>& lines() const { return lines_; }
    bool cut_short() const { return cut_short_; }  // its last line was, and is left out
    void append(const nlohmann::json& what);       // on disk when it returns

  private:
    std::string file_;
    int descriptor_ = -1;
    long end_ = 0;
    bool cut_short_ = false;
    std::vector<nlohmann::json> lines_;
};

// A lock of this process on a file, given back at its end however it ends.
class Lock {
  public:
    // Throws errors::Held naming the process that has it.
    explicit Lock(const std::string& file);
    ~Lock();
    Lock(const Lock&) = delete;
    // Writes what stands in the file, sealed, as long as it is held.
    void say(const nlohmann::json& what);
    // The process that holds it; 0: none.
    static int holder(const std::string& file);

  private:
    std::string file_;
    int descriptor_;
};

}  // namespace dewweir::state

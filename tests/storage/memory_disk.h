// A model of the disk's file system: what files hold, and what a loss of power may leave of it. A file's name
// lasts with the file's own sync; a renamed or removed name lasts once the folder has been synced. Of what is
// not synced each write and each change of a name is there, missing or (a write) torn, each without the
// others.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace dewweir::storage::tests {

using Bytes = std::shared_ptr<const std::string>;  // shared between copies of a disk

struct UnsyncedWrite {
    std::size_t offset = 0;
    Bytes bytes;
};

struct DiskFile {
    Bytes synced = std::make_shared<const std::string>();
    std::vector<UnsyncedWrite> unsynced;
    std::size_t size = 0;

    std::string content() const;
};

enum class NameChange { created, renamed, removed };

struct UnsyncedName {
    NameChange change = NameChange::created;
    std::string name;      // before
    std::string new_name;  // of a renamed one
    int file = 0;
};

// What happens to all that is not synced.
enum class Survival { nothing, everything, any_prefix_torn, any_zero_filled };
inline constexpr Survival all_survivals[] = {Survival::nothing, Survival::everything,
                                             Survival::any_prefix_torn, Survival::any_zero_filled};

// Copies are cheap: an image of the disk at a moment.
class MemoryDisk {
  public:
    bool exists(const std::string& name) const { return names_.contains(name); }
    std::vector<std::string> list(const std::string& folder) const;
    std::optional<int> file_of(const std::string& name) const;
    std::size_t size(int file) const { return files_.at(file).size; }
    std::string content(int file) const { return files_.at(file).content(); }
    std::vector<std::string> names() const;

    int create(const std::string& name);  // in place of any other
    void append(int file, std::string bytes);
    void sync(int file);
    bool rename(const std::string& from, const std::string& to);
    bool remove(const std::string& name);
    void sync_names();  // of the one folder

    bool all_synced() const;  // a loss of power changes nothing

    // The disk after a loss of power.
    MemoryDisk after_power_loss(Survival survival, std::uint64_t seed) const;
    // With one bit of a file the other way.
    void flip_bit(const std::string& name, std::size_t bit);

  private:
    int next_file_ = 1;
    std::map<int, DiskFile> files_;
    std::map<std::string, int> names_;
    std::map<std::string, int> synced_names_;
    std::vector<UnsyncedName> unsynced_names_;
};

}  // namespace dewweir::storage::tests

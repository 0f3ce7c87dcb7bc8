// Model of the target file system: the contents of its files and what a power loss may leave of them. Syncing
// a file makes its contents and its creation durable; a rename or removal is durable once the folder is
// synced. Each unsynced write and each unsynced change of a name survives or is lost independently of the
// others; a write may also survive in part.
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
    std::string name;      // before the change
    std::string new_name;  // of a renamed file
    int file = 0;
};

// What happens to unsynced writes and name changes in a power loss. In the random modes each of them
// survives, is lost or, for a write, survives in part: truncated, or with zeros in place of the lost bytes.
enum class Survival { nothing, everything, random_truncated, random_zero_filled };
inline constexpr Survival all_survivals[] = {Survival::nothing, Survival::everything,
                                             Survival::random_truncated, Survival::random_zero_filled};

// Copies are cheap; a copy is an image of the disk at one moment.
class MemoryDisk {
  public:
    bool exists(const std::string& name) const { return names_.contains(name); }
    std::vector<std::string> list(const std::string& folder) const;
    std::optional<int> file_of(const std::string& name) const;
    std::size_t size(int file) const { return files_.at(file).size; }
    std::string content(int file) const { return files_.at(file).content(); }
    std::vector<std::string> names() const;

    int create(const std::string& name);  // replaces a file of that name
    void append(int file, std::string bytes);
    void sync(int file);
    bool rename(const std::string& from, const std::string& to);
    bool remove(const std::string& name);
    void sync_names();  // of the folder; the model has only one

    bool all_synced() const;  // a power loss would change nothing

    // The disk after a power loss.
    MemoryDisk after_power_loss(Survival survival, std::uint64_t seed) const;
    // Inverts one bit of a file's synced contents.
    void flip_bit(const std::string& name, std::size_t bit);

  private:
    int next_file_ = 1;
    std::map<int, DiskFile> files_;
    std::map<std::string, int> names_;
    std::map<std::string, int> synced_names_;
    std::vector<UnsyncedName> unsynced_names_;
};

}  // namespace dewweir::storage::tests

#include "storage/memory_disk.h"

#include <algorithm>

namespace dewweir::storage::tests {

namespace {

constexpr std::size_t bits_per_byte = 8;

void write_at(std::string& content, std::size_t offset, const std::string& bytes) {
    if (content.size() < offset + bytes.size()) content.resize(offset + bytes.size(), '\0');
    content.replace(offset, bytes.size(), bytes);
}

// Decides what survives a power loss. Uses the generator directly, since the distributions of standard
// libraries differ.
class SurvivalModel {
  public:
    SurvivalModel(Survival survival, std::uint64_t seed) : survival_(survival), random_(seed) {}

    bool name_survives() {
        if (survival_ == Survival::nothing) return false;
        return survival_ == Survival::everything || random_() % 2 == 0;
    }

    void apply(std::string& content, const UnsyncedWrite& write) {
        if (survival_ == Survival::nothing) return;
        if (survival_ == Survival::everything) return write_at(content, write.offset, *write.bytes);
        const std::uint64_t draw = random_() % 3;
        if (draw == 0) return;
        if (draw == 1) return write_at(content, write.offset, *write.bytes);
        std::string partial = write.bytes->substr(0, random_() % (write.bytes->size() + 1));
        if (survival_ == Survival::random_zero_filled) partial.resize(write.bytes->size(), '\0');
        write_at(content, write.offset, partial);
    }

  private:
    Survival survival_;
    std::mt19937_64 random_;
};

}  // namespace

std::string DiskFile::content() const {
    std::string content = *synced;
    for (const UnsyncedWrite& write : unsynced) write_at(content, write.offset, *write.bytes);
    return content;
}

std::vector<std::string> MemoryDisk::list(const std::string& folder) const {
    std::vector<std::string> found;
    const std::string prefix = folder + "/";
    for (const auto& [name, file] : names_) {
        if (name.starts_with(prefix)) found.push_back(name.substr(prefix.size()));
    }
    return found;
}

std::optional<int> MemoryDisk::file_of(const std::string& name) const {
    const auto found = names_.find(name);
    if (found == names_.end()) return std::nullopt;
    return found->second;
}

std::vector<std::string> MemoryDisk::names() const {
    std::vector<std::string> names;
    for (const auto& [name, file] : names_) names.push_back(name);
    return names;
}

int MemoryDisk::create(const std::string& name) {
    const int file = next_file_++;
    files_[file] = DiskFile();
    names_[name] = file;
    unsynced_names_.push_back(UnsyncedName{NameChange::created, name, "", file});
    return file;
}

void MemoryDisk::append(int file, std::string bytes) {
    DiskFile& into = files_.at(file);
    const std::size_t offset = into.size;
    into.size += bytes.size();
    into.unsynced.push_back(UnsyncedWrite{offset, std::make_shared<const std::string>(std::move(bytes))});
}

void MemoryDisk::sync(int file) {
    DiskFile& synced = files_.at(file);
    if (!synced.unsynced.empty()) synced.synced = std::make_shared<const std::string>(synced.content());
    synced.unsynced.clear();
    std::erase_if(unsynced_names_, [&](const UnsyncedName& unsynced) {
        if (unsynced.change != NameChange::created || unsynced.file != file) return false;
        synced_names_[unsynced.name] = file;
        return true;
    });
}

bool MemoryDisk::rename(const std::string& from, const std::string& to) {
    const auto found = names_.find(from);
    if (found == names_.end()) return false;
    const int file = found->second;
    names_.erase(found);
    names_[to] = file;
    unsynced_names_.push_back(UnsyncedName{NameChange::renamed, from, to, file});
    return true;
}

bool MemoryDisk::remove(const std::string& name) {
    const auto found = names_.find(name);
    if (found == names_.end()) return false;
    unsynced_names_.push_back(UnsyncedName{NameChange::removed, name, "", found->second});
    names_.erase(found);
    return true;
}

void MemoryDisk::sync_names() {
    synced_names_ = names_;
    unsynced_names_.clear();
}

bool MemoryDisk::all_synced() const {
    const auto dirty = [](const auto& numbered) { return !numbered.second.unsynced.empty(); };
    return unsynced_names_.empty() && std::none_of(files_.begin(), files_.end(), dirty);
}

MemoryDisk MemoryDisk::after_power_loss(Survival survival, std::uint64_t seed) const {
    SurvivalModel model(survival, seed);
    MemoryDisk after;
    after.next_file_ = next_file_;
    after.names_ = synced_names_;
    for (const UnsyncedName& unsynced : unsynced_names_) {
        if (!model.name_survives()) continue;
        if (unsynced.change != NameChange::created) after.names_.erase(unsynced.name);
        if (unsynced.change == NameChange::created) after.names_[unsynced.name] = unsynced.file;
        if (unsynced.change == NameChange::renamed) after.names_[unsynced.new_name] = unsynced.file;
    }
    after.synced_names_ = after.names_;
    for (const auto& [name, file] : after.names_) {
        std::string content = *files_.at(file).synced;
        for (const UnsyncedWrite& write : files_.at(file).unsynced) model.apply(content, write);
        DiskFile& kept = after.files_[file];
        kept.size = content.size();
        kept.synced = std::make_shared<const std::string>(std::move(content));
    }
    return after;
}

void MemoryDisk::flip_bit(const std::string& name, std::size_t bit) {
    DiskFile& file = files_.at(names_.at(name));
    std::string content = file.content();
    char& flipped = content.at(bit / bits_per_byte);
    flipped = static_cast<char>(flipped ^ (1U << (bit % bits_per_byte)));
    file.synced = std::make_shared<const std::string>(std::move(content));
    file.unsynced.clear();
}

}  // namespace dewweir::storage::tests

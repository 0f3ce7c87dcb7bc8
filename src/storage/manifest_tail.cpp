#include "storage/manifest_tail.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <optional>
#include <string_view>

#include "storage/log_format.h"

namespace dewweir::storage {

namespace {

using leveldb::Status;

// Field tags of a version edit, with the layout of the field's value in brackets.
enum class EditField : std::uint64_t {
    comparator = 1,       // [text]
    log_number = 2,       // [number]
    next_file = 3,        // [number]
    last_sequence = 4,    // [number]
    compact_pointer = 5,  // [level, text]
    deleted_file = 6,     // [level, number]
    new_file = 7,         // [level, number, bytes, text, text]
    previous_log = 9,     // [number]
};

// Parses one version edit.
class EditReader {
  public:
    explicit EditReader(std::string_view edit) : left_(edit) {}

    // The log number in the edit; none if the edit contains none or cannot be parsed.
    std::optional<std::uint64_t> log_number() {
        std::optional<std::uint64_t> log;
        while (!left_.empty() && valid_) {
            const auto field = static_cast<EditField>(number());
            if (field == EditField::log_number) {
                log = number();
            } else {
                skip(field);
            }
        }
        return valid_ ? log : std::nullopt;
    }

  private:
    void skip(EditField field) {
        switch (field) {
            case EditField::comparator: return text();
            case EditField::log_number:
            case EditField::next_file:
            case EditField::last_sequence:
            case EditField::previous_log: return numbers(1);
            case EditField::compact_pointer: numbers(1); return text();
            case EditField::deleted_file: return numbers(2);
            case EditField::new_file:
                numbers(3);
                text();
                return text();
        }
        valid_ = false;
    }

    void numbers(int count) {
        for (int i = 0; i < count; ++i) number();
    }

    void text() {
        const std::uint64_t length = number();
        if (length > left_.size()) valid_ = false;
        left_.remove_prefix(std::min<std::size_t>(length, left_.size()));
    }

    // Varint: seven bits per byte, lowest first; the top bit is set in all bytes but the last.
    std::uint64_t number() {
        std::uint64_t value = 0;
        for (unsigned shift = 0; shift < 64 && !left_.empty(); shift += 7) {
            const auto byte = static_cast<std::uint8_t>(left_.front());
            left_.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if ((byte & 0x80) == 0) return value;
        }
        valid_ = false;
        return 0;
    }

    std::string_view left_;
    bool valid_ = true;
};

std::string log_name(std::uint64_t number) {
    char name[32];
    std::snprintf(name, sizeof name, "/%06llu.log", static_cast<unsigned long long>(number));
    return name;
}

// Whether the log named by the last valid edit exists.
bool latest_log_exists(leveldb::Env& env, const std::string& folder, const LogContent& content) {
    std::optional<std::uint64_t> latest;
    for (const std::string& record : content.records) {
        const auto named = EditReader(record).log_number();
        if (named) latest = named;
    }
    return latest && env.FileExists(folder + log_name(*latest));
}

// LevelDB removes a file of this name if a power loss leaves it behind.
std::string temporary_name(const std::string& folder) { return folder + "/000000.dbtmp"; }

Status replace_file(leveldb::Env& env, const std::string& folder, const std::string& name,
                    std::string_view bytes) {
    const std::string temporary = temporary_name(folder);
    leveldb::WritableFile* opened = nullptr;
    Status status = env.NewWritableFile(temporary, &opened);
    if (!status.ok()) return status;
    const std::unique_ptr<leveldb::WritableFile> file(opened);
    status = file->Append(leveldb::Slice(bytes.data(), bytes.size()));
    if (status.ok()) status = file->Sync();
    if (status.ok()) status = file->Close();
    if (status.ok()) status = env.RenameFile(temporary, name);
    return status;
}

// Leaves `name` empty if there is no manifest or CURRENT cannot be parsed.
Status find_manifest(leveldb::Env& env, const std::string& folder, std::optional<std::string>& name) {
    const std::string current = folder + "/CURRENT";
    if (!env.FileExists(current)) return Status::OK();
    std::string line;
    Status status = leveldb::ReadFileToString(&env, current, &line);
    if (!status.ok() || !line.ends_with('\n')) return status;
    line.pop_back();
    if (env.FileExists(folder + "/" + line)) name = folder + "/" + line;
    return status;
}

}  // namespace

Status repair_manifest_tail(leveldb::Env& env, const std::string& folder) {
    std::optional<std::string> manifest;
    Status status = find_manifest(env, folder, manifest);
    if (!status.ok() || !manifest) return status;
    std::string bytes;
    status = leveldb::ReadFileToString(&env, *manifest, &bytes);
    if (!status.ok()) return status;
    const LogContent content = read_log(bytes);
    if (content.end == bytes.size()) return Status::OK();
    if (has_corrupt_record(bytes, content)) return Status::OK();
    if (!latest_log_exists(env, folder, content)) return Status::OK();
    return replace_file(env, folder, *manifest, std::string_view(bytes).substr(0, content.end));
}

}  // namespace dewweir::storage

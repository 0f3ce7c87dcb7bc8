#include "checked_file.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <utility>

#include "errors/errors.h"

namespace dewweir::state {
namespace {

constexpr int version = 1;

// All of it, from `at`; whatever the system refuses is told as what it is.
void write_all(int descriptor, const std::string& text, long at, const std::string& file) {
    std::size_t done = 0;
    while (done < text.size()) {
        const ssize_t n =
            ::pwrite(descriptor, text.data() + done, text.size() - done, at + static_cast<long>(done));
        if (n < 0 && errno == EINTR) continue;
        if (n <= 0) errors::throw_of_system<errors::Refused>(n < 0 ? errno : ENOSPC, file);
        done += static_cast<std::size_t>(n);
    }
    if (::fsync(descriptor) < 0) errors::throw_of_system<errors::Refused>(errno, file);
}

// A new name lasts once its folder is on disk.
void sync_folder(const std::string& file) {
    std::string folder = std::filesystem::path(file).parent_path().string();
    if (folder.empty()) folder = ".";
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return;
    ::fsync(descriptor);
    ::close(descriptor);
}

std::optional<std::string> contents(const std::string& file) {
    const int descriptor = ::open(file.c_str(), O_RDONLY | O_CLOEXEC);
    if (descriptor < 0) {
        if (errno == ENOENT) return {};
        errors::throw_of_system<errors::Refused>(errno, file);
    }
    std::string text;
    char buffer[65536];
    for (ssize_t n; (n = ::read(descriptor, buffer, sizeof buffer)) > 0;)
        text.append(buffer, static_cast<std::size_t>(n));
    ::close(descriptor);
    return text;
}

}  // namespace

std::string digest(const std::string& text) {
    char hex[17];
    std::snprintf(hex, sizeof hex, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return hex;
}

std::string sealed(const nlohmann::json& what) {
    const std::string text = what.dump();
    return std::to_string(version) + " " + digest(text) + " " + text + "\n";
}

nlohmann::json unsealed(const std::string& line, const std::string& where) {
    int of = 0;
    const auto [end, fault] = std::from_chars(line.data(), line.data() + line.size(), of);
    const std::size_t space = static_cast<std::size_t>(end - line.data());
    if (fault != std::errc() || space >= line.size() || line[space] != ' ')
        throw errors::StateTorn(where, "no state of this program's");
    if (of > version)
        throw errors::StateNewer(where, "of format " + std::to_string(of) + "; this program knows up to " +
                                            std::to_string(version));
    std::string text = line.substr(std::min(line.size(), space + 18));
    if (!text.empty() && text.back() == '\n') text.pop_back();
    if (line.size() < space + 18 || line.compare(space + 1, 16, digest(text)) != 0)
        throw errors::StateTorn(where, "its checksum does not match");
    return nlohmann::json::parse(text);
}

void write_whole(const std::string& file, const nlohmann::json& what) {
    const std::string beside = file + ".new";
    const int descriptor = ::open(beside.c_str(), O_CREAT | O_WRONLY | O_TRUNC | O_CLOEXEC, 0600);
    if (descriptor < 0) errors::throw_of_system<errors::Refused>(errno, beside);
    try {
        write_all(descriptor, sealed(what), 0, beside);
    } catch (...) {
        ::close(descriptor);
        ::unlink(beside.c_str());
        throw;
    }
    ::close(descriptor);
    if (::rename(beside.c_str(), file.c_str()) < 0) errors::throw_of_system<errors::Refused>(errno, file);
    sync_folder(file);
}

std::optional<nlohmann::json> read_whole(const std::string& file) {
    const auto text = contents(file);
    if (!text || text->empty()) return {};
    return unsealed(*text, file);
}

Journal::Journal(std::string file) : file_(std::move(file)) {
    const std::string text = contents(file_).value_or("");
    for (std::size_t from = 0; from < text.size();) {
        const std::size_t end = text.find('\n', from);
        if (end == text.npos) {
            cut_short_ = true;
            break;
        }
        lines_.push_back(
            unsealed(text.substr(from, end - from), file_ + ", line " + std::to_string(lines_.size() + 1)));
        from = end + 1;
        end_ = static_cast<long>(from);
    }
    descriptor_ = ::open(file_.c_str(), O_CREAT | O_WRONLY | O_CLOEXEC, 0600);
    if (descriptor_ < 0) errors::throw_of_system<errors::Refused>(errno, file_);
    sync_folder(file_);
}

Journal::~Journal() { ::close(descriptor_); }

void Journal::append(const nlohmann::json& what) {
    const std::string line = sealed(what);
    // What a cut line left behind must not stand after this one, nor half of this one after a full disk.
    try {
        if (::ftruncate(descriptor_, end_) < 0) errors::throw_of_system<errors::Refused>(errno, file_);
        write_all(descriptor_, line, end_, file_);
    } catch (...) {
        static_cast<void>(::ftruncate(descriptor_, end_) + 0);
        throw;
    }
    end_ += static_cast<long>(line.size());
    lines_.push_back(what);
}

Lock::Lock(const std::string& file) : file_(file) {
    descriptor_ = ::open(file.c_str(), O_CREAT | O_RDWR | O_CLOEXEC, 0600);
    if (descriptor_ < 0) errors::throw_of_system<errors::Refused>(errno, file);
    struct flock all {};
    all.l_type = F_WRLCK;
    all.l_whence = SEEK_SET;
    if (::fcntl(descriptor_, F_SETLK, &all) == 0) return;
    const int holder = Lock::holder(file);
    ::close(descriptor_);
    throw errors::Held(
        file, holder ? "process " + std::to_string(holder) + " holds it" : "another process holds it");
}

// The file stays: one that went away could be locked twice, by its old and its new self.
Lock::~Lock() { ::close(descriptor_); }

void Lock::say(const nlohmann::json& what) {
    const std::string text = sealed(what);
    if (::ftruncate(descriptor_, 0) < 0) errors::throw_of_system<errors::Refused>(errno, file_);
    write_all(descriptor_, text, 0, file_);
}

int Lock::holder(const std::string& file) {
    const int descriptor = ::open(file.c_str(), O_RDWR | O_CLOEXEC);
    if (descriptor < 0) return 0;
    struct flock asked {};
    asked.l_type = F_WRLCK;
    asked.l_whence = SEEK_SET;
    const bool known = ::fcntl(descriptor, F_GETLK, &asked) == 0 && asked.l_type != F_UNLCK;
    ::close(descriptor);
    return known ? asked.l_pid : 0;
}

}  // namespace dewweir::state

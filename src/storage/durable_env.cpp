#include "storage/durable_env.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <memory>
#include <vector>

namespace dewweir::storage {

namespace {

using leveldb::Status;

// A file of this name exists while the folder's files are being discarded.
constexpr const char* discard_marker_name = "DISCARDING";

std::string parent_folder(const std::string& file) {
    const std::size_t slash = file.rfind('/');
    if (slash == std::string::npos) return ".";
    if (slash == 0) return "/";
    return file.substr(0, slash);
}

Status system_error(const std::string& what) { return Status::IOError(what, std::strerror(errno)); }

std::string marker_path(const std::string& folder) { return folder + "/" + discard_marker_name; }

}  // namespace

Status fsync_folder(const std::string& folder) {
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0) return system_error(folder);
    Status status;
    if (::fsync(descriptor) != 0) status = system_error(folder);
    ::close(descriptor);
    return status;
}

DurableEnv::DurableEnv(leveldb::Env* target, SyncFolder sync_folder)
    : EnvWrapper(target), sync_folder_(std::move(sync_folder)) {}

Status DurableEnv::RenameFile(const std::string& from, const std::string& to) {
    Status renamed = target()->RenameFile(from, to);
    if (!renamed.ok()) return renamed;
    return sync_folder_(parent_folder(to));
}

Status DurableEnv::ensure_folder(const std::string& folder) {
    if (FileExists(folder)) return Status::OK();
    Status created = CreateDir(folder);
    if (!created.ok()) return created;
    return sync_folder_(parent_folder(folder));
}

Status DurableEnv::discard_files(const std::string& folder) {
    leveldb::WritableFile* opened = nullptr;
    Status status = NewWritableFile(marker_path(folder), &opened);
    if (!status.ok()) return status;
    const std::unique_ptr<leveldb::WritableFile> marker(opened);
    status = marker->Sync();
    if (!status.ok()) return status;
    status = marker->Close();
    if (!status.ok()) return status;
    status = sync_folder_(folder);
    if (!status.ok()) return status;
    return finish_discard(folder);
}

Status DurableEnv::finish_discard(const std::string& folder) {
    if (!FileExists(marker_path(folder))) return Status::OK();
    Status status = remove_all_but_marker(folder);
    if (!status.ok()) return status;
    status = sync_folder_(folder);
    if (!status.ok()) return status;
    status = RemoveFile(marker_path(folder));
    if (!status.ok()) return status;
    return sync_folder_(folder);
}

Status DurableEnv::remove_all_but_marker(const std::string& folder) {
    std::vector<std::string> names;
    Status listed = GetChildren(folder, &names);
    if (!listed.ok()) return listed;
    for (const std::string& name : names) {
        if (name == "." || name == ".." || name == discard_marker_name) continue;
        Status removed = RemoveFile(folder + "/" + name);
        if (!removed.ok()) return removed;
    }
    return Status::OK();
}

}  // namespace dewweir::storage

#include "latest_file.h"

#include <pthread.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <system_error>
#include <thread>
#include <utility>

#include "errors/errors.h"

namespace dewweir::state {
namespace {

constexpr std::chrono::milliseconds last_wait(500);

bool written(const std::string& file, const std::string& text) {
    const std::string beside = file + ".new";
    std::ofstream out(beside);
    out << text;
    out.close();
    return out && std::rename(beside.c_str(), file.c_str()) == 0;
}

}  // namespace

LatestFile::LatestFile(const std::string& file) : shared_(std::make_shared<Shared>()) {
    shared_->file = file;
    // Signals are for the loop's thread.
    sigset_t all, before;
    sigfillset(&all);
    pthread_sigmask(SIG_SETMASK, &all, &before);
    try {
        std::thread(run, shared_).detach();
    } catch (const std::system_error& fault) {
        pthread_sigmask(SIG_SETMASK, &before, nullptr);
        errors::throw_of_system<errors::CannotStart>(fault.code().value(), "a writer for " + file);
    }
    pthread_sigmask(SIG_SETMASK, &before, nullptr);
}

LatestFile::~LatestFile() {
    std::unique_lock lock(shared_->mutex);
    shared_->ends = true;
    shared_->wake.notify_one();
    shared_->idle.wait_for(lock, last_wait, [this] { return !shared_->next && !shared_->busy; });
}

void LatestFile::run(const std::shared_ptr<Shared>& shared) {
    std::unique_lock lock(shared->mutex);
    for (;;) {
        shared->wake.wait(lock, [&] { return shared->next || shared->ends; });
        if (!shared->next) return;
        const std::string text = *std::exchange(shared->next, std::nullopt);
        shared->busy = true;
        lock.unlock();
        const bool good = written(shared->file, text);
        lock.lock();
        shared->busy = false;
        shared->failed |= !good;
        shared->idle.notify_one();
    }
}

void LatestFile::write(std::string text) {
    const std::lock_guard lock(shared_->mutex);
    shared_->next = std::move(text);
    shared_->wake.notify_one();
}

bool LatestFile::failed() {
    const std::lock_guard lock(shared_->mutex);
    return std::exchange(shared_->failed, false);
}

bool LatestFile::writing() const {
    const std::lock_guard lock(shared_->mutex);
    return shared_->next || shared_->busy;
}

}  // namespace dewweir::state

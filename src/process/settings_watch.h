// The settings file of a running process, read again when it changes: on a signal, and looked at from time to
// time, since it may also change without one. A bad file is logged and the settings before it stay.
#pragma once

#include <functional>
#include <string>

#include "runtime/event_loop.h"
#include "settings/settings.h"

namespace dewweir::process {

class SettingsWatch {
  public:
    using Changed = std::function<void(const settings::Settings&)>;

    SettingsWatch(runtime::EventLoop& loop, std::string path, Changed changed);

    void start();
    // Reads the file now, changed or not.
    void reload();

  private:
    std::string read_file() const;
    void watch();

    const std::string path_;
    const Changed changed_;
    std::string text_;  // as last read
    runtime::Timer timer_;
};

}  // namespace dewweir::process

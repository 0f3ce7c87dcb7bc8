#include "process/settings_watch.h"

#include <fstream>
#include <sstream>

#include "logging/log.h"

namespace dewweir::process {
namespace {

using logging::Event;
using logging::Level;

constexpr runtime::Time watch_interval = runtime::tenths_per_second;

}  // namespace

SettingsWatch::SettingsWatch(runtime::EventLoop& loop, std::string path, Changed changed)
    : path_(std::move(path)), changed_(std::move(changed)), timer_(loop) {}

void SettingsWatch::start() {
    text_ = read_file();
    timer_.start(watch_interval, [this] { watch(); });
}

std::string SettingsWatch::read_file() const {
    std::ifstream file(path_);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

void SettingsWatch::watch() {
    if (read_file() != text_) reload();
    timer_.start(watch_interval, [this] { watch(); });
}

void SettingsWatch::reload() {
    text_ = read_file();
    const settings::SettingsResult read = settings::read_settings(text_);
    if (const auto* const error = std::get_if<settings::SettingsError>(&read)) {
        logging::log(Level::error, Event::settings_refused, {{"key", std::string_view(error->key)}});
        return;
    }
    changed_(std::get<settings::Settings>(read));
    logging::log(Level::info, Event::settings_reloaded, {});
}

}  // namespace dewweir::process

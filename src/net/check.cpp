#include "check.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

#include "configuration.h"
#include "setting_names.h"

namespace dewweir::net {
namespace {

using nlohmann::json;

// Line number, from 1, of each key of a JSON text, by path with list indices such as `known.members.0.id`.
class Lines {
  public:
    explicit Lines(const std::string& text) : text_(text) { value(""); }
    // Line of the key or of its nearest ancestor; 0 if none.
    int of(std::string path) const {
        for (;;) {
            if (const auto found = lines_.find(path); found != lines_.end()) return found->second;
            const std::size_t dot = path.rfind('.');
            if (dot == path.npos) return 0;
            path.resize(dot);
        }
    }

  private:
    void space() {
        for (; at_ < text_.size() && std::string_view(" \t\r\n").find(text_[at_]) != std::string_view::npos;
             ++at_)
            line_ += text_[at_] == '\n';
    }
    std::string string() {
        std::string all;
        for (++at_; at_ < text_.size() && text_[at_] != '"'; ++at_) {
            if (text_[at_] == '\\') ++at_;
            if (at_ < text_.size()) all += text_[at_];
        }
        ++at_;
        return all;
    }
    void value(const std::string& path) {
        space();
        if (at_ >= text_.size()) return;
        const char opens = text_[at_];
        if (opens == '"') return static_cast<void>(string());
        if (opens != '{' && opens != '[') {
            while (at_ < text_.size() &&
                   std::string_view(",]} \t\r\n").find(text_[at_]) == std::string_view::npos)
                ++at_;
            return;
        }
        const char closes = opens == '{' ? '}' : ']';
        ++at_;
        for (std::size_t n = 0;; ++n) {
            space();
            if (at_ >= text_.size()) return;
            if (text_[at_] == closes) {
                ++at_;
                return;
            }
            if (text_[at_] == ',') {
                ++at_;
                space();
            }
            std::string name = std::to_string(n);
            const int line = line_;
            if (opens == '{') {
                name = string();
                space();
                ++at_;  // the colon
            }
            const std::string below = path.empty() ? name : path + "." + name;
            lines_.try_emplace(below, line);
            value(below);
        }
    }

    const std::string& text_;
    std::size_t at_ = 0;
    int line_ = 1;
    std::map<std::string, int> lines_;
};

// Does nothing: the Decisions object is created only to validate its settings.
struct Nobody : Gateway {
    void start_attempt(std::uint32_t, std::uint32_t, Time) override {}
    void refuse(std::uint32_t, Time) override {}
    void fail(std::uint32_t) override {}
    void cancel(std::uint32_t, int) override {}
    void add_to_counter(std::uint64_t, double, Time) override {}
    void start_timer(Time, std::uint64_t) override {}
    void cancel_timer(std::uint64_t) override {}
    void watch_host_list() override {}
    void log(LogEvent, std::uint32_t, const std::string&) override {}
    void report_decisions(const DecisionCounts&) override {}
};

// Missing or unreadable settings. The decision module reports the first one only, so each is corrected before
// the next attempt.
std::vector<errors::BadSetting> setting_faults(Settings settings) {
    std::vector<errors::BadSetting> all;
    Nobody nobody;
    for (int n = 0; n < 256; ++n) {
        try {
            Decisions(nobody, settings, 1, 0);
            return all;
        } catch (const errors::BadSetting& fault) {
            const std::string& name = fault.subject();
            all.push_back(fault);
            settings[name] =
                name.size() > 8 && name.compare(name.size() - 8, 8, ".repeats") == 0 ? "retriable" : "1";
        }
    }
    return all;
}

std::vector<std::string> keys_of(const json& object) {
    std::vector<std::string> names;
    if (object.is_object())
        for (const auto& [name, value] : object.items()) names.push_back(name);
    return names;
}

}  // namespace

std::vector<errors::FileProblem> check_configuration(const std::string& text, const std::string& file) {
    json read;
    try {
        read = json::parse(text);
    } catch (const json::parse_error& fault) {
        const auto upto = static_cast<std::ptrdiff_t>(std::min(fault.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), text.begin() + upto, '\n');
        std::string what = fault.what();
        what = what.substr(std::min(what.find("] ") + 2, what.size()));
        return {{file, static_cast<int>(line), "", "no JSON: " + what}};
    }
    if (!read.is_object()) return {{file, 1, "", "must be a JSON object"}};
    const Lines lines(text);
    std::vector<errors::FileProblem> all;
    Settings settings;
    for (const errors::BadSetting& fault : configuration_faults(text, settings)) {
        const std::string& key = fault.subject();
        const std::string near = fault.missing ? errors::did_you_mean(key, keys_of(read)) : "";
        all.push_back({file, lines.of(key), key, fault.happened() + near});
    }
    for (const errors::BadSetting& fault : setting_faults(settings)) {
        const std::string name = "settings." + operator_name(fault.subject());
        all.push_back(
            {file, lines.of(name), name, fault.happened() + " (" + fault.subject() + " in our words)"});
    }
    std::stable_sort(all.begin(), all.end(), [](const errors::FileProblem& a, const errors::FileProblem& b) {
        return a.line < b.line;
    });
    return all;
}

}  // namespace dewweir::net

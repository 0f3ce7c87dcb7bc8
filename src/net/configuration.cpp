#include "configuration.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

#include "setting_names.h"

namespace dewweir::net {

using errors::BadSetting;

namespace {

using asio::ip::tcp;
using nlohmann::json;

json parsed(std::string_view text, const char* what) {
    json read = json::parse(text, nullptr, false);
    if (!read.is_object()) throw BadSetting(what, "no JSON object");
    return read;
}

const json& member(const json& from, const std::string& key) {
    const auto at = from.find(key);
    if (at == from.end()) throw BadSetting(key, "missing", true);
    return *at;
}

std::string text_of(const json& from, const std::string& key) {
    const json& found = member(from, key);
    if (!found.is_string() || found.get_ref<const std::string&>().empty())
        throw BadSetting(key, "must be a text");
    return found.get<std::string>();
}

double number_of(const json& from, const std::string& key, double least, double most) {
    const json& found = member(from, key);
    const double number = found.is_number() ? found.get<double>() : std::nan("");
    if (!(number >= least && number <= most)) {
        std::ostringstream says;
        says << "must be a number from " << least << " to " << most;
        throw BadSetting(key, says.str());
    }
    return number;
}

tcp::endpoint address_at(const json& from, const std::string& key) {
    return parse_address(key, text_of(from, key));
}

// Flattens the settings into dotted paths. A list of scalars becomes one comma-separated value; a list of
// objects gets a `.count` and one path per element.
void flatten(Settings& settings, const json& at, const std::string& path) {
    const auto below = [&](const std::string& name) { return path.empty() ? name : path + "." + name; };
    if (at.is_object()) {
        for (const auto& [name, value] : at.items()) flatten(settings, value, below(name));
    } else if (at.is_array() &&
               std::any_of(at.begin(), at.end(), [](const json& x) { return x.is_object(); })) {
        put_setting(settings, below("count"), std::to_string(at.size()));
        for (std::size_t n = 0; n < at.size(); ++n) flatten(settings, at[n], below(std::to_string(n)));
    } else if (at.is_array()) {
        std::string joined;
        for (const json& one : at) {
            if (!joined.empty()) joined += ',';
            joined += one.is_string() ? one.get<std::string>() : one.dump();
        }
        put_setting(settings, path, joined);
    } else if (!at.is_null()) {
        put_setting(settings, path, at.is_string() ? at.get<std::string>() : at.dump());
    }
}

const std::string* setting(const Settings& settings, const std::string& name) {
    const auto found = settings.find(name);
    return found == settings.end() ? nullptr : &found->second;
}

double setting_number(const Settings& settings, const std::string& name, double otherwise, double least,
                      double most) {
    const std::string* const text = setting(settings, name);
    if (!text) return otherwise;
    char* end = nullptr;
    const double number = std::strtod(text->c_str(), &end);
    if (text->empty() || *end || !(number >= least && number <= most))
        throw BadSetting("settings." + name, "must be a number, and in range");
    return number;
}

Time setting_time(const Settings& settings, const std::string& name, Time otherwise) {
    return std::llround(setting_number(settings, name, static_cast<double>(otherwise) / 10, 0, 1e9) * 10);
}

std::vector<std::string> setting_names_of(const Settings& settings, const std::string& list) {
    std::vector<std::string> names;
    const std::string* count = setting(settings, list + ".count");
    for (int n = 0; count && n < std::atoi(count->c_str()); ++n) {
        const std::string* const name = setting(settings, list + "." + std::to_string(n) + ".name");
        if (!name) throw BadSetting("settings." + list + "." + std::to_string(n) + ".name", "missing", true);
        names.push_back(*name);
    }
    return names;
}

HostList host_list_of(const json& from, const std::vector<std::string>& zones) {
    HostList listing;
    listing.revision = static_cast<std::uint64_t>(number_of(from, "revision", 0, 9e15));
    const json& complete = member(from, "complete");
    if (!complete.is_boolean()) throw BadSetting("complete", "must be true or false");
    listing.complete = complete.get<bool>();
    const json& members = member(from, "members");
    if (!members.is_array()) throw BadSetting("members", "must be a list");
    for (const json& one : members) {
        if (!one.is_object()) throw BadSetting("members", "must hold objects");
        HostEntry entry;
        entry.id = text_of(one, "id");
        const std::string phase = text_of(one, "phase");
        if (phase == "in_service") entry.state = HostState::ready;
        else if (phase == "terminating") entry.state = HostState::draining;
        else if (phase == "terminated") entry.state = HostState::removed;
        else throw BadSetting("phase", "unknown, `" + phase + "`");
        // A terminated host needs no address.
        if (entry.state != HostState::removed || one.contains("host_port"))
            entry.address = address_at(one, "host_port");
        const std::string zone = one.contains("locality") ? text_of(one, "locality") : "";
        entry.zone = static_cast<int>(std::find(zones.begin(), zones.end(), zone) - zones.begin());
        entry.cell = one.contains("cell") ? static_cast<int>(number_of(one, "cell", 0, 65535)) : 0;
        const double up = one.contains("up_since_ms") ? number_of(one, "up_since_ms", 0, 1e14) : 0;
        entry.up_since = std::llround(up * 10);
        listing.entries.push_back(std::move(entry));
    }
    return listing;
}

// Runs the parsing steps one by one. An error propagates, or is collected if a list is given.
struct StepRunner {
    std::vector<BadSetting>* faults;
    template <class Do> void operator()(Do read) const {
        if (!faults) return read();
        try {
            read();
        } catch (const BadSetting& fault) { faults->push_back(fault); }
    }
};

Configuration configuration_of(const json& from, std::vector<BadSetting>* faults = nullptr) {
    Configuration c;
    const StepRunner step{faults};
    step([&] { c.name = text_of(from, "name"); });
    step([&] { c.listen = address_at(from, "listen"); });
    step([&] { c.discovery = address_at(from, "discovery"); });
    step([&] {
        const std::string seed = text_of(from, "seed");
        char* end = nullptr;
        c.seed = std::strtoull(seed.c_str(), &end, 16);
        if (*end || seed.size() > 16) throw BadSetting("seed", "must be up to 16 hex digits");
    });
    step([&] {
        if (from.contains("limits") && member(from, "limits").contains("sockets"))
            c.max_sockets = static_cast<std::size_t>(number_of(member(from, "limits"), "sockets", 32, 1e6));
    });
    step([&] {
        const json& object = member(from, "settings");
        if (!object.is_object()) throw BadSetting("settings", "must be an object");
        flatten(c.settings, object, "");
    });
    step([&] {
        const std::string* const counted = setting(c.settings, "service.counter");
        if (counted && *counted == "true") c.counter = address_at(from, "counter");
    });
    step([&] { c.route_classes = setting_names_of(c.settings, "tracks"); });
    step([&] { c.plans = setting_names_of(c.settings, "plans"); });
    for (std::size_t n = 0; n < c.route_classes.size(); ++n) {
        const std::string* const repeats = setting(c.settings, "tracks." + std::to_string(n) + ".repeats");
        c.idempotent.push_back(repeats && *repeats == "retriable");
        step([&] {
            c.latency_goals.push_back(
                setting_time(c.settings, "tracks." + std::to_string(n) + ".latency_goal", 0));
        });
    }
    step([&] { c.gateways = static_cast<int>(setting_number(c.settings, "gateways", 1, 1, 1e6)); });
    step([&] { c.max_request_units = setting_number(c.settings, "service.largest", 1e6, 0, 1e9); });
    if (const std::string* const zones = setting(c.settings, "zones")) {
        std::istringstream each(*zones);
        for (std::string zone; std::getline(each, zone, ',');) c.zones.push_back(zone);
    }
    step([&] { c.timer_step = setting_time(c.settings, "step", 0); });
    step([&] { c.connect_timeout = setting_time(c.settings, "limits.connect_within", 2500); });
    step([&] { c.upstream_idle_close = setting_time(c.settings, "limits.idle_close", 100000); });
    step([&] { c.counter_timeout = setting_time(c.settings, "service.count_limit", 500); });
    step([&] { c.ask_within = setting_time(c.settings, "rules.ask_within", 100000); });
    const std::string* const mode = setting(c.settings, "discovery");
    c.watch_on_request = mode && *mode == "ask";
    step([&] {
        if (from.contains("known") && !from.at("known").is_null())
            c.initial_hosts = host_list_of(member(from, "known"), c.zones);
    });
    return c;
}

}  // namespace

Configuration parse_configuration(const std::string& text) {
    return configuration_of(parsed(text, "configuration"));
}

std::vector<BadSetting> configuration_faults(const std::string& text, Settings& settings) {
    std::vector<BadSetting> faults;
    settings = configuration_of(parsed(text, "configuration"), &faults).settings;
    return faults;
}

HostList parse_host_list(std::string_view text, const std::vector<std::string>& zones) {
    return host_list_of(parsed(text, "list"), zones);
}

tcp::endpoint parse_address(const std::string& key, const std::string& text) {
    const std::size_t colon = text.rfind(':');
    std::error_code fault;
    const auto host = asio::ip::make_address_v4(text.substr(0, std::min(colon, text.size())), fault);
    char* end = nullptr;
    const unsigned long port = colon < text.size() ? std::strtoul(&text[colon + 1], &end, 10) : 0;
    if (fault || !end || *end || port < 1 || port > 65535)
        throw BadSetting(key, "must be an IPv4 address and port, is `" + text + "`");
    return {host, static_cast<unsigned short>(port)};
}

Level parse_level(const std::string& name) {
    const std::string names[] = {"error", "warning", "info", "debug"};
    const auto at = std::find(std::begin(names), std::end(names), name);
    if (at == std::end(names)) throw BadSetting("DEWWEIR_LOG", "must be error, warning, info or debug");
    return static_cast<Level>(at - std::begin(names));
}

Configuration read_configuration() {
    const char* const path = std::getenv("EDGE_CONFIG");
    if (!path || !*path) throw BadSetting("EDGE_CONFIG", "missing from the environment", true);
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    if (!file) throw BadSetting("EDGE_CONFIG", std::string("cannot read ") + path);
    Configuration c = parse_configuration(text.str());
    if (const char* const level = std::getenv("DEWWEIR_LOG")) { c.log_level = parse_level(level); }
    return c;
}

}  // namespace dewweir::net

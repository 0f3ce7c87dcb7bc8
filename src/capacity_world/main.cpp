// `dewweir_capacity`: hollow gateways in one process, told what they are by one settings file of a gateway.
// Prints one JSON object a line: what each gateway has taken over, and every second what its sessions
// carried. Moments are microseconds of the steady clock, which all processes of a machine share. Ends by
// itself.
#include <tclap/CmdLine.h>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <sstream>

#include "capacity_world/hollow_gateway.h"
#include "capacity_world/session_bytes.h"
#include "capacity_world/synthetic_quota.h"
#include "logging/log.h"

namespace {

using namespace dewweir;
using namespace dewweir::capacity_world;

constexpr int exit_bad_settings = 2;
constexpr int exit_cannot_listen = 1;
constexpr int exit_bad_usage = 64;
constexpr runtime::Time sample_interval = runtime::tenths_per_second;

struct Options {
    std::string settings_path;
    std::uint32_t gateways = 1;
    std::chrono::milliseconds start_gap{0};  // between the starts of two gateways
    std::chrono::seconds life{600};
    QuotaLoad quota;
};

long long microseconds_of(Clock::time_point moment) {
    return std::chrono::duration_cast<std::chrono::microseconds>(moment.time_since_epoch()).count();
}

const char* name_of(Taken what) {
    switch (what) {
        case Taken::configuration: return "configuration";
        case Taken::instances: return "instances";
        case Taken::members: return "members";
    }
    return "";
}

void print(const TakenEvent& event) {
    if (event.what == Taken::members) return;  // too many; each sample tells how many there were
    std::printf("{\"event\":\"%s\",\"node\":\"%s\",\"version\":%llu,\"heard\":%lld,\"in_force\":%lld}\n",
                name_of(event.what), event.node.c_str(), static_cast<unsigned long long>(event.version),
                microseconds_of(event.heard_at), microseconds_of(event.in_force_at));
}

class World {
  public:
    World(const settings::Settings& common, const Options& options)
        : common_(common),
          options_(options),
          loop_(std::size_t{2} * options.gateways + 1),
          sessions_(loop_),
          quota_(loop_, gateways_, options.quota),
          next_start_(loop_),
          sample_(loop_),
          end_(loop_) {}

    int run() {
        loop_.on_signals([this] { loop_.stop(); }, [] {});
        end_.start(runtime::tenths(options_.life), [this] { loop_.stop(); });
        sample();
        start_next();
        loop_.run();
        return exit_code_;
    }

  private:
    void start_next() {
        const auto number = static_cast<std::uint32_t>(gateways_.size());
        if (number == options_.gateways) return quota_.start();
        gateways_.push_back(
            std::make_unique<HollowGateway>(loop_, sessions_, settings_of(common_, number),
                                            [this](const TakenEvent& event) { taken(event); }));
        if (const auto fault = gateways_.back()->start()) {
            std::cerr << "dewweir_capacity: address of gateway " << number << ": " << *fault << "\n";
            exit_code_ = exit_cannot_listen;
            return loop_.stop();
        }
        next_start_.start(runtime::tenths(options_.start_gap), [this] { start_next(); });
    }

    void taken(const TakenEvent& event) {
        if (event.what == Taken::members) {
            ++members_taken_;
            members_known_ = event.version;
        }
        print(event);
    }

    void sample() {
        sample_.start(sample_interval, [this] { sample(); });
        const SessionBytes bytes = count_session_bytes();
        std::printf(
            "{\"event\":\"sample\",\"at\":%lld,\"started\":%zu,\"connections\":%llu,\"bytes_in\":%llu,"
            "\"bytes_out\":%llu,\"segments_in\":%llu,\"segments_out\":%llu,\"members_taken\":%llu,"
            "\"members_known\":%llu,\"quota_asked\":%llu,\"quota_passed\":%llu,\"quota_refused\":%llu}\n",
            microseconds_of(Clock::now()), gateways_.size(),
            static_cast<unsigned long long>(bytes.connections),
            static_cast<unsigned long long>(bytes.bytes_in), static_cast<unsigned long long>(bytes.bytes_out),
            static_cast<unsigned long long>(bytes.segments_in),
            static_cast<unsigned long long>(bytes.segments_out),
            static_cast<unsigned long long>(members_taken_), static_cast<unsigned long long>(members_known_),
            static_cast<unsigned long long>(quota_.counts().asked),
            static_cast<unsigned long long>(quota_.counts().passed),
            static_cast<unsigned long long>(quota_.counts().refused));
        std::fflush(stdout);
    }

    settings::Settings common_;
    Options options_;
    runtime::EventLoop loop_;
    transport::Sessions sessions_;
    std::vector<std::unique_ptr<HollowGateway>> gateways_;
    SyntheticQuota quota_;
    runtime::Timer next_start_;
    runtime::Timer sample_;
    runtime::Timer end_;
    std::uint64_t members_taken_ = 0;  // lists, all gateways together
    std::uint64_t members_known_ = 0;  // in the latest list
    int exit_code_ = 0;
};

Options read_options(int argc, char** argv) {
    TCLAP::CmdLine line("hollow gateways, to measure what the control plane's work costs", ' ', "1");
    TCLAP::ValueArg<std::string> file("s", "settings", "settings file of the first gateway", true, "", "FILE",
                                      line);
    TCLAP::ValueArg<std::uint32_t> gateways("n", "gateways", "how many", false, 1, "COUNT", line);
    TCLAP::ValueArg<int> gap("g", "start-gap", "between two starts, in ms", false, 0, "MS", line);
    TCLAP::ValueArg<int> life("l", "life", "ends after so many seconds", false, 600, "S", line);
    TCLAP::ValueArg<double> rate("q", "quota-rate", "requests a second and gateway", false, 0, "RATE", line);
    TCLAP::ValueArg<std::uint32_t> tenants("t", "quota-tenants", "tenants they are drawn from", false, 1,
                                           "COUNT", line);
    TCLAP::ValueArg<std::uint32_t> seed("", "seed", "of the tenants drawn", false, 1, "SEED", line);
    line.parse(argc, argv);
    const QuotaLoad quota{rate.getValue(), std::max(1u, tenants.getValue()), seed.getValue()};
    return {file.getValue(), gateways.getValue(), std::chrono::milliseconds(gap.getValue()),
            std::chrono::seconds(life.getValue()), quota};
}

}  // namespace

int main(int argc, char** argv) {
    try {
        const Options options = read_options(argc, argv);
        std::ifstream file(options.settings_path);
        std::stringstream text;
        text << file.rdbuf();
        const settings::SettingsResult read = settings::read_settings(text.str());
        if (const auto* const error = std::get_if<settings::SettingsError>(&read)) {
            std::cerr << "dewweir_capacity: settings: " << error->key << ": " << error->advice << "\n";
            return exit_bad_settings;
        }
        const auto& settings = std::get<settings::Settings>(read);
        logging::start(settings.self.node, logging::Level::error);
        return World(settings, options).run();
    } catch (const TCLAP::ArgException& fault) {
        std::cerr << "dewweir_capacity: " << fault.argId() << ": " << fault.error() << "\n";
        return exit_bad_usage;
    }
}

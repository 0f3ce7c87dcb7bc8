// rollout check|start|status|hold|go-on|back: a rolling change in stages.
#include <csignal>
#include <iostream>
#include <memory>

#include "commands.h"
#include "errors/errors.h"
#include "fleet/controller.h"
#include "net/json_line.h"

namespace dewweir::cli {
namespace {

volatile std::sig_atomic_t told_to_leave = 0;
void leave(int) { told_to_leave = 1; }

struct Options {
    std::string file;
    bool json = false;
};

// `do_first`: what is done with the position before going on.
int carry_out(const fleet::Fleet& fleet, const Options& o,
              const std::function<void(fleet::Controller&)>& do_first) {
    std::signal(SIGINT, leave);
    std::signal(SIGTERM, leave);
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error of the call, not our end
    net::Log log(std::clog, -1, net::Level::info, 1000, o.json ? net::json_line : net::text_line);
    fleet::Controller controller(fleet, log);
    do_first(controller);
    const fleet::Outcome end = controller.run(told_to_leave);
    static const char* const words[] = {"done: every gateway is new", "taken back: every gateway is old", "",
                                        "", "left as it is; `dewweir rollout go-on` goes on"};
    std::cout << "rollout of " << fleet.name << ": " << words[static_cast<int>(end)] << '\n';
    return static_cast<int>(end);
}

bool runs(const fleet::Fleet& fleet) { return state::Lock::holder(fleet.in_folder("lock")) != 0; }

int status(const fleet::Fleet& fleet, bool json) {
    const auto told = fleet::read_status(fleet);
    if (!told)
        throw errors::Unreachable(fleet.folder, "no rollout has been begun there",
                                  "`dewweir rollout start FILE` begins one");
    if (json) std::cout << told->dump(1) << '\n';
    else std::cout << fleet::status_text(*told, runs(fleet));
    return fine;
}

int check(const fleet::Fleet& fleet) {
    std::cout << fleet.file << ": good: " << fleet.members.size() << " gateways, stages of";
    for (const std::size_t stage : fleet.machine.stages) std::cout << ' ' << stage;
    std::cout << " new ones\n";
    return fine;
}

}  // namespace

void add_rollout(CLI::App& app, int& end) {
    CLI::App* const rollout = app.add_subcommand("rollout", "a rolling change in stages, old beside new");
    rollout->require_subcommand(1);
    const auto o = std::make_shared<Options>();
    const auto add = [&](const char* name, const char* help, auto what) {
        CLI::App* const one = rollout->add_subcommand(name, help);
        one->add_option("FILE", o->file, "the fleet file")->required();
        one->add_flag("--json", o->json, "the log, or the status, as JSON");
        one->callback([o, what, &end] { end = what(fleet::read_fleet(o->file), *o); });
    };
    add("check", "looks the fleet file over, and what it names; starts nothing",
        [](const fleet::Fleet& fleet, const Options&) { return check(fleet); });
    add("start", "begins; goes on until all are new, or old again",
        [](const fleet::Fleet& fleet, const Options& on) {
            return carry_out(fleet, on, [](fleet::Controller& controller) { controller.must_be_open(); });
        });
    add("status", "what it has come to",
        [](const fleet::Fleet& fleet, const Options& on) { return status(fleet, on.json); });
    add("hold", "begins nothing further until go-on",
        [](const fleet::Fleet& fleet, const Options&) { return fleet::ask_controller(fleet, "hold"), fine; });
    add("go-on", "goes on: after a hold, or where a controller was lost",
        [](const fleet::Fleet& fleet, const Options& on) {
            if (runs(fleet)) return fleet::ask_controller(fleet, "go_on"), fine;
            // A controller may have been lost between the end and telling it: the end is told again.
            return carry_out(fleet, on, [](fleet::Controller& controller) {
                if (!controller.over()) controller.hold(false);
            });
        });
    add("back", "brings every gateway back to the old version",
        [](const fleet::Fleet& fleet, const Options& on) {
            if (runs(fleet)) return fleet::ask_controller(fleet, "back"), fine;
            return carry_out(fleet, on, [](fleet::Controller& controller) {
                controller.must_be_open();
                controller.back("asked for");
            });
        });
}

}  // namespace dewweir::cli

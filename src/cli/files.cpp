// serve, check, explain: the gateway with an operator file, and the files that people write.
#include <unistd.h>

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "commands.h"
#include "errors/errors.h"
#include "net/check.h"
#include "net/counts_event.h"
#include "net/events.h"
#include "net/json_line.h"
#include "operator/operator_file.h"
#include "peers/peers.h"
#include "rig/script.h"
#include "rig/trial.h"
#include "serve.h"
#include "state/checked_file.h"

namespace dewweir::cli {
namespace {

bool ends_with(const std::string& text, const std::string& end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// A file by what it is: the platform's JSON, or our TOML, which is a script of troubles where it holds any.
std::vector<errors::FileProblem> check(const std::string& file) {
    try {
        const std::string text = file_text(file);
        if (ends_with(file, ".json")) return net::check_configuration(text, file);
        if (!ends_with(file, ".toml"))
            return {{file, 0, "", "what is it? The name must end in .json or .toml"}};
        // Of the largest trial, and of a stand-in alone.
        std::vector<std::string> names = rig::trial_names(32, 64, true, true);
        names.push_back("host");
        if (text.find("[[trouble]]") == text.npos) parse_operator_file(text, file);
        else rig::parse_script(text, file, names);
        return {};
    } catch (const errors::BadFile& wrong) { return wrong.all; }
}

int check_all(const std::vector<std::string>& files) {
    int end = fine;
    for (const std::string& file : files) {
        const std::vector<errors::FileProblem> wrong = check(file);
        for (const errors::FileProblem& one : wrong) std::cout << one.text() << '\n';
        if (wrong.empty()) std::cout << file << ": good\n";
        else end = cannot;
    }
    return end;
}

int explain(const std::string& key, bool all, bool page, bool events, bool errors) {
    if (errors) return std::cout << errors::errors_table(), fine;
    if (events) return std::cout << net::events_table(), fine;
    if (page) return std::cout << keys_page(), fine;
    if (all) {
        for (const Key& one : operator_keys()) std::cout << explained(one);
        return fine;
    }
    if (const Key* const one = operator_key(key)) return std::cout << explained(*one), fine;
    std::vector<std::string> names;
    for (const Key& one : operator_keys()) names.push_back(one.name);
    std::cerr << "dewweir: explain: no such key: " << key << errors::did_you_mean(key, names) << '\n';
    return cannot;
}

struct Options {
    std::string with, key, identity, label;
    std::vector<std::string> files;
    bool all = false, page = false, events = false, errors = false;
};

}  // namespace

void add_files(CLI::App& app, int& end) {
    const auto o = std::make_shared<Options>();
    CLI::App* const serve = app.add_subcommand("serve", "the gateway, as without a sub-command");
    serve->add_option("--with", o->with, "an operator file")->check(CLI::ExistingFile);
    serve->add_option(
        "--identity", o->identity,
        "a file that it holds locked as long as it lives, and that says what it is; with --with");
    serve->add_option("--label", o->label, "a word for its version, told in the log and the identity");
    serve->callback([o, &end] {
        const OperatorFile file = o->with.empty() ? OperatorFile{} : read_operator_file(o->with);
        if (o->with.empty()) return void(end = dewweir::serve(nullptr));
        Extras extras{
            file, net::json_line, DEWWEIR_VERSION, {}, o->label, [](Time every, std::vector<Time> goals) {
                return std::make_unique<net::CountsEvent>(every, std::move(goals));
            }};
        if (const char* const at = std::getenv("EDGE_CONFIG"); at && *at)
            extras.settings = state::digest(file_text(at) + file_text(o->with));
        if (!file.members.listen.empty())
            extras.peer_observer =
                [&file](const net::NodeContext& part,
                        net::ReportReceiver& report_receiver) -> std::unique_ptr<net::PeerObserver> {
                const Time now = part.deadlines_.now();
                return std::make_unique<peers::Peers>(part, report_receiver, file.members,
                                                      part.configuration_.name, part.configuration_.seed,
                                                      static_cast<std::uint64_t>(now / 10));
            };
        // A second one of the same identity ends here, before it touches anything.
        std::optional<state::Lock> identity;
        if (!o->identity.empty()) {
            identity.emplace(o->identity);
            identity->say({{"label", o->label},
                           {"version", extras.version},
                           {"settings", extras.settings},
                           {"pid", ::getpid()}});
        }
        end = dewweir::serve(&extras);
    });

    CLI::App* const checked =
        app.add_subcommand("check", "look files over: platform JSON, operator TOML, scripts");
    checked->add_option("FILE", o->files, "one or more")->required();
    checked->callback([o, &end] { end = check_all(o->files); });

    CLI::App* const explained = app.add_subcommand("explain", "what a key of the operator file does");
    explained->add_option("KEY", o->key, "its name");
    explained->add_flag("--all", o->all, "every key");
    explained->add_flag("--page", o->page, "the docs page of all keys");
    explained->add_flag("--events", o->events, "what the log can tell, as the on-call page has it");
    explained->add_flag("--errors", o->errors, "every kind of error: exit code, meaning, what to do");
    explained->callback([o, &end] {
        if (o->key.empty() && !o->all && !o->page && !o->events && !o->errors)
            throw CLI::ValidationError("explain", "name a KEY, or say --all");
        end = explain(o->key, o->all, o->page, o->events, o->errors);
    });
}

}  // namespace dewweir::cli

#include "operator_file.h"

#include <algorithm>

namespace dewweir {
namespace {

const Schema& schema() {
    static const Schema all = {
        {
            {"log.level",
             Key::Kind::choice,
             "",
             "info",
             0,
             0,
             {"error", "warning", "info", "debug"},
             "The least grave lines that are logged; DEWWEIR_LOG in the environment holds over it."},
            {"log.format",
             Key::Kind::choice,
             "",
             "text",
             0,
             0,
             {"text", "json"},
             "Lines for people, or an object a line with the event's name and typed fields."},
            {"log.lines_a_second",
             Key::Kind::whole,
             "lines a second",
             "100",
             1,
             100000,
             {},
             "The most lines that are logged; more are counted and left out, and the log says how many."},
            {"log.counts_every",
             Key::Kind::time,
             "",
             "0s",
             0,
             3600,
             {},
             "How often the log tells what was counted since the last time (event `counts`); 0s: never."},
            {"members.listen",
             Key::Kind::text,
             "",
             "",
             0,
             0,
             {},
             "IPv4 address and port for datagrams between gateways, as the others reach it; left out: none."},
            {"members.deployment",
             Key::Kind::text,
             "",
             "",
             0,
             0,
             {},
             "A word that all gateways of one deployment have; datagrams with another are dropped."},
            {"members.seeds",
             Key::Kind::texts,
             "",
             "",
             0,
             0,
             {},
             "Addresses and ports of some gateways, to find the others by; our own may be among them."},
            {"members.from",
             Key::Kind::texts,
             "",
             "",
             0,
             0,
             {},
             "IPv4 addresses, without port, whose datagrams are read; any other's are dropped."},
            {"members.reach",
             Key::Kind::texts,
             "",
             "",
             0,
             0,
             {},
             "NAME=ADDRESS: where a gateway is reached from here, if not where it says itself."},
            {"members.status",
             Key::Kind::text,
             "",
             "",
             0,
             0,
             {},
             "A file that says, each second, who is there by what this gateway believes; left out: none."},
            {"members.period",
             Key::Kind::time,
             "",
             "1s",
             0.05,
             60,
             {},
             "One other gateway is probed in each; the same at all gateways."},
            {"members.gossip",
             Key::Kind::time,
             "",
             "200ms",
             0.01,
             10,
             {},
             "News is passed on in each, to three others; the same at all gateways."},
            {"members.verdicts",
             Key::Kind::choice,
             "",
             "on",
             0,
             0,
             {"on", "off"},
             "Whether gateways tell each other what they find of hosts: failing, draining, started again."},
            {"members.rights",
             Key::Kind::choice,
             "",
             "on",
             0,
             0,
             {"on", "off"},
             "With verdicts: whether parts of quotas move between gateways while the counter cannot be "
             "asked."},
        },
        {}};
    return all;
}

}  // namespace

const std::vector<Key>& operator_keys() { return schema().keys; }

const Key* operator_key(const std::string& name) {
    for (const Key& key : operator_keys())
        if (key.name == name) return &key;
    return nullptr;
}

OperatorFile parse_operator_file(const std::string& text, const std::string& file) {
    const Values told = parse_document(text, file, schema()).top;
    OperatorFile read;
    read.log_level = told.text("log.level");
    read.log_format = told.text("log.format");
    read.counts_every = told.time("log.counts_every");
    read.log_lines = static_cast<int>(told.number("log.lines_a_second"));
    MembersFile& members = read.members;
    members.listen = told.text("members.listen");
    members.deployment = told.text("members.deployment"), members.status = told.text("members.status");
    members.seeds = told.texts("members.seeds"), members.from = told.texts("members.from");
    members.reach = told.texts("members.reach");
    members.period = told.time("members.period"), members.gossip = told.time("members.gossip");
    members.verdicts = told.text("members.verdicts") == "on";
    members.rights = told.text("members.rights") == "on";
    if (members.listen.empty()) return read;
    std::vector<errors::FileProblem> wrong;
    for (const char* const key : {"members.deployment", "members.from"})
        if (!told.told(key))
            wrong.push_back({file, told.line("members.listen"), key, "missing, beside members.listen"});
    if (members.listen.rfind("0.0.0.0", 0) == 0)
        wrong.push_back(
            {file, told.line("members.listen"), "members.listen",
             "it is told to the others, who cannot reach 0.0.0.0: name the address that they can"});
    throw_if_any(std::move(wrong));
    return read;
}

OperatorFile read_operator_file(const std::string& file) {
    return parse_operator_file(file_text(file), file);
}

std::string keys_page() {
    return "# Keys of the operator file\n\n"
           "Made by `dewweir explain --page`; the schema is in `src/operator/operator_file.cpp`. Do not "
           "edit.\n\n" +
           keys_table(operator_keys());
}

}  // namespace dewweir

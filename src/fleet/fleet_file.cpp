#include "fleet_file.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <set>

#include "fleet/side_by_side.h"
#include "net/check.h"
#include "net/configuration.h"
#include "operator/operator_file.h"
#include "state/checked_file.h"

namespace dewweir::fleet {
namespace {

using Kind = Key::Kind;

struct Reader {
    Fleet fleet;
    std::vector<errors::FileProblem> complaints{};

    void complain(const Values& at, const std::string& key, const std::string& what) {
        complaints.push_back({fleet.file, at.line(key), key, what});
    }
    // Names in the file are seen from where it stands.
    std::string path(const std::string& name) const {
        const std::filesystem::path base = std::filesystem::absolute(fleet.file).parent_path();
        return (base / name).lexically_normal().string();
    }
    std::string existing(const Values& at, const std::string& key) {
        const std::string found = path(at.text(key));
        if (at.told(key) && !std::filesystem::is_regular_file(found))
            complain(at, key, "no such file: " + found);
        return found;
    }

    void release(const Values& top, const std::string& which, Release& to) {
        to.program = existing(top, which + ".program");
        to.operator_file = existing(top, which + ".operator");
        if (!std::filesystem::is_regular_file(to.operator_file)) return;
        try {
            const OperatorFile own = read_operator_file(to.operator_file);
            if (own.log_format != "json" || own.counts_every <= 0)
                complain(top, which + ".operator",
                         "it must say log.format = \"json\" and log.counts_every, or nobody can compare");
        } catch (const errors::BadFile& bad) {
            complaints.insert(complaints.end(), bad.all.begin(), bad.all.end());
        }
    }

    void member(const Values& told) {
        Member one;
        one.name = told.text("name");
        one.configuration[0] = existing(told, "configuration");
        one.configuration[1] =
            told.told("new_configuration") ? existing(told, "new_configuration") : one.configuration[0];
        std::vector<net::Configuration> read;
        for (const std::string& file : one.configuration) {
            if (!std::filesystem::is_regular_file(file)) return;
            const std::string text = file_text(file);
            const auto wrong = net::check_configuration(text, file);
            complaints.insert(complaints.end(), wrong.begin(), wrong.end());
            if (!wrong.empty()) return;
            read.push_back(net::parse_configuration(text));
        }
        if (read[0].listen != read[1].listen)
            complain(told, "new_configuration",
                     "it listens elsewhere than the old one; clients would not follow");
        for (const std::string& reason : against_side_by_side(read[0], read[1]))
            complain(told, "new_configuration", "old and new cannot be run side by side: " + reason);
        one.address = one.asked_at = read[0].listen;
        if (told.told("address")) {
            try {
                one.asked_at = net::parse_address("address", told.text("address"));
            } catch (const errors::BadSetting& wrong) { complain(told, "address", wrong.happened()); }
        }
        fleet.members.push_back(one);
    }

    void stages(const Values& top) {
        const auto all = fleet.members.size();
        std::vector<std::size_t>& stages = fleet.machine.stages;
        stages.push_back(std::min<std::size_t>(all, static_cast<std::size_t>(top.number("stages.first"))));
        auto parts = top.texts("stages.parts");
        if (!top.told("stages.parts")) parts = {"0.25", "0.5", "1"};
        for (const std::string& part : parts) {
            char* end = nullptr;
            const double figure = std::strtod(part.c_str(), &end);
            if (part.empty() || *end || !(figure > 0 && figure <= 1)) {
                complain(top, "stages.parts",
                         "found " + part + "; each must be a part of the fleet, over 0 and up to 1");
                continue;
            }
            const auto many = static_cast<std::size_t>(std::ceil(figure * static_cast<double>(all)));
            if (many > stages.back()) stages.push_back(many);
        }
        if (stages.back() < all) stages.push_back(all);
    }
};

}  // namespace

const Schema& fleet_schema() {
    static const Schema all = {
        {{"name", Kind::text, "", "", 0, 0, {}, "of the fleet", true},
         {"folder",
          Kind::text,
          "",
          "",
          0,
          0,
          {},
          "where the journal, the gateways' logs and their identities stand",
          true},
         {"old.program", Kind::text, "", "", 0, 0, {}, "the program that is to be replaced", true},
         {"old.operator", Kind::text, "", "", 0, 0, {}, "its operator file", true},
         {"new.program", Kind::text, "", "", 0, 0, {}, "the program that replaces it", true},
         {"new.operator", Kind::text, "", "", 0, 0, {}, "its operator file", true},
         {"commands.start",
          Kind::texts,
          "",
          "",
          0,
          0,
          {},
          "starts a gateway; {program}, {operator}, {configuration}, {identity}, {log}, {name} and {version} "
          "are filled in; left out: built in"},
         {"commands.end", Kind::texts, "", "", 0, 0, {}, "ends one, {pid} too; left out: SIGTERM"},
         {"limits.check",
          Kind::texts,
          "",
          "",
          0,
          0,
          {},
          "a command of your own, run every few seconds: any exit but 0 stops the rollout, its last line is "
          "the reason"},
         {"stages.first", Kind::whole, "gateways", "1", 1, 1000, {}, "new ones in the first stage"},
         {"stages.parts",
          Kind::texts,
          "",
          "0.25, 0.5, 1",
          0,
          0,
          {},
          "parts of the fleet that are new in each further stage"},
         {"stages.least_time",
          Kind::time,
          "",
          "60s",
          1,
          86400,
          {},
          "each stage is watched so long at the least"},
         {"stages.longest",
          Kind::time,
          "",
          "20min",
          1,
          864000,
          {},
          "without a verdict by then it is taken back"},
         {"stages.least_tries",
          Kind::whole,
          "tries",
          "500",
          1,
          1e9,
          {},
          "of the new ones in a stage, before it may pass"},
         {"stages.settle",
          Kind::time,
          "",
          "10s",
          0,
          3600,
          {},
          "not compared after a change: a gateway that has just started knows nothing"},
         {"limits.down_at_once", Kind::whole, "gateways", "1", 1, 1000, {}, "not ready at the same time"},
         {"limits.stay",
          Kind::part,
          "",
          "0.5",
          0,
          1,
          {},
          "the part of the fleet that must be ready at any time"},
         {"limits.ready_within",
          Kind::time,
          "",
          "15s",
          0.1,
          3600,
          {},
          "from a start; a new one that is not by then stops the rollout"},
         {"limits.end_within", Kind::time, "", "10s", 0.1, 3600, {}, "from SIGTERM to SIGKILL"},
         {"limits.memory",
          Kind::part,
          "MB",
          "0",
          0,
          1e6,
          {},
          "of a new gateway; more stops the rollout; 0: no limit"},
         {"judge.false_stops",
          Kind::part,
          "",
          "0.005",
          1e-6,
          0.5,
          {},
          "the chance that an equal program is stopped, at most"},
         {"judge.tolerance",
          Kind::part,
          "",
          "0.01",
          0.0001,
          0.5,
          {},
          "a part of tries by which the new ones may be worse"},
         {"judge.harm",
          Kind::part,
          "",
          "0.03",
          0.001,
          1,
          {},
          "to pass, a loss of more than this part of tries must be ruled out"},
         {"judge.past", Kind::whole, "windows", "15", 5, 10000, {}, "before the change, to compare with"}},
        {{"gateway",
          {{"name", Kind::text, "", "", 0, 0, {}, "its name; also of its files in the folder", true},
           {"configuration", Kind::text, "", "", 0, 0, {}, "the platform's JSON", true},
           {"new_configuration", Kind::text, "", "", 0, 0, {}, "the new version's, where it differs"},
           {"address",
            Kind::text,
            "",
            "",
            0,
            0,
            {},
            "where it is asked whether it is ready; left out: where it listens"}}}}};
    return all;
}

Fleet read_fleet(const std::string& file) {
    Reader reader{{}};
    Fleet& fleet = reader.fleet;
    fleet.file = file;
    const Document told = parse_document(file_text(file), file, fleet_schema(), reader.complaints);
    const Values& top = told.top;
    fleet.name = top.text("name");
    fleet.folder = reader.path(top.text("folder"));
    reader.release(top, "old", fleet.releases[0]);
    reader.release(top, "new", fleet.releases[1]);
    fleet.start = top.texts("commands.start"), fleet.end = top.texts("commands.end");
    fleet.check = top.texts("limits.check");
    const auto members = told.lists.find("gateway");
    std::set<std::string> names;
    if (members == told.lists.end()) reader.complain(top, "gateway", "missing: the fleet has none");
    else
        for (const Values& one : members->second) {
            if (!names.insert(one.text("name")).second) reader.complain(one, "name", "there are two of it");
            reader.member(one);
        }
    std::set<asio::ip::tcp::endpoint> addresses;
    for (const Member& one : fleet.members)
        if (!addresses.insert(one.address).second)
            reader.complain(top, "gateway", one.name + " listens where another one does");
    throw_if_any(reader.complaints);
    reader.stages(top);
    throw_if_any(reader.complaints);
    rollout::MachineTerms& m = fleet.machine;
    m.least_time = top.time("stages.least_time"), m.longest = top.time("stages.longest");
    m.ready_within = top.time("limits.ready_within"), m.end_within = top.time("limits.end_within");
    m.down_at_once = static_cast<std::size_t>(top.number("limits.down_at_once"));
    m.stay = static_cast<std::size_t>(
        std::ceil(top.number("limits.stay") * static_cast<double>(fleet.members.size())));
    if (m.stay >= fleet.members.size())
        throw errors::BadFile({{file, top.line("limits.stay"), "limits.stay",
                                "no gateway could ever be replaced: " + std::to_string(m.stay) + " of " +
                                    std::to_string(fleet.members.size()) + " must stay ready"}});
    rollout::JudgeTerms& j = fleet.judge;
    j.false_stops = top.number("judge.false_stops"), j.tolerance = top.number("judge.tolerance");
    j.harm = top.number("judge.harm"), j.least_past = static_cast<int>(top.number("judge.past"));
    j.least_tries = top.number("stages.least_tries");
    j.stages = static_cast<int>(m.stages.size());
    fleet.settle = top.time("stages.settle");
    fleet.memory_mb = top.number("limits.memory");
    return fleet;
}

std::string settings_digest(const Fleet& fleet, std::size_t member, bool fresh) {
    return state::digest(file_text(fleet.members[member].configuration[fresh]) +
                         file_text(fleet.releases[fresh].operator_file));
}

}  // namespace dewweir::fleet

#include "program/help.h"

#include "program/exit_codes.h"
#include "program/text_table.h"

namespace dewweir::program {
namespace {

constexpr std::string_view commands = R"(dewweir, a global load balancer

Processes, as the platform runs them; DEWWEIR_CONFIG or --settings FILE names the settings file:
  dewweir gateway                carries the traffic of clients
  dewweir control-plane          keeps configuration, evacuations and members

Operator's commands:
  dewweir config get             print the configuration in force
  dewweir config put FILE        check FILE and put it in force [--if-match VERSION]
  dewweir config diff FILE       show what putting FILE would change
  dewweir config check FILE      check FILE without calling anyone
  dewweir config history         list the versions that were accepted
  dewweir evacuate ZONE          send nothing more to the hosts of ZONE [--undo]
  dewweir members                list gateways and control planes
  dewweir status                 show who leads and the state of the whole
  dewweir explain-settings       describe every key of the settings file
  dewweir check-settings FILE    check a settings file

Options:
  --control HOST:PORT[,...]      control planes to call; without it DEWWEIR_CONTROL counts
  --json                         print results and errors as one JSON object a line
  --timeout DURATION             give up a call after this time, 100ms to 600s (8s)
  --if-match VERSION             config put: the version FILE builds on (the one in force)
  --undo                         evacuate: withdraw the evacuation
  --help, --version

Exit codes:
)";

}  // namespace

std::string help_text() {
    TextTable table({"  CODE", "MEANING", "WHAT TO DO"});
    for (const ExitCodeRow& row : exit_code_table) {
        const std::string code = "  " + std::to_string(number_of(row.code));
        table.add({code, std::string(row.meaning), std::string(row.advice)});
    }
    return std::string(commands) + table.text() + "\nExamples and what to do in trouble: docs/operating.md\n";
}

}  // namespace dewweir::program

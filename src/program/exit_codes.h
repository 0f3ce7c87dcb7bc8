// All exit codes of the program, each with its meaning and what the operator should do. `dewweir --help`
// prints the table.
#pragma once

#include <array>
#include <string_view>

namespace dewweir::program {

// Codes from 64 on have the meaning that sysexits.h (4.3BSD) gives them.
enum class ExitCode : int {
    done = 0,
    cannot_listen = 1,
    bad_settings = 2,
    differs = 3,
    version_conflict = 4,
    no_configuration = 5,
    no_leader = 6,
    usage = 64,
    bad_configuration = 65,
    unreadable_file = 66,
    unreachable = 69,      // no conclusive response; certainly nothing was changed
    outcome_unknown = 75,  // a change may or may not have been made
    unexpected_answer = 76,
};

struct ExitCodeRow {
    ExitCode code;
    std::string_view meaning;
    std::string_view advice;
};

constexpr std::array exit_code_table = {
    ExitCodeRow{ExitCode::done, "done", "nothing to do"},
    ExitCodeRow{ExitCode::cannot_listen, "a gateway or control plane cannot listen",
                "read its log; free the address or correct network.bind"},
    ExitCodeRow{ExitCode::bad_settings, "the settings file is refused", "correct the key that is named"},
    ExitCodeRow{ExitCode::differs, "config diff found differences", "put the file if they are wanted"},
    ExitCodeRow{ExitCode::version_conflict, "another version is in force than the one built on",
                "run config diff, merge, raise epoch, put again"},
    ExitCodeRow{ExitCode::no_configuration, "no configuration is in force yet", "put the first one"},
    ExitCodeRow{ExitCode::no_leader, "control planes answer, and none leads",
                "start the others: a majority must run"},
    ExitCodeRow{ExitCode::usage, "the command line is wrong", "see dewweir --help"},
    ExitCodeRow{ExitCode::bad_configuration, "the configuration is refused",
                "correct the place that is named"},
    ExitCodeRow{ExitCode::unreadable_file, "a file cannot be read", "check its name and permissions"},
    ExitCodeRow{ExitCode::unreachable, "no control plane gave a clear answer; nothing was changed",
                "check --control and that a majority of control planes runs, then repeat"},
    ExitCodeRow{ExitCode::outcome_unknown, "the order may or may not have been taken",
                "repeat the same command: repeating is safe"},
    ExitCodeRow{ExitCode::unexpected_answer, "a control plane gave an answer that cannot be read",
                "check that --control names control planes of this version"},
};

// The number that the process exits with.
constexpr int number_of(ExitCode code) { return static_cast<int>(code); }

// What the operator should do about the code.
constexpr std::string_view advice_of(ExitCode code) {
    for (const ExitCodeRow& row : exit_code_table) {
        if (row.code == code) return row.advice;
    }
    return {};
}

}  // namespace dewweir::program

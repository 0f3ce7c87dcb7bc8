#include "errors.h"

#include <cerrno>
#include <cstring>
#include <iterator>
#include <utility>

namespace dewweir::errors {
namespace {

constexpr KindInfo entries[] = {
    {"own_fault", 1, "the program met a fault in itself", "keep the log and report it; a restart is safe"},
    {"bad_file", 2, "a file that people write holds something wrong; every place is listed",
     "mend the places named; `dewweir check FILE` looks it over without starting anything"},
    {"bad_setting", 2, "a setting of the platform's configuration is missing or cannot be read",
     "mend that key; `dewweir check FILE` lists all of them at once"},
    {"bad_call", 2, "a value given to a command or a part is out of its range",
     "`dewweir SUB-COMMAND --help` says which values are allowed"},
    {"bad_input", 2, "what another program sent is not in the stated form",
     "see that both ends are of versions that know each other"},
    {"cannot_listen", 10, "the address is taken, or is not this machine's",
     "see who listens there (`ss -ltnp`), or name another address"},
    {"cannot_start", 11, "a process could not be started, ended at once, or was not ready in time",
     "read its log, named in the message; start it by hand with the same files"},
    {"unreachable", 12, "a neighbour did not answer in time",
     "see that it runs and that nothing lies between; the call may be made again"},
    {"state_torn", 13, "a file of state does not match its checksum, or ends too early",
     "put it aside and see what it held; nothing was changed"},
    {"state_newer", 14, "a file of state was written by a newer program",
     "use that program, or one newer still; nothing was changed"},
    {"out_of_room", 15, "no disk, memory or descriptors were left",
     "make room or raise the limit, then do it again"},
    {"held", 16, "another process holds what is needed",
     "wait for it, or end it if it hangs; the message names it"},
    {"refused", 17, "what was asked for cannot be done safely as things are",
     "read the reason; nothing was changed"},
};
static_assert(std::size(entries) == static_cast<std::size_t>(Kind::count));

}  // namespace

const KindInfo& entry_of(Kind kind) { return entries[static_cast<std::size_t>(kind)]; }

std::string errors_table() {
    std::string table = "| error | exit | meaning | what to do |\n| --- | --- | --- | --- |\n";
    for (const KindInfo& one : entries)
        table += std::string("| `") + one.name + "` | " + std::to_string(one.exit_code) + " | " +
                 one.meaning + " | " + one.to_do + " |\n";
    return table;
}

Error::Error(Kind kind, std::string subject, std::string happened, std::string to_do)
    : std::runtime_error(subject.empty() ? happened : subject + ": " + happened),
      kind_(kind),
      subject_(std::move(subject)),
      happened_(std::move(happened)),
      to_do_(to_do.empty() ? entry_of(kind).to_do : std::move(to_do)) {}

bool means_no_room(int errno_was) {
    return errno_was == ENOSPC || errno_was == EDQUOT || errno_was == EMFILE || errno_was == ENFILE ||
           errno_was == ENOMEM || errno_was == EFBIG;
}

std::string text_of(int errno_was) { return std::strerror(errno_was); }

std::string describe(const std::exception& fault, const std::string& where) {
    std::string text = "dewweir: " + where + fault.what() + '\n';
    if (const auto* const known = dynamic_cast<const Error*>(&fault))
        text += "dewweir: what to do: " + known->to_do() + " (" + entry_of(known->kind()).name + ")\n";
    return text;
}

int exit_code_of(const std::exception& fault) {
    const auto* const known = dynamic_cast<const Error*>(&fault);
    return known ? known->exit_code() : entry_of(Kind::own_fault).exit_code;
}

}  // namespace dewweir::errors

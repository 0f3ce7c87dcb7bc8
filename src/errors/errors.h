// What can go wrong at the program's edges, as types: one for each kind that is handled differently. Each
// error carries what happened, to what, and what an operator can do; each kind has a name, an exit code and a
// meaning that stand in one table, of which the docs page is made. Texts are for people: nothing may tell
// errors apart by them.
#pragma once

#include <cstddef>
#include <stdexcept>
#include <string>

namespace dewweir::errors {

enum class Kind : std::size_t {
    own_fault,
    bad_file,
    bad_setting,
    bad_call,
    bad_input,
    cannot_listen,
    cannot_start,
    unreachable,
    state_torn,
    state_newer,
    out_of_room,
    held,
    refused,
    count,
};

struct KindInfo {
    const char* name;  // stable: people and scripts search for it
    int exit_code;     // from 1 to 125
    const char* meaning;
    const char* to_do;  // where an error brings nothing closer
};

const KindInfo& entry_of(Kind kind);
// The table of docs/errors.md.
std::string errors_table();

class Error : public std::runtime_error {
  public:
    Kind kind() const { return kind_; }
    const std::string& subject() const { return subject_; }
    const std::string& happened() const { return happened_; }
    const std::string& to_do() const { return to_do_; }
    int exit_code() const { return entry_of(kind_).exit_code; }
    // `WHAT: what happened`, without what to do.
    using std::runtime_error::what;

  protected:
    // `to_do` empty: what the table says.
    Error(Kind kind, std::string subject, std::string happened, std::string to_do = {});

  private:
    Kind kind_;
    std::string subject_, happened_, to_do_;
};

template <Kind kind_is> struct Of : Error {
    explicit Of(std::string subject, std::string happened, std::string to_do = {})
        : Error(kind_is, std::move(subject), std::move(happened), std::move(to_do)) {}
};

using BadCall = Of<Kind::bad_call>;
using BadInput = Of<Kind::bad_input>;
using CannotListen = Of<Kind::cannot_listen>;
using CannotStart = Of<Kind::cannot_start>;
using Unreachable = Of<Kind::unreachable>;
using StateTorn = Of<Kind::state_torn>;
using StateNewer = Of<Kind::state_newer>;
using OutOfRoom = Of<Kind::out_of_room>;
using Held = Of<Kind::held>;
using Refused = Of<Kind::refused>;

// A setting by its name; `missing`, or there and unreadable.
struct BadSetting : Of<Kind::bad_setting> {
    BadSetting(const std::string& name, const std::string& happened, bool missing_ = false)
        : Of(name, happened), missing(missing_) {}
    bool missing;
};

// Whether this errno says that no room is left: disk, descriptors, memory, or a limit on them.
bool means_no_room(int errno_was);
std::string text_of(int errno_was);

// What a call to the system has refused, as the type that it is: no room left, or else an `Otherwise`.
template <class Otherwise> [[noreturn]] void throw_of_system(int errno_was, const std::string& subject) {
    if (means_no_room(errno_was)) throw OutOfRoom(subject, text_of(errno_was));
    throw Otherwise(subject, text_of(errno_was));
}

// What an edge prints for any exception, what to do in a line of its own; its exit code. `where` comes first.
std::string describe(const std::exception& fault, const std::string& where = {});
int exit_code_of(const std::exception& fault);

}  // namespace dewweir::errors

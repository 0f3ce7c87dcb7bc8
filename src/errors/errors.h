// Typed errors, one type for each kind of failure that is handled differently. Each error says what
// happened, to what, and what an operator can do. Each kind has a name, an exit code and a meaning in one
// table, from which the documentation page is generated. Texts are for people: code distinguishes errors by
// type only.
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
    const char* to_do;  // default advice, for errors without their own
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
    // An empty `to_do` means the advice of the table.
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

// A wrong setting by its name; `missing` if absent, else unreadable.
struct BadSetting : Of<Kind::bad_setting> {
    BadSetting(const std::string& name, const std::string& happened, bool missing_ = false)
        : Of(name, happened), missing(missing_) {}
    bool missing;
};

// Whether this errno means that a resource is exhausted: disk, file descriptors, memory, or a limit on them.
bool means_no_room(int errno_was);
std::string text_of(int errno_was);

// Throws OutOfRoom if a system call failed for lack of a resource, otherwise `Otherwise`.
template <class Otherwise> [[noreturn]] void throw_of_system(int errno_was, const std::string& subject) {
    if (means_no_room(errno_was)) throw OutOfRoom(subject, text_of(errno_was));
    throw Otherwise(subject, text_of(errno_was));
}

// Message for any exception, with the advice on its own line; `where` is put first. Its exit code.
std::string describe(const std::exception& fault, const std::string& where = {});
int exit_code_of(const std::exception& fault);

}  // namespace dewweir::errors

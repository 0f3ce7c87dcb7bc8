// Typed errors: what each carries, and that the documentation and the exit codes match the table.
#include <doctest/doctest.h>

#include <cerrno>
#include <fstream>
#include <set>
#include <sstream>

#include "errors/bad_file.h"

using namespace dewweir;

TEST_CASE("the errors page matches the table; names are unique, exit codes are in range") {
    std::stringstream page;
    page << std::ifstream(std::string(SOURCE) + "/docs/errors.md").rdbuf();
    CHECK_MESSAGE(page.str().find(errors::errors_table()) != std::string::npos,
                  "docs/errors.md: its table is not `dewweir explain --errors`");
    std::set<std::string> names;
    for (std::size_t n = 0; n < static_cast<std::size_t>(errors::Kind::count); ++n) {
        const errors::KindInfo& one = errors::entry_of(static_cast<errors::Kind>(n));
        CHECK(names.insert(one.name).second);
        CHECK(one.exit_code >= 1);
        CHECK(one.exit_code <= 125);
        CHECK(std::string(one.to_do).size() > 10);
    }
}

TEST_CASE("errors are distinguished by type, and system errors map to the right kind") {
    const auto kind = [](int number) {
        try {
            errors::throw_of_system<errors::CannotStart>(number, "x");
        } catch (const errors::Error& fault) { return fault.kind(); }
    };
    CHECK_THROWS_AS(errors::throw_of_system<errors::CannotStart>(ENOSPC, "x"), errors::OutOfRoom);
    CHECK_THROWS_AS(errors::throw_of_system<errors::CannotStart>(ENOENT, "x"), errors::CannotStart);
    CHECK(kind(ENOSPC) == errors::Kind::out_of_room);
    CHECK(kind(EMFILE) == errors::Kind::out_of_room);
    CHECK(kind(ENOENT) == errors::Kind::cannot_start);
    const errors::Held held("the journal", "process 7 holds it");
    CHECK(held.exit_code() == 16);
    CHECK(errors::describe(held).find(
              "dewweir: the journal: process 7 holds it\ndewweir: what to do: wait") == 0);
    CHECK(errors::Held("a", "b", "call Ana").to_do() == "call Ana");
    CHECK(errors::exit_code_of(std::runtime_error("odd")) == 1);
    const errors::BadFile two({{"f.toml", 2, "a", "bad"}, {"f.toml", 5, "b", "worse"}});
    CHECK(errors::describe(two).find("f.toml:2: a: bad\nf.toml:5: b: worse\n") != std::string::npos);
}

// The sub-commands, by concern: each puts its own on the program's command line. `end` gets the exit code
// once one has run; it and what is told here must outlive the parsing.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace dewweir::cli {

constexpr int fine = 0, found_fault = 1, cannot = 2;

// serve, check, explain
void add_files(CLI::App& app, int& end);
// rollout check, start, status, hold, go-on, back
void add_rollout(CLI::App& app, int& end);
// members, verdicts, explain-bounds
void add_members(CLI::App& app, int& end);
// trial, stand-in, load
void add_experiments(CLI::App& app, int& end);

// stand-in links, under `stand-in`
void add_links(CLI::App& stand, int& end);

// The gateway's program: beside this one, whose name is the same and `-tools`.
std::string gateway_file();

}  // namespace dewweir::cli

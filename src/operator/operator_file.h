// The operator file: settings of our own, in TOML, beside the platform's JSON. The schema is here and nowhere
// else: reader, checker, `dewweir explain` and the docs page of all keys are made from it. It must never hold
// a decision of the module's, nor a default that differs from what the program does without a file.
#pragma once

#include <string>
#include <vector>

#include "schema.h"
#include "settings.h"

namespace dewweir {

const std::vector<Key>& operator_keys();
const Key* operator_key(const std::string& name);

// Throws errors::BadFile, which lists all that is wrong with it.
OperatorFile parse_operator_file(const std::string& text, const std::string& file);
OperatorFile read_operator_file(const std::string& file);

std::string keys_page();  // docs/keys.md

}  // namespace dewweir

// The operator file: settings of our own, in TOML, beside the platform's JSON. The schema is here and nowhere
// else: reader, checker, `dewweir explain` and the docs page of all keys are made from it. It must never hold
// a decision of the module's, nor a default that differs from what the program does without a file.
#pragma once

#include <string>
#include <vector>

#include "complaint.h"
#include "settings.h"

namespace dewweir {

struct Key {
    enum class Kind { whole, choice };
    std::string name;
    Kind kind;
    std::string unit;                  // empty: none
    std::string usual;                 // what holds without it
    double least = 0, most = 0;        // of a whole number
    std::vector<std::string> choices;  // of a choice
    std::string help;                  // one line

    std::string allowed() const;  // `a whole number from 1 to 10000` or `one of a, b`
};

const std::vector<Key>& operator_keys();
const Key* operator_key(const std::string& name);

// Throws Complaints, which lists all that is wrong with it.
OperatorFile parse_operator_file(const std::string& text, const std::string& file);
OperatorFile read_operator_file(const std::string& file);

std::string explained(const Key& key);  // as `dewweir explain` says it
std::string keys_page();                // docs/keys.md

}  // namespace dewweir

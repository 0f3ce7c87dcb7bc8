// The schema of files that people write in TOML: each key once, with kind, range, default and help. Reader,
// checker, `dewweir explain` and the docs pages are made from it. It must never hold a decision.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dewweir/decisions.h"
#include "errors/bad_file.h"

namespace dewweir {

struct Key {
    enum class Kind { whole, part, time, choice, text, texts };
    std::string name;  // with the tables above it: `log.level`
    Kind kind;
    std::string unit;                  // empty: none
    std::string usual;                 // what holds without it; empty where it must be there or means nothing
    double least = 0, most = 0;        // of a whole number, a part, or a time in seconds
    std::vector<std::string> choices;  // of a choice
    std::string help;                  // one line
    bool must = false;

    std::string allowed() const;  // `a whole number from 1 to 10000` or `one of a, b`
};

struct Schema {
    std::vector<Key> keys;
    std::map<std::string, std::vector<Key>> lists;  // `[[gateway]]`: the keys of each
};

// `12s`, `250ms` or `5min`, in tenths of a millisecond; nothing where it is no such time.
std::optional<Time> time_of(const std::string& text);

struct Document;

// What a table says, or its keys' usual values. Asked for names of its schema alone.
class Values {
  public:
    bool told(const std::string& name) const { return told_.contains(name); }
    double number(const std::string& name) const;  // also of a part
    Time time(const std::string& name) const;
    std::string text(const std::string& name) const;  // also of a choice
    std::vector<std::string> texts(const std::string& name) const;
    int line(const std::string& name = "") const;  // of the key, or of the table

  private:
    friend struct SchemaReader;
    friend Document parse_document(const std::string&, const std::string&, const Schema&,
                                   std::vector<errors::FileProblem>&);
    struct Told {
        std::string text;
        std::vector<std::string> texts;
        int line;
    };
    const Key& key(const std::string& name) const;

    const std::vector<Key>* keys_ = nullptr;
    std::map<std::string, Told> told_;
    int line_ = 0;
};

struct Document {
    Values top;
    std::map<std::string, std::vector<Values>> lists;
};

// Throws errors::BadFile, which lists all that is wrong with it. The schema must outlive what is read.
Document parse_document(const std::string& text, const std::string& file, const Schema& schema);
// The same for a reader that has more to complain of: what is wrong is put on the list, what is not is read.
Document parse_document(const std::string& text, const std::string& file, const Schema& schema,
                        std::vector<errors::FileProblem>& complaints);
// Throws errors::BadFile with these in the order of their lines, if there are any.
void throw_if_any(std::vector<errors::FileProblem> complaints);
// What a file holds; throws errors::BadFile where it cannot be read.
std::string file_text(const std::string& file);

std::string explained(const Key& key);                 // as `dewweir explain` says it
std::string keys_table(const std::vector<Key>& keys);  // for the docs

}  // namespace dewweir

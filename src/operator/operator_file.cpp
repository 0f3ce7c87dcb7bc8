#include "operator_file.h"

#include <toml++/toml.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <sstream>

namespace dewweir {
namespace {

std::string number_text(double number) {
    std::ostringstream out;
    out.precision(12);
    out << number;
    return out.str();
}

std::string joined(const std::vector<std::string>& words) {
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
    return all;
}

std::string shown(const toml::node& node) {
    std::ostringstream out;
    node.visit([&](const auto& value) {
        if constexpr (toml::is_value<decltype(value)>) out << value;
        else out << (value.is_table() ? "a table" : "a list");
    });
    return out.str();
}

struct Reader {
    std::string file;
    std::vector<Complaint> complaints;
    OperatorFile read;

    void complain(const toml::node& at, const std::string& key, const std::string& what) {
        complaints.push_back({file, static_cast<int>(at.source().begin.line), key, what});
    }

    void walk(const toml::table& table, const std::string& path) {
        for (const auto& [name, node] : table) {
            const std::string key = (path.empty() ? "" : path + ".") + std::string(name.str());
            const auto& keys = operator_keys();
            const bool inner = std::any_of(keys.begin(), keys.end(),
                                           [&](const Key& k) { return k.name.rfind(key + ".", 0) == 0; });
            if (inner && node.is_table()) walk(*node.as_table(), key);
            else if (inner) complain(node, key, "found " + shown(node) + "; it must be a table");
            else if (const Key* const known = operator_key(key)) take(*known, node);
            else unknown(node, key);
        }
    }

    void unknown(const toml::node& node, const std::string& key) {
        std::vector<std::string> names;
        for (const Key& one : operator_keys()) names.push_back(one.name);
        complain(node, key, "no such key" + did_you_mean(key, names));
    }

    void take(const Key& key, const toml::node& node) {
        bool good = false;
        std::string text;
        double figure = 0;
        if (key.kind == Key::Kind::whole && node.is_integer()) {
            figure = static_cast<double>(node.as_integer()->get());
            good = figure >= key.least && figure <= key.most;
        } else if (key.kind == Key::Kind::choice && node.is_string()) {
            text = node.as_string()->get();
            good = std::find(key.choices.begin(), key.choices.end(), text) != key.choices.end();
        }
        if (!good) {
            const std::string near = key.kind == Key::Kind::choice ? did_you_mean(text, key.choices) : "";
            return complain(node, key.name, "found " + shown(node) + "; it must be " + key.allowed() + near);
        }
        if (key.name == "log.level") read.log_level = text;
        else if (key.name == "log.format") read.log_format = text;
        else if (key.name == "log.lines_a_second") read.log_lines = static_cast<int>(figure);
    }
};

}  // namespace

const std::vector<Key>& operator_keys() {
    static const std::vector<Key> keys = {
        {"log.level",
         Key::Kind::choice,
         "",
         "info",
         0,
         0,
         {"error", "warning", "info", "debug"},
         "The least grave lines that are logged; DEWWEIR_LOG in the environment holds over it."},
        {"log.format",
         Key::Kind::choice,
         "",
         "text",
         0,
         0,
         {"text", "json"},
         "Lines for people, or an object a line with the event's name and typed fields."},
        {"log.lines_a_second",
         Key::Kind::whole,
         "lines a second",
         "100",
         1,
         100000,
         {},
         "The most lines that are logged; more are counted and left out, and the log says how many."},
    };
    return keys;
}

const Key* operator_key(const std::string& name) {
    for (const Key& key : operator_keys())
        if (key.name == name) return &key;
    return nullptr;
}

std::string Key::allowed() const {
    if (kind == Kind::choice) return "one of " + joined(choices);
    return "a whole number from " + number_text(least) + " to " + number_text(most);
}

OperatorFile parse_operator_file(const std::string& text, const std::string& file) {
    Reader reader{file, {}, {}};
    try {
        const toml::table table = toml::parse(text, file);
        reader.walk(table, "");
    } catch (const toml::parse_error& fault) {
        reader.complaints.push_back(
            {file, static_cast<int>(fault.source().begin.line), "", std::string(fault.description())});
    }
    if (!reader.complaints.empty()) {
        std::stable_sort(reader.complaints.begin(), reader.complaints.end(),
                         [](const Complaint& a, const Complaint& b) { return a.line < b.line; });
        throw Complaints(reader.complaints);
    }
    return reader.read;
}

OperatorFile read_operator_file(const std::string& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw Complaints({{file, 0, "", "cannot be read"}});
    return parse_operator_file(text.str(), file);
}

std::string explained(const Key& key) {
    return key.name + "\n  " + key.help + "\n  allowed: " + key.allowed() +
           (key.unit.empty() ? "" : ", in " + key.unit) + "\n  without it: " + key.usual + "\n";
}

std::string keys_page() {
    std::string page =
        "# Keys of the operator file\n\n"
        "Made by `dewweir explain --page`; the schema is in `src/operator/operator_file.cpp`. Do not "
        "edit.\n\n"
        "| key | allowed | unit | without it | what it does |\n| --- | --- | --- | --- | --- |\n";
    for (const Key& key : operator_keys())
        page += "| `" + key.name + "` | " + key.allowed() + " | " + key.unit + " | `" + key.usual + "` | " +
                key.help + " |\n";
    return page;
}

}  // namespace dewweir

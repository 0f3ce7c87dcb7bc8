#include "schema.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace dewweir {
namespace {

constexpr double a_second = 10000;

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

}  // namespace

std::optional<Time> time_of(const std::string& text) {
    double figure = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), figure);
    const std::string unit(end, text.data() + text.size());
    const double times = unit == "s" ? 1 : unit == "ms" ? 0.001 : unit == "min" ? 60 : 0;
    if (fault != std::errc() || !(figure >= 0 && figure < 1e6) || times == 0) return {};
    return std::llround(figure * times * a_second);
}

std::string Key::allowed() const {
    const std::string range = " from " + number_text(least) + " to " + number_text(most);
    switch (kind) {
        case Kind::whole: return "a whole number" + range;
        case Kind::part: return "a number" + range;
        case Kind::time: return "a time as 12s, 250ms or 5min," + range + " s";
        case Kind::choice: return "one of " + joined(choices);
        case Kind::text: return "a text";
        case Kind::texts: return "a list of texts";
    }
    return {};
}

struct SchemaReader {
    const std::string& file;
    std::vector<errors::FileProblem> complaints{};

    void complain(const toml::node& at, const std::string& key, const std::string& what) {
        complaints.push_back({file, static_cast<int>(at.source().begin.line), key, what});
    }

    // `lists`: what may stand in the table beside the keys, and is read elsewhere.
    Values read(const toml::table& table, const std::vector<Key>& keys, const Schema* lists) {
        Values values;
        values.keys_ = &keys;
        values.line_ = static_cast<int>(table.source().begin.line);
        walk(table, "", keys, lists, values);
        for (const Key& key : keys)
            if (key.must && !values.told(key.name))
                complain(table, key.name, "missing; it must be " + key.allowed());
        return values;
    }

    void walk(const toml::table& table, const std::string& path, const std::vector<Key>& keys,
              const Schema* lists, Values& values) {
        for (const auto& [name, node] : table) {
            const std::string key = (path.empty() ? "" : path + ".") + std::string(name.str());
            if (lists && lists->lists.contains(key)) continue;
            const auto found =
                std::find_if(keys.begin(), keys.end(), [&](const Key& k) { return k.name == key; });
            const bool inner = std::any_of(keys.begin(), keys.end(),
                                           [&](const Key& k) { return k.name.rfind(key + ".", 0) == 0; });
            if (inner && node.is_table()) walk(*node.as_table(), key, keys, lists, values);
            else if (inner) complain(node, key, "found " + shown(node) + "; it must be a table");
            else if (found != keys.end()) take(*found, node, values);
            else unknown(node, key, keys, lists);
        }
    }

    void unknown(const toml::node& node, const std::string& key, const std::vector<Key>& keys,
                 const Schema* lists) {
        std::vector<std::string> names;
        for (const Key& one : keys) names.push_back(one.name);
        if (lists)
            for (const auto& [name, ignored] : lists->lists) names.push_back(name);
        complain(node, key, "no such key" + errors::did_you_mean(key, names));
    }

    void take(const Key& key, const toml::node& node, Values& values) {
        Values::Told told{{}, {}, static_cast<int>(node.source().begin.line)};
        std::optional<double> figure;
        bool good = false;
        if (key.kind == Key::Kind::texts && node.is_array()) {
            good = true;
            for (const toml::node& one : *node.as_array()) {
                good &= one.is_string();
                if (one.is_string()) told.texts.push_back(one.as_string()->get());
            }
        } else if (key.kind == Key::Kind::whole && node.is_integer()) {
            figure = static_cast<double>(node.as_integer()->get());
        } else if (key.kind == Key::Kind::part && node.is_number()) {
            figure = node.value<double>();
        } else if (node.is_string()) {
            told.text = node.as_string()->get();
            if (key.kind == Key::Kind::text) good = true;
            if (key.kind == Key::Kind::choice)
                good = std::find(key.choices.begin(), key.choices.end(), told.text) != key.choices.end();
            if (key.kind == Key::Kind::time)
                if (const auto time = time_of(told.text)) figure = static_cast<double>(*time) / a_second;
        }
        if (figure) {
            good = *figure >= key.least && *figure <= key.most;
            if (key.kind != Key::Kind::time) told.text = number_text(*figure);
        }
        if (good) return values.told_.insert_or_assign(key.name, std::move(told)), void();
        const std::string near =
            key.kind == Key::Kind::choice ? errors::did_you_mean(told.text, key.choices) : "";
        complain(node, key.name, "found " + shown(node) + "; it must be " + key.allowed() + near);
    }
};

const Key& Values::key(const std::string& name) const {
    return *std::find_if(keys_->begin(), keys_->end(), [&](const Key& k) { return k.name == name; });
}
std::string Values::text(const std::string& name) const {
    const auto found = told_.find(name);
    return found == told_.end() ? key(name).usual : found->second.text;
}
double Values::number(const std::string& name) const { return std::strtod(text(name).c_str(), nullptr); }
Time Values::time(const std::string& name) const { return time_of(text(name)).value_or(0); }
std::vector<std::string> Values::texts(const std::string& name) const {
    const auto found = told_.find(name);
    return found == told_.end() ? std::vector<std::string>{} : found->second.texts;
}
int Values::line(const std::string& name) const {
    const auto found = told_.find(name);
    return found == told_.end() ? line_ : found->second.line;
}

Document parse_document(const std::string& text, const std::string& file, const Schema& schema,
                        std::vector<errors::FileProblem>& complaints) {
    SchemaReader reader{file};
    Document document;
    document.top.keys_ = &schema.keys;
    try {
        const toml::table table = toml::parse(text, file);
        document.top = reader.read(table, schema.keys, &schema);
        for (const auto& [name, keys] : schema.lists) {
            const toml::node* const node = table.get(name);
            if (!node) continue;
            const toml::array* const list = node->as_array();
            if (!list || !list->is_array_of_tables()) {
                reader.complain(*node, name, "it must be a list of tables, [[" + name + "]]");
                continue;
            }
            for (const toml::node& one : *list)
                document.lists[name].push_back(reader.read(*one.as_table(), keys, nullptr));
        }
    } catch (const toml::parse_error& fault) {
        reader.complaints.push_back(
            {file, static_cast<int>(fault.source().begin.line), "", std::string(fault.description())});
    }
    complaints.insert(complaints.end(), reader.complaints.begin(), reader.complaints.end());
    return document;
}

void throw_if_any(std::vector<errors::FileProblem> complaints) {
    if (complaints.empty()) return;
    std::stable_sort(
        complaints.begin(), complaints.end(),
        [](const errors::FileProblem& a, const errors::FileProblem& b) { return a.line < b.line; });
    throw errors::BadFile(std::move(complaints));
}

Document parse_document(const std::string& text, const std::string& file, const Schema& schema) {
    std::vector<errors::FileProblem> complaints;
    Document document = parse_document(text, file, schema, complaints);
    throw_if_any(std::move(complaints));
    return document;
}

std::string file_text(const std::string& file) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw errors::BadFile({{file, 0, "", "cannot be read"}});
    return text.str();
}

std::string explained(const Key& key) {
    return key.name + "\n  " + key.help + "\n  allowed: " + key.allowed() +
           (key.unit.empty() ? "" : ", in " + key.unit) + "\n  without it: " +
           (key.must            ? "the file is refused"
            : key.usual.empty() ? "none"
                                : key.usual) +
           "\n";
}

std::string keys_table(const std::vector<Key>& keys) {
    std::string page =
        "| key | allowed | unit | without it | what it does |\n| --- | --- | --- | --- | --- |\n";
    for (const Key& key : keys)
        page += "| `" + key.name + "` | " + key.allowed() + " | " + key.unit + " | " +
                (key.must ? "refused" : "`" + key.usual + "`") + " | " + key.help + " |\n";
    return page;
}

}  // namespace dewweir

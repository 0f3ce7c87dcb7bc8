#include "script.h"

#include <toml++/toml.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <optional>
#include <sstream>

namespace dewweir::rig {
namespace {

constexpr double a_second = 10000;

// `12s` or `250ms`; nothing where it is no such time.
std::optional<Time> time_of(const std::string& text) {
    double figure = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), figure);
    const std::string unit(end, text.data() + text.size());
    if (fault != std::errc() || !(figure >= 0 && figure < 1e6) || (unit != "s" && unit != "ms")) return {};
    return std::llround(figure * (unit == "s" ? a_second : a_second / 1000));
}

struct Reader {
    const std::string& file;
    const std::vector<std::string>& there;
    std::vector<Complaint> complaints{};

    void complain(const toml::node& at, const std::string& key, const std::string& what) {
        complaints.push_back({file, static_cast<int>(at.source().begin.line), key, what});
    }
    std::string text(const toml::table& table, const char* key) {
        const toml::node* const node = table.get(key);
        if (!node) return {};
        if (node->is_string()) return node->as_string()->get();
        complain(*node, key, "must be a text in quotes");
        return {};
    }
    Time time(const toml::table& table, const char* key, bool must) {
        const toml::node* const node = table.get(key);
        if (!node && must) complain(table, key, "missing");
        if (!node) return 0;
        const std::string said = text(table, key);
        if (const auto found = time_of(said)) return *found;
        if (node->is_string()) complain(*node, key, "found " + said + "; it must be a time as 12s or 250ms");
        return 0;
    }

    Trouble trouble(const toml::table& table) {
        static const std::vector<std::string> keys = {"at", "what", "whom", "for", "amount"};
        for (const auto& [name, node] : table)
            if (std::find(keys.begin(), keys.end(), name.str()) == keys.end())
                complain(node, std::string(name.str()),
                         "no such key" + did_you_mean(std::string(name.str()), keys));
        Trouble t;
        t.line = static_cast<int>(table.source().begin.line);
        t.at = time(table, "at", true);
        t.lasts = time(table, "for", false);
        t.what = text(table, "what");
        t.whom = text(table, "whom");
        std::vector<std::string> whats;
        const TroubleKind* kind = nullptr;
        const std::string sort = t.whom.substr(0, t.whom.find('-'));
        bool named = false;
        for (const TroubleKind& one : trouble_kinds()) {
            whats.push_back(one.what);
            named |= one.what == t.what;
            if (one.what == t.what && one.whom == sort) kind = &one;
        }
        if (!table.contains("what")) complain(table, "what", "missing");
        else if (!named && !t.what.empty())
            complain(*table.get("what"), "what", "no such trouble: " + t.what + did_you_mean(t.what, whats));
        if (!table.contains("whom")) complain(table, "whom", "missing");
        else if (!t.whom.empty() && std::find(there.begin(), there.end(), t.whom) == there.end())
            complain(*table.get("whom"), "whom", "names nobody: " + t.whom + did_you_mean(t.whom, there));
        else if (named && !kind && !t.whom.empty())
            complain(*table.get("whom"), "whom", t.what + " cannot befall " + t.whom);
        amount(table, kind, t);
        return t;
    }

    void amount(const toml::table& table, const TroubleKind* kind, Trouble& t) {
        const toml::node* const node = table.get("amount");
        if (!kind) return;
        if (!*kind->amount) {
            if (node) complain(*node, "amount", t.what + " takes none");
            return;
        }
        std::ostringstream range;
        range << "it must be " << kind->amount << ", from " << kind->least << " to " << kind->most;
        if (!node) return complain(table, "amount", "missing; " + range.str());
        const auto figure = node->value<double>();
        if (!figure || !(*figure >= kind->least && *figure <= kind->most))
            return complain(*node, "amount", "out of range; " + range.str());
        t.amount = *figure;
    }
};

}  // namespace

const std::vector<TroubleKind>& trouble_kinds() {
    static const std::vector<TroubleKind> kinds = {
        {"die", "host", "", 0, 0, "the process ends, connections are reset; back cold after `for`"},
        {"silent", "host", "", 0, 0, "takes what comes and says nothing"},
        {"drain", "host", "", 0, 0, "listed as terminating; in service again after `for`"},
        {"slow", "host", "times the work", 0.1, 1000, "every piece takes so much longer"},
        {"errors", "host", "a part of the pieces", 0, 1, "answered with 500"},
        {"spoil", "host", "a part of the pieces", 0, 1, "answered with noise"},
        {"mute", "host", "a part of the pieces", 0, 1, "never answered"},
        {"die", "counter", "", 0, 0, "connections are reset and refused; back with its numbers after `for`"},
        {"silent", "counter", "", 0, 0, "adds, and answers nothing"},
        {"slow", "counter", "times a call's turn", 0.1, 100000, "every call takes so much longer"},
        {"empty", "counter", "", 0, 0, "all names are gone at once"},
        {"spoil", "counter", "answers", 1, 1e6, "so many answers hold no number"},
        {"split", "counter", "parts", 1, 1024, "so many of its parts answer nothing"},
        {"die", "discovery", "", 0, 0, "connections are reset and refused; back after `for`"},
    };
    return kinds;
}

std::vector<Trouble> parse_script(const std::string& text, const std::string& file,
                                  const std::vector<std::string>& there) {
    Reader reader{file, there};
    std::vector<Trouble> script;
    try {
        const toml::table table = toml::parse(text, file);
        for (const auto& [name, node] : table) {
            const toml::array* const list = node.as_array();
            if (name.str() != "trouble" || !list || !list->is_array_of_tables()) {
                reader.complain(node, std::string(name.str()), "a script holds [[trouble]] and nothing else");
                continue;
            }
            for (const toml::node& one : *list) script.push_back(reader.trouble(*one.as_table()));
        }
    } catch (const toml::parse_error& fault) {
        reader.complaints.push_back(
            {file, static_cast<int>(fault.source().begin.line), "", std::string(fault.description())});
    }
    if (!reader.complaints.empty()) throw Complaints(reader.complaints);
    std::stable_sort(script.begin(), script.end(),
                     [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
    return script;
}

std::vector<Trouble> read_script(const std::string& file, const std::vector<std::string>& there) {
    std::ifstream in(file);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) throw Complaints({{file, 0, "", "cannot be read"}});
    return parse_script(text.str(), file, there);
}

}  // namespace dewweir::rig

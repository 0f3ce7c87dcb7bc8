#include "script.h"

#include <algorithm>
#include <map>
#include <sstream>

#include "operator/schema.h"

namespace dewweir::rig {
namespace {

using errors::did_you_mean;

const Schema& schema() {
    using Kind = Key::Kind;
    static const Schema all = {
        {},
        {{"trouble",
          {{"at", Kind::time, "", "", 0, 1e6, {}, "from the start of the load", true},
           {"what", Kind::text, "", "", 0, 0, {}, "the kind of trouble", true},
           {"whom",
            Kind::text,
            "",
            "",
            0,
            0,
            {},
            "whom it befalls: a name, a set, or a link as `A > B`",
            true},
           {"for", Kind::time, "", "0s", 0, 1e6, {}, "how long; left out: for good"},
           {"amount", Kind::part, "", "0", -1e12, 1e12, {}, "how much, where the kind takes one"},
           {"way", Kind::choice, "", "both", 0, 0, {"both", "there", "back"}, "of a link"},
           {"jitter", Kind::time, "", "0s", 0, 60, {}, "of a delay"}}},
         {"set",
          {{"name", Kind::text, "", "", 0, 0, {}, "what stands for all of them", true},
           {"members", Kind::texts, "", "", 0, 0, {}, "their names", true}}}}};
    return all;
}

const std::string arrow = " > ";

struct Reader {
    const std::string& file;
    const std::vector<std::string>& there;
    std::map<std::string, std::vector<std::string>> sets{};
    std::vector<errors::FileProblem> complaints{};

    void complain(const Values& at, const std::string& key, const std::string& what) {
        complaints.push_back({file, at.line(key), key, what});
    }

    // One end of a link, or a name by itself: itself, any with that beginning (`host-*`), or one of a set.
    bool meant(const std::string& pattern, const std::string& name) const {
        if (const auto set = sets.find(pattern); set != sets.end())
            return std::find(set->second.begin(), set->second.end(), name) != set->second.end();
        if (!pattern.empty() && pattern.back() == '*')
            return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
        return pattern == name;
    }
    std::vector<std::string> all_meant(const std::string& whom) const {
        std::vector<std::string> all;
        const std::size_t at = whom.find(arrow);
        for (const std::string& name : there) {
            const std::size_t split = name.find(arrow);
            if ((at == whom.npos) != (split == name.npos)) continue;
            if (at == whom.npos
                    ? meant(whom, name)
                    : meant(whom.substr(0, at), name.substr(0, split)) &&
                          meant(whom.substr(at + arrow.size()), name.substr(split + arrow.size())))
                all.push_back(name);
        }
        return all;
    }

    Trouble trouble(const Values& told) {
        Trouble t;
        t.line = told.line();
        t.at = told.time("at");
        t.lasts = told.time("for");
        t.what = told.text("what");
        t.whom = told.text("whom");
        t.jitter = told.time("jitter");
        t.way = told.text("way") == "there" ? Way::there : told.text("way") == "back" ? Way::back : Way::both;
        t.whoms = all_meant(t.whom);
        std::vector<std::string> whats;
        const TroubleKind* kind = nullptr;
        bool named = false;
        for (const TroubleKind& one : trouble_kinds()) {
            whats.push_back(one.what);
            named |= one.what == t.what;
            if (one.what == t.what && !t.whoms.empty() && one.whom == sort_of(t.whoms.front())) kind = &one;
        }
        if (told.told("what") && !named)
            complain(told, "what", "no such trouble: " + t.what + did_you_mean(t.what, whats));
        if (told.told("whom") && t.whoms.empty())
            complain(told, "whom", "names nobody: " + t.whom + did_you_mean(t.whom, there));
        else if (named && !kind && told.told("whom"))
            complain(told, "whom", t.what + " cannot befall " + t.whom);
        if (kind) fits(told, *kind, t);
        return t;
    }

    void fits(const Values& told, const TroubleKind& kind, Trouble& t) {
        for (const std::string& one : t.whoms)
            if (sort_of(one) != kind.whom)
                return complain(told, "whom", t.what + " cannot befall " + one + " and the others alike");
        if (told.told("way") && t.what != "silence") complain(told, "way", t.what + " takes none");
        if (told.told("jitter") && t.what != "delay") complain(told, "jitter", t.what + " takes none");
        if (t.what == "absent" && t.at > 0)
            complain(told, "at", "it must be 0s: who is there cannot be absent");
        if (!*kind.amount) {
            if (told.told("amount")) complain(told, "amount", t.what + " takes none");
            return;
        }
        std::ostringstream range;
        range << "it must be " << kind.amount << ", from " << kind.least << " to " << kind.most;
        t.amount = told.number("amount");
        if (!told.told("amount")) complain(told, "amount", "missing; " + range.str());
        else if (!(t.amount >= kind.least && t.amount <= kind.most))
            complain(told, "amount", "out of range; " + range.str());
    }

    void set(const Values& told) {
        for (const std::string& member : told.texts("members"))
            if (all_meant(member).empty())
                complain(told, "members", "names nobody: " + member + did_you_mean(member, there));
        sets[told.text("name")] = told.texts("members");
    }
};

}  // namespace

std::string sort_of(const std::string& name) {
    const std::size_t at = name.find(arrow);
    if (at == name.npos) return name.substr(0, name.find('-'));
    const bool both = name.rfind("gateway", 0) == 0 && name.compare(at + arrow.size(), 7, "gateway") == 0;
    return both ? "datagrams" : "link";
}

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
        {"slow", "discovery", "times a call's turn", 0.1, 100000, "every call takes so much longer"},
        {"anew", "discovery", "", 0, 0, "its revisions begin anew, as after the loss of what it kept"},
        {"kill", "gateway", "", 0, 0, "SIGKILL; started again after `for`"},
        {"end", "gateway", "", 0, 0, "SIGTERM; started again after `for`"},
        {"pause", "gateway", "", 0, 0, "SIGSTOP; goes on after `for`"},
        {"absent", "gateway", "", 0, 0, "from the start: it is not started before `for` has passed"},
        {"cut", "link", "", 0, 0, "connections are reset and refused"},
        {"silence", "link", "", 0, 0, "what is sent is held, who connects hears nothing; `way` for one way"},
        {"delay", "link", "ms", 0, 60000, "each way; up to `jitter` more by chance, in order"},
        {"throttle", "link", "bytes a second", 1, 1e9, "each way of each connection"},
        {"break", "link", "bytes", 0, 1e9, "each connection is reset once so many more have passed"},
        {"silence", "datagrams", "", 0, 0, "nothing passes; `way` for one way"},
        {"delay", "datagrams", "ms", 0, 60000, "each way; up to `jitter` more by chance"},
        {"lose", "datagrams", "a part of them", 0, 1, "never handed on"},
        {"double", "datagrams", "a part of them", 0, 1, "handed on twice"},
        {"reorder", "datagrams", "a part of them", 0, 1, "overtaken by those behind"},
    };
    return kinds;
}

std::vector<Trouble> parse_script(const std::string& text, const std::string& file,
                                  const std::vector<std::string>& there) {
    Reader reader{file, there};
    const Document document = parse_document(text, file, schema(), reader.complaints);
    const auto list = [&](const char* name) {
        const auto found = document.lists.find(name);
        return found == document.lists.end() ? std::vector<Values>{} : found->second;
    };
    for (const Values& one : list("set")) reader.set(one);
    std::vector<Trouble> script;
    for (const Values& one : list("trouble")) script.push_back(reader.trouble(one));
    throw_if_any(std::move(reader.complaints));
    std::stable_sort(script.begin(), script.end(),
                     [](const Trouble& a, const Trouble& b) { return a.at < b.at; });
    return script;
}

std::vector<Trouble> read_script(const std::string& file, const std::vector<std::string>& there) {
    return parse_script(file_text(file), file, there);
}

}  // namespace dewweir::rig

// Fault scripts: what goes wrong when, with whom and for how long, in TOML. Owns the list of what a script
// may name; it must never play anything itself.
#pragma once

#include <string>
#include <vector>

#include "dewweir/decisions.h"
#include "errors/bad_file.h"

namespace dewweir::rig {

// Which way of a link: from the end named first, back to it, or both.
enum class Way { both, there, back };

struct Trouble {
    Time at = 0, lasts = 0;  // from the start; `lasts` 0: for good
    std::string what, whom;
    std::vector<std::string> whoms;  // each that is meant: a link's pattern or a set may be many
    double amount = 0;
    Way way = Way::both;
    Time jitter = 0;
    int line = 0;
};

// One kind of trouble: whom it can befall, and what its amount is.
struct TroubleKind {
    const char* what;
    const char* whom;    // host, counter, discovery, gateway, link (of streams) or datagrams
    const char* amount;  // empty: it takes none
    double least, most;
    const char* help;
};
const std::vector<TroubleKind>& trouble_kinds();

// `there`: all that can be named, as `host-1`, `counter`, and links as `gateway-1 > counter`. In order of
// time. Throws errors::BadFile.
std::vector<Trouble> parse_script(const std::string& text, const std::string& file,
                                  const std::vector<std::string>& there);
std::vector<Trouble> read_script(const std::string& file, const std::vector<std::string>& there);

// What a name of `there` is: the word before its number, `link`, or `datagrams` between two gateways.
std::string sort_of(const std::string& name);

}  // namespace dewweir::rig

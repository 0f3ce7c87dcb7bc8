// Fault scripts: what goes wrong when, with whom and for how long, in TOML. Owns the list of what a script
// may name; it must never play anything itself.
#pragma once

#include <string>
#include <vector>

#include "dewweir/choice.h"
#include "operator/complaint.h"

namespace dewweir::rig {

struct Trouble {
    Time at = 0, lasts = 0;  // from the start; `lasts` 0: for good
    std::string what, whom;
    double amount = 0;
    int line = 0;
};

// One kind of trouble: whom it can befall, and what its amount is.
struct TroubleKind {
    const char* what;
    const char* whom;    // host, counter or discovery
    const char* amount;  // empty: it takes none
    double least, most;
    const char* help;
};
const std::vector<TroubleKind>& trouble_kinds();

// `there`: all that can be named, as `host-1`, `counter`, `discovery`. In order of time. Throws Complaints.
std::vector<Trouble> parse_script(const std::string& text, const std::string& file,
                                  const std::vector<std::string>& there);
std::vector<Trouble> read_script(const std::string& file, const std::vector<std::string>& there);

}  // namespace dewweir::rig

#include "decided.h"

namespace dewweir {

const char* word_for(Decision decision) {
    static constexpr std::array<const char*, std::tuple_size_v<DecisionCounts>> words = {
        "counted in",  "counted over", "share in",      "share over",   "over already", "long line",
        "late",        "to warm",      "to cold",       "trial pieces", "delivered",    "errors",
        "turned away", "timed out",    "not connected", "broken off",   "called off",   "not sent"};
    return words[static_cast<std::size_t>(decision)];
}

std::string decided_line(const DecisionCounts& often) {
    std::string line;
    for (std::size_t n = 0; n < often.size(); ++n)
        if (often[n])
            line.append(line.empty() ? "decided: " : ", ").append(word_for(static_cast<Decision>(n))) +=
                ' ' + std::to_string(often[n]);
    return line;
}

}  // namespace dewweir

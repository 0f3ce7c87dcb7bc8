#include "decided.h"

namespace dewweir {

const char* log_name(Decision decision) {
    static constexpr std::array<const char*, std::tuple_size_v<DecisionCounts>> names = {
        "counted in",  "counted over", "share in",      "share over",   "over already", "long line",
        "late",        "to warm",      "to cold",       "trial pieces", "delivered",    "errors",
        "turned away", "timed out",    "not connected", "broken off",   "called off",   "not sent"};
    return names[static_cast<std::size_t>(decision)];
}

std::string decided_line(const DecisionCounts& counts) {
    std::string line;
    for (std::size_t n = 0; n < counts.size(); ++n)
        if (counts[n])
            line.append(line.empty() ? "decided: " : ", ").append(log_name(static_cast<Decision>(n))) +=
                ' ' + std::to_string(counts[n]);
    return line;
}

}  // namespace dewweir

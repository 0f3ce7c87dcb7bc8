// What differs between two configurations, by place. Objects in lists are matched by their `name` or
// `backend`, whatever their order. It never shows API keys. Pure.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dewweir::program {

enum class DifferenceKind { added, removed, changed };

struct Difference {
    DifferenceKind kind = DifferenceKind::changed;
    std::string path;    // as routes/read/deadline
    std::string before;  // JSON; empty for whole objects and lists that were added or removed
    std::string after;

    bool operator==(const Difference&) const = default;
};

std::string_view to_string(DifferenceKind kind);

// Nothing where one of the texts is no JSON.
std::optional<std::vector<Difference>> compare_configurations(const std::string& before,
                                                              const std::string& after);

}  // namespace dewweir::program

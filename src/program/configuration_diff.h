// Compares two configurations field by field. Objects in lists are matched by their `name` or `backend`,
// regardless of their order. API keys never appear in the result. Pure functions.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dewweir::program {

enum class DifferenceKind { added, removed, changed };

// A field that differs, or was added or removed.
struct Difference {
    DifferenceKind kind = DifferenceKind::changed;
    std::string path;    // like routes/read/deadline
    std::string before;  // value as JSON, or a count of entries or keys; empty for objects and where absent
    std::string after;

    bool operator==(const Difference&) const = default;
};

std::string_view to_string(DifferenceKind kind);

// All differences from `before` to `after`; nothing if one of the texts is not JSON.
std::optional<std::vector<Difference>> compare_configurations(const std::string& before,
                                                              const std::string& after);

}  // namespace dewweir::program

#include "bad_file.h"

#include <algorithm>
#include <numeric>

namespace dewweir::errors {
namespace {

// Levenshtein distance.
std::size_t edit_distance(const std::string& a, const std::string& b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t corner = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t changed = corner + (a[i - 1] != b[j - 1]);
            corner = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, changed});
        }
    }
    return row[b.size()];
}

}  // namespace

std::string did_you_mean(const std::string& name, const std::vector<std::string>& known) {
    const std::string* best = nullptr;
    std::size_t least = std::max<std::size_t>(2, name.size() / 3) + 1;
    for (const std::string& one : known)
        if (const std::size_t far = edit_distance(name, one); far < least) {
            least = far;
            best = &one;
        }
    return best ? "; did you mean " + *best + "?" : "";
}

}  // namespace dewweir::errors

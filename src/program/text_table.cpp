#include "program/text_table.h"

#include <algorithm>

namespace dewweir::program {
namespace {

constexpr std::size_t column_gap = 2;  // spaces

std::string cell_text(const std::string& cell) { return cell.empty() ? "-" : cell; }

}  // namespace

std::vector<std::size_t> TextTable::widths() const {
    std::vector<std::size_t> widths;
    for (const std::vector<std::string>& row : rows_) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], cell_text(row[column]).size());
        }
    }
    return widths;
}

std::string TextTable::text() const {
    const std::vector<std::size_t> width = widths();
    std::string text;
    for (const std::vector<std::string>& row : rows_) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += cell_text(row[column]);
            if (column + 1 == row.size()) break;
            line.append(width[column] - cell_text(row[column]).size() + column_gap, ' ');
        }
        text += line + "\n";
    }
    return text;
}

}  // namespace dewweir::program

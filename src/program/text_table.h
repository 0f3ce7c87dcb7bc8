// Text table with left-aligned columns, for the terminal.
#pragma once

#include <string>
#include <vector>

namespace dewweir::program {

class TextTable {
  public:
    explicit TextTable(std::vector<std::string> header) : rows_{std::move(header)} {}

    // Appends a row. An empty cell is printed as "-".
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    // The table, the header first, one line a row.
    std::string text() const;

  private:
    std::vector<std::size_t> widths() const;

    std::vector<std::vector<std::string>> rows_;
};

}  // namespace dewweir::program

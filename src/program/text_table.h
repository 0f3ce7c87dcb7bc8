// A table of text with aligned columns, for people. Pure.
#pragma once

#include <string>
#include <vector>

namespace dewweir::program {

class TextTable {
  public:
    explicit TextTable(std::vector<std::string> header) : rows_{std::move(header)} {}

    // An empty cell is shown as "-".
    void add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
    std::string text() const;

  private:
    std::vector<std::size_t> widths() const;

    std::vector<std::vector<std::string>> rows_;
};

}  // namespace dewweir::program

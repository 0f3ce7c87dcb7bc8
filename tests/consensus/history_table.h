// Totals over many histories, per group size, written as JSON for results/.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "consensus/history.h"

namespace dewweir::consensus::testing {

class HistoryTable {
  public:
    void add(const HistoryResult& result);
    // Throws std::runtime_error if the file cannot be written.
    void write(const std::string& path, const std::string& command) const;

  private:
    struct Row {
        std::size_t histories = 0;
        std::size_t with_violations = 0;
        std::size_t not_recovered = 0;
        std::size_t faults = 0;
        std::size_t lost_disks = 0;
        std::size_t planned_leaves = 0;
        std::size_t changes = 0;
        std::size_t reads = 0;
        std::size_t committed = 0;
        milliseconds longest_recovery{0};
    };

    std::map<std::size_t, Row> rows_by_machines_;
};

}  // namespace dewweir::consensus::testing

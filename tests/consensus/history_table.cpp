#include "consensus/history_table.h"

#include <algorithm>
#include <fstream>
#include <stdexcept>

namespace dewweir::consensus::testing {

void HistoryTable::add(const HistoryResult& result) {
    Row& row = rows_by_machines_[result.machines];
    ++row.histories;
    if (!result.violations.empty()) ++row.with_violations;
    if (!result.recovered) ++row.not_recovered;
    row.faults += result.faults;
    row.lost_disks += result.lost_disks;
    row.planned_leaves += result.planned_leaves;
    row.changes += result.changes;
    row.reads += result.reads;
    row.committed += result.committed;
    row.longest_recovery = std::max(row.longest_recovery, result.recovery);
}

void HistoryTable::write(const std::string& path, const std::string& command) const {
    std::ofstream file(path);
    file << "{\n \"what\": \"random histories of a group in virtual time, seeds from 0\",\n";
    file << " \"command\": \"" << command << "\",\n \"rows\": [";
    const char* separator = "\n";
    for (const auto& [machines, row] : rows_by_machines_) {
        file << separator << "  {\"machines\": " << machines;
        file << ", \"histories\": " << row.histories;
        file << ", \"with_violations\": " << row.with_violations;
        file << ", \"not_recovered\": " << row.not_recovered;
        file << ", \"longest_recovery_ms\": " << row.longest_recovery.count();
        file << ", \"faults\": " << row.faults;
        file << ", \"lost_disks\": " << row.lost_disks;
        file << ", \"left_as_planned\": " << row.planned_leaves;
        file << ", \"changes_acknowledged\": " << row.changes;
        file << ", \"reads_answered\": " << row.reads;
        file << ", \"entries_committed\": " << row.committed << "}";
        separator = ",\n";
    }
    file << "\n ]\n}\n";
    file.close();
    if (!file) throw std::runtime_error("cannot write " + path);
}

}  // namespace dewweir::consensus::testing

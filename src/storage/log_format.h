// Reads LevelDB's log format, which its manifest uses as well: blocks of 32 KiB; physical records that never
// cross a block, each with a masked CRC-32C of its type and payload. Source: LevelDB's doc/log_format.md.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dewweir::storage {

// Offsets are in bytes from the start of the log.
struct LogContent {
    std::vector<std::string> records;  // the valid records before the first incomplete or corrupt one
    std::size_t end = 0;               // end of the last valid record
    std::size_t next = 0;              // start of the record after it
};

LogContent read_log(std::string_view bytes);

// Whether a valid record follows the first invalid one. A power loss cannot cause this, since each record is
// synced before the next one is written: a record that had been synced is corrupt.
bool has_corrupt_record(std::string_view bytes, const LogContent& content);

}  // namespace dewweir::storage

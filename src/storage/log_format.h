// LevelDB's log format, of which a manifest is one: blocks of 32 KiB with records that never cross a block,
// each with a masked CRC-32C of its type and payload. Source: LevelDB's doc/log_format.md.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace dewweir::storage {

struct LogContent {
    std::vector<std::string> records;  // whole ones, up to the first that is not
    std::size_t end = 0;               // where the last of them ends
};

LogContent read_log(std::string_view bytes);

// Whether a whole record, or the first part of one, begins anywhere from `offset` on.
bool record_begins_after(std::string_view bytes, std::size_t offset);

}  // namespace dewweir::storage

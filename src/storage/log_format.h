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
    std::size_t next = 0;              // where the one after it begins
};

LogContent read_log(std::string_view bytes);

// Whether a record that is not whole is followed by another. A loss of power leaves none such, since each
// record is synced before the next one is written: something that was synced has been altered.
bool altered_within(std::string_view bytes, const LogContent& content);

}  // namespace dewweir::storage

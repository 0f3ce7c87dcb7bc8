#include "storage/log_format.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace dewweir::storage {

namespace {

constexpr std::size_t block_bytes = 32768;
constexpr std::size_t header_bytes = 7;  // checksum (4 bytes), length (2), type (1)
constexpr std::size_t length_at = 4;
constexpr std::size_t type_at = 6;
constexpr std::uint32_t polynomial = 0x82f63b78;  // of CRC-32C, bit-reversed
constexpr std::uint32_t mask_delta = 0xa282ead8;  // LevelDB stores masked checksums

// A record is stored in one physical record (full), or in several: first, any number of middle, last.
enum class RecordType : std::uint8_t { full = 1, first = 2, middle = 3, last = 4 };

struct PhysicalRecord {
    RecordType type = RecordType::full;
    std::string_view payload;
    std::size_t end = 0;  // offset in the log
};

constexpr std::array<std::uint32_t, 256> make_crc_table() {
    std::array<std::uint32_t, 256> table{};
    for (std::uint32_t byte = 0; byte < table.size(); ++byte) {
        std::uint32_t crc = byte;
        for (int bit = 0; bit < 8; ++bit) crc = (crc >> 1) ^ ((crc & 1) != 0 ? polynomial : 0);
        table[byte] = crc;
    }
    return table;
}

constexpr std::array<std::uint32_t, 256> crc_table = make_crc_table();

std::uint32_t crc32c(std::string_view bytes) {
    std::uint32_t crc = 0xffffffff;
    for (const char byte : bytes)
        crc = (crc >> 8) ^ crc_table[(crc ^ static_cast<std::uint8_t>(byte)) & 0xff];
    return ~crc;
}

std::uint32_t masked(std::uint32_t crc) { return ((crc >> 15) | (crc << 17)) + mask_delta; }

std::uint32_t number_at(std::string_view bytes, std::size_t offset, std::size_t size) {
    std::uint32_t number = 0;
    for (std::size_t i = size; i > 0; --i)
        number = (number << 8) | static_cast<std::uint8_t>(bytes[offset + i - 1]);
    return number;
}

// The physical record at `offset`; none if it is incomplete or corrupt.
std::optional<PhysicalRecord> record_at(std::string_view bytes, std::size_t offset) {
    const std::size_t block_end = std::min(bytes.size(), (offset / block_bytes + 1) * block_bytes);
    if (offset + header_bytes > block_end) return std::nullopt;
    const std::size_t length = number_at(bytes, offset + length_at, 2);
    const std::size_t end = offset + header_bytes + length;
    const auto type = static_cast<RecordType>(bytes[offset + type_at]);
    if (end > block_end) return std::nullopt;
    if (type < RecordType::full || type > RecordType::last) return std::nullopt;
    const bool continued = type == RecordType::first || type == RecordType::middle;
    if (continued && end % block_bytes != 0) return std::nullopt;  // it would have filled its block
    const std::string_view checked = bytes.substr(offset + type_at, 1 + length);
    if (masked(crc32c(checked)) != number_at(bytes, offset, length_at)) return std::nullopt;
    return PhysicalRecord{type, checked.substr(1), end};
}

bool begins(RecordType type) { return type == RecordType::full || type == RecordType::first; }

bool has_first_type(std::string_view bytes, std::size_t offset) {
    return offset + type_at < bytes.size() && begins(static_cast<RecordType>(bytes[offset + type_at]));
}

bool ends(const PhysicalRecord& record) {
    return record.type == RecordType::full || record.type == RecordType::last;
}

// The end of a block is padding if it has too few bytes for a header.
std::size_t skip_trailer(std::size_t offset) {
    const std::size_t left = block_bytes - offset % block_bytes;
    return left < header_bytes ? offset + left : offset;
}

}  // namespace

LogContent read_log(std::string_view bytes) {
    LogContent content;
    std::string parts;
    bool within = false;
    std::size_t offset = 0;
    while (const auto record = record_at(bytes, offset)) {
        if (begins(record->type) == within) break;  // a physical record is missing
        parts += record->payload;
        within = !ends(*record);
        offset = skip_trailer(record->end);
        if (within) continue;
        content.records.push_back(std::move(parts));
        content.end = record->end;
        content.next = offset;
        parts.clear();
    }
    return content;
}

bool has_corrupt_record(std::string_view bytes, const LogContent& content) {
    // Looks for the start of a record at any offset behind the start of the invalid one.
    for (std::size_t offset = content.next + 1; offset < bytes.size(); ++offset) {
        if (!has_first_type(bytes, offset)) continue;
        if (record_at(bytes, offset)) return true;
    }
    return false;
}

}  // namespace dewweir::storage

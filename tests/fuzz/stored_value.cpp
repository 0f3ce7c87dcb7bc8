// Any bytes as a value of a replica's store: what is read can be written and read again.
#include "fuzz/fuzz.h"
#include "storage/values.h"

using namespace dewweir;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes = fuzz::text_of(data, size);
    if (const auto entry = storage::decode_entry(bytes)) {
        fuzz::must_hold(storage::decode_entry(storage::encode(*entry)) == entry);
    }
    if (const auto state = storage::decode_hard_state(bytes)) {
        fuzz::must_hold(storage::decode_hard_state(storage::encode(*state)) == state);
    }
    if (const auto replica = storage::decode_replica(bytes)) {
        fuzz::must_hold(storage::decode_replica(storage::encode(*replica)) == replica);
    }
    if (const auto header = storage::decode_snapshot_header(bytes)) {
        fuzz::must_hold(storage::decode_snapshot_header(storage::encode(*header)).has_value());
    }
    (void)storage::unframe_value("key", bytes);
    return 0;
}

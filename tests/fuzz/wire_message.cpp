// Any bytes as a message, also between replicas: what is read can be written and read again, and then gives
// the same bytes.
#include "fuzz/fuzz.h"
#include "wire/codec.h"

using namespace dewweir;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::optional<wire::Message> message = wire::decode(fuzz::text_of(data, size));
    if (!message) return 0;
    if (const auto* const wrapped = std::get_if<wire::ConsensusMessage>(&*message)) {
        const auto envelope = wire::unwrap(*wrapped);
        if (envelope) fuzz::must_hold(wire::unwrap(wire::wrap(*envelope)).has_value());
    }
    const std::string written = wire::encode(*message);
    const std::optional<wire::Message> again = wire::decode(written);
    fuzz::must_hold(again.has_value());
    fuzz::must_hold(wire::encode(*again) == written);
    return 0;
}

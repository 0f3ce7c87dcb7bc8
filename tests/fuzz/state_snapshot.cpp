// Any bytes as a snapshot of the replicated state, and as a command: what is taken gives a snapshot that is
// taken too.
#include "control/state_machine.h"
#include "fuzz/fuzz.h"

using namespace dewweir;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes = fuzz::text_of(data, size);
    control::StateMachine machine;
    if (machine.restore(bytes)) {
        control::StateMachine again;
        fuzz::must_hold(again.restore(machine.snapshot()));
        fuzz::must_hold(again.snapshot() == machine.snapshot());
    }
    const std::optional<control::Command> command = control::decode_command(bytes);
    if (!command) return 0;
    machine.apply(1, *command);
    fuzz::must_hold(control::decode_command(control::encode_command(*command)).has_value());
    return 0;
}

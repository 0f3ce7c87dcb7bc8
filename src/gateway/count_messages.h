// Converts quota count statements and answers between the types of the quota package and their wire format.
// Owns the validation of received messages: a value that no correct gateway sends is rejected before it
// reaches a count. Performs no I/O.
#pragma once

#include <optional>
#include <variant>

#include "quota/count_holder.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// Largest count that is accepted for one window, in requests; far above what a gateway can serve.
constexpr double max_count = 1e9;

// Why a received message is rejected.
enum class CountError : std::uint8_t {
    not_finite,             // a count is NaN or infinite
    out_of_range,           // a count is below 0 or above max_count
    window_out_of_range,    // shorter than quota::shortest_window or longer than quota::longest_window
    elapsed_beyond_window,  // the elapsed time is longer than the window
};

using StatementResult = std::variant<quota::Statement, CountError>;

// `wants_answer`: whether the holder is asked for an answer.
wire::CountStatement to_wire(const quota::Statement& statement, bool wants_answer);
StatementResult from_wire(const wire::CountStatement& message);

// The holder's answer to `statement`.
wire::CountAnswer to_wire(const quota::Statement& statement, const quota::HeldCount& held);

// Returns why the answer of a holder must be rejected; nothing for a valid one.
std::optional<CountError> validate(const wire::CountAnswer& answer);
// Requires an answer that `validate` accepts.
quota::HeldCount from_wire(const wire::CountAnswer& answer);

}  // namespace dewweir::gateway

// Between a count's statement as the quota package knows it and as it goes over the network. Owns the checks
// of what arrives: a value no honest gateway would send is refused before it reaches a count. Pure.
#pragma once

#include <optional>
#include <variant>

#include "quota/count_holder.h"
#include "wire/messages.h"

namespace dewweir::gateway {

// Requests in one window; more than this nobody counts.
constexpr double most_counted = 1e9;

enum class CountFault : std::uint8_t {
    not_finite,             // NaN or an infinity
    out_of_range,           // a count below 0 or above most_counted
    window_out_of_range,    // shorter than quota::shortest_window or longer than quota::longest_window
    elapsed_beyond_window,  // more of the window has passed than it has
};

using StatementResult = std::variant<quota::Statement, CountFault>;

// `answer`: whether the holder's answer is wanted.
wire::CountStatement to_wire(const quota::Statement& statement, bool answer);
StatementResult from_wire(const wire::CountStatement& message);

// The holder's answer to `statement`.
wire::CountAnswer to_wire(const quota::Statement& statement, const quota::HeldCount& held);

// Why the answer of a holder can't be believed; nothing for a sound one.
std::optional<CountFault> fault_of(const wire::CountAnswer& answer);
// Of an answer without fault.
quota::HeldCount from_wire(const wire::CountAnswer& answer);

}  // namespace dewweir::gateway

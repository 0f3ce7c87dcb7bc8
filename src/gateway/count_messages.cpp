#include "gateway/count_messages.h"

#include <cmath>

#include "quota/window_check.h"

namespace dewweir::gateway {
namespace {

std::optional<CountError> validate_count(double count) {
    if (!std::isfinite(count)) return CountError::not_finite;
    if (count < 0 || count > max_count) return CountError::out_of_range;
    return std::nullopt;
}

std::optional<CountError> validate(const wire::CountStatement& message) {
    const std::chrono::milliseconds window(message.window_ms);
    if (window < quota::shortest_window || window > quota::longest_window)
        return CountError::window_out_of_range;
    if (message.elapsed_ms > message.window_ms) return CountError::elapsed_beyond_window;
    if (const auto error = validate_count(message.current)) return error;
    return validate_count(message.previous);
}

}  // namespace

wire::CountStatement to_wire(const quota::Statement& statement, bool wants_answer) {
    wire::CountStatement message;
    message.tenant = statement.tenant;
    message.gateway = statement.gateway;
    message.sequence = statement.sequence;
    message.window_ms = static_cast<std::uint32_t>(statement.window.count());
    message.elapsed_ms = static_cast<std::uint32_t>(statement.elapsed.count());
    message.current = statement.current;
    message.previous = statement.previous;
    message.answer = wants_answer;
    return message;
}

StatementResult from_wire(const wire::CountStatement& message) {
    if (const auto error = validate(message)) return *error;
    quota::Statement statement;
    statement.tenant = message.tenant;
    statement.gateway = message.gateway;
    statement.sequence = message.sequence;
    statement.window = std::chrono::milliseconds(message.window_ms);
    statement.elapsed = std::chrono::milliseconds(message.elapsed_ms);
    statement.current = message.current;
    statement.previous = message.previous;
    return statement;
}

wire::CountAnswer to_wire(const quota::Statement& statement, const quota::HeldCount& held) {
    wire::CountAnswer answer;
    answer.tenant = statement.tenant;
    answer.gateway = statement.gateway;
    answer.sequence = statement.sequence;
    answer.others = held.others;
    if (held.elapsed) answer.elapsed_ms = static_cast<std::uint32_t>(held.elapsed->count());
    return answer;
}

std::optional<CountError> validate(const wire::CountAnswer& answer) {
    const bool known = answer.elapsed_ms != wire::unknown_elapsed_ms;
    const bool beyond = std::chrono::milliseconds(answer.elapsed_ms) > quota::longest_window;
    if (known && beyond) return CountError::elapsed_beyond_window;
    return validate_count(answer.others);
}

quota::HeldCount from_wire(const wire::CountAnswer& answer) {
    quota::HeldCount held{answer.others, std::nullopt};
    if (answer.elapsed_ms != wire::unknown_elapsed_ms)
        held.elapsed = std::chrono::milliseconds(answer.elapsed_ms);
    return held;
}

}  // namespace dewweir::gateway

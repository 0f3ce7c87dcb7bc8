// Validation of received count statements and answers: valid ones are read, others rejected with the reason.
#include "gateway/count_messages.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

wire::CountStatement valid_statement() {
    wire::CountStatement message;
    message.tenant = 7;
    message.gateway = 11;
    message.sequence = 3;
    message.window_ms = 1'450;
    message.elapsed_ms = 1'450;  // both were rounded down to whole milliseconds
    message.current = 12.5;
    message.previous = 40;
    return message;
}

void check_rejected(const wire::CountStatement& message, CountError expected) {
    const StatementResult parsed = from_wire(message);
    REQUIRE(std::holds_alternative<CountError>(parsed));
    CHECK(std::get<CountError>(parsed) == expected);
}

struct BadCount {
    double value;
    CountError error;
};

const BadCount bad_counts[] = {
    {std::numeric_limits<double>::quiet_NaN(), CountError::not_finite},
    {std::numeric_limits<double>::infinity(), CountError::not_finite},
    {-std::numeric_limits<double>::infinity(), CountError::not_finite},
    {-0.5, CountError::out_of_range},
    {max_count * 1.01, CountError::out_of_range},
};

}  // namespace

TEST_CASE("a statement is unchanged by conversion to its wire format and back") {
    const StatementResult parsed = from_wire(valid_statement());
    REQUIRE(std::holds_alternative<quota::Statement>(parsed));
    const wire::CountStatement again = to_wire(std::get<quota::Statement>(parsed), true);
    CHECK(again.tenant == 7);
    CHECK(again.gateway == 11);
    CHECK(again.sequence == 3);
    CHECK(again.window_ms == 1'450);
    CHECK(again.elapsed_ms == 1'450);
    CHECK(again.current == 12.5);
    CHECK(again.previous == 40);
}

TEST_CASE("invalid counts are rejected in statements and answers") {
    for (const BadCount& bad : bad_counts) {
        wire::CountStatement message = valid_statement();
        message.current = bad.value;
        check_rejected(message, bad.error);
        message = valid_statement();
        message.previous = bad.value;
        check_rejected(message, bad.error);
        CHECK(validate(wire::CountAnswer{7, 11, 3, bad.value, 0}) == bad.error);
    }
    CHECK_FALSE(validate(wire::CountAnswer{7, 11, 3, 0, 5'000}));
    CHECK_FALSE(from_wire(wire::CountAnswer{7, 11, 3, 0, wire::unknown_elapsed_ms}).elapsed);
    CHECK(from_wire(wire::CountAnswer{7, 11, 3, 0, 17}).elapsed == std::chrono::milliseconds(17));
    CHECK_FALSE(validate(wire::CountAnswer{}));
    CHECK(validate(wire::CountAnswer{7, 11, 3, 0, 5'001}) == CountError::elapsed_beyond_window);
}

TEST_CASE("a window that no quota has, or an elapsed time beyond the window, is rejected") {
    wire::CountStatement message = valid_statement();
    message.elapsed_ms = message.window_ms + 1;
    check_rejected(message, CountError::elapsed_beyond_window);
    message = valid_statement();
    message.window_ms = 499;
    message.elapsed_ms = 0;
    check_rejected(message, CountError::window_out_of_range);
    message.window_ms = std::numeric_limits<std::uint32_t>::max();
    check_rejected(message, CountError::window_out_of_range);
}

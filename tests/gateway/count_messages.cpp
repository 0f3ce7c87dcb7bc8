// Statements and answers of counts as they arrive: honest ones are read, others refused with the reason.
#include "gateway/count_messages.h"

#include <catch2/catch.hpp>
#include <limits>

using namespace dewweir;
using namespace dewweir::gateway;

namespace {

wire::CountStatement honest() {
    wire::CountStatement message;
    message.tenant = 7;
    message.gateway = 11;
    message.sequence = 3;
    message.window_ms = 1'450;
    message.elapsed_ms = 1'450;  // both cut down to whole milliseconds
    message.current = 12.5;
    message.previous = 40;
    return message;
}

void check_refused(const wire::CountStatement& message, CountFault expected) {
    const StatementResult read = from_wire(message);
    REQUIRE(std::holds_alternative<CountFault>(read));
    CHECK(std::get<CountFault>(read) == expected);
}

struct BadCount {
    double value;
    CountFault fault;
};

const BadCount bad_counts[] = {
    {std::numeric_limits<double>::quiet_NaN(), CountFault::not_finite},
    {std::numeric_limits<double>::infinity(), CountFault::not_finite},
    {-std::numeric_limits<double>::infinity(), CountFault::not_finite},
    {-0.5, CountFault::out_of_range},
    {most_counted * 1.01, CountFault::out_of_range},
};

}  // namespace

TEST_CASE("a statement comes back from the wire as it was sent") {
    const StatementResult read = from_wire(honest());
    REQUIRE(std::holds_alternative<quota::Statement>(read));
    const wire::CountStatement again = to_wire(std::get<quota::Statement>(read), true);
    CHECK(again.tenant == 7);
    CHECK(again.gateway == 11);
    CHECK(again.sequence == 3);
    CHECK(again.window_ms == 1'450);
    CHECK(again.elapsed_ms == 1'450);
    CHECK(again.current == 12.5);
    CHECK(again.previous == 40);
}

TEST_CASE("counts that are no counts are refused in statements and answers") {
    for (const BadCount& bad : bad_counts) {
        wire::CountStatement message = honest();
        message.current = bad.value;
        check_refused(message, bad.fault);
        message = honest();
        message.previous = bad.value;
        check_refused(message, bad.fault);
        CHECK(fault_of(wire::CountAnswer{7, 11, 3, bad.value, 0}) == bad.fault);
    }
    CHECK_FALSE(fault_of(wire::CountAnswer{7, 11, 3, 0, 5'000}));
    CHECK_FALSE(from_wire(wire::CountAnswer{7, 11, 3, 0, wire::unknown_elapsed_ms}).elapsed);
    CHECK(from_wire(wire::CountAnswer{7, 11, 3, 0, 17}).elapsed == std::chrono::milliseconds(17));
    CHECK_FALSE(fault_of(wire::CountAnswer{}));
    CHECK(fault_of(wire::CountAnswer{7, 11, 3, 0, 5'001}) == CountFault::elapsed_beyond_window);
}

TEST_CASE("a window that no quota has, or more elapsed than the window, is refused") {
    wire::CountStatement message = honest();
    message.elapsed_ms = message.window_ms + 1;
    check_refused(message, CountFault::elapsed_beyond_window);
    message = honest();
    message.window_ms = 499;
    message.elapsed_ms = 0;
    check_refused(message, CountFault::window_out_of_range);
    message.window_ms = std::numeric_limits<std::uint32_t>::max();
    check_refused(message, CountFault::window_out_of_range);
}

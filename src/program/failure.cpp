#include "program/failure.h"

#include "program/json_text.h"

namespace dewweir::program {

std::string describe_failure(const Failure& failure, bool as_json) {
    const std::string advice = failure.advice.empty() ? std::string(advice_of(failure.code)) : failure.advice;
    if (!as_json) return "dewweir: " + failure.reason + "\n  what to do: " + advice + "\n";
    JsonText json;
    json.begin_object();
    json.text("error", failure.reason);
    json.text("advice", advice);
    json.number("exit_code", static_cast<std::uint64_t>(number_of(failure.code)));
    json.end_object();
    return json.line();
}

}  // namespace dewweir::program

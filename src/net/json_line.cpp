#include "json_line.h"

#include <nlohmann/json.hpp>

namespace dewweir::net {

std::string json_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields fields) {
    nlohmann::json all = {
        {"time", static_cast<double>(unix_ms) / 1000}, {"level", name_of(kind.level)}, {"event", kind.name}};
    for (const Field& field : fields)
        std::visit(
            [&](const auto& value) {
                if constexpr (std::is_pointer_v<std::decay_t<decltype(value)>>)
                    all[std::string(field.name)] = *value;
                else all[std::string(field.name)] = value;
            },
            field.value);
    all["text"] = text;
    // Bytes from peers may be invalid UTF-8; they are replaced, so that the line stays valid.
    return all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace dewweir::net

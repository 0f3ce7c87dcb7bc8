// JSON log format: one object per line with time, level, event, the fields of the event and its text.
// Enabled by the operator file. Every line is valid JSON, whatever bytes a peer has sent.
#pragma once

#include "log.h"

namespace dewweir::net {

std::string json_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields fields);

}  // namespace dewweir::net

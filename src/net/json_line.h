// The log's lines as JSON: an object a line with time, level, event, the event's fields and its text. On only
// by the operator file. It must never write a line that is no JSON, whatever a peer has sent.
#pragma once

#include "log.h"

namespace dewweir::net {

std::string json_line(std::int64_t unix_ms, const EventKind& kind, const std::string& text, Fields fields);

}  // namespace dewweir::net

// Turns messages into bytes and back: an array of the message's kind and its fields, in msgpack. Bytes from
// outside are never trusted: what can't be read is no message.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "wire/messages.h"

namespace dewweir::wire {

std::string encode(const Message& message);
// Nothing where the bytes are no message of this version.
std::optional<Message> decode(std::string_view bytes);

ConsensusMessage wrap(const consensus::Envelope& envelope);
// Nothing where the body is no message of the stated kind.
std::optional<consensus::Envelope> unwrap(const ConsensusMessage& message);

// A message on a stream: its length in four bytes, highest first, then its bytes.
constexpr std::size_t frame_header_bytes = 4;
constexpr std::size_t most_frame_bytes = 64u << 20;
std::string frame(const Message& message);
// Reads the length that stands in the first `frame_header_bytes` of `bytes`.
std::size_t frame_length(std::string_view bytes);

}  // namespace dewweir::wire

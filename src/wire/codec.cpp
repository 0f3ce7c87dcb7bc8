#include "wire/codec.h"

namespace dewweir::wire {
namespace {

// Reads the alternative number `wanted` of a variant.
template <class Variant, std::size_t kind = 0>
std::optional<Variant> decode_kind(std::size_t wanted, const msgpack::object& fields) {
    if constexpr (kind < std::variant_size_v<Variant>) {
        if (wanted != kind) return decode_kind<Variant, kind + 1>(wanted, fields);
        std::variant_alternative_t<kind, Variant> message;
        fields.convert(message);
        return Variant(std::move(message));
    } else {
        return std::nullopt;
    }
}

// Every entry takes a byte at least: more than there are bytes can't be, and nothing is laid out for them.
// Throws where the bytes are no object.
msgpack::object_handle unpack(std::string_view bytes, std::size_t& taken) {
    const msgpack::unpack_limit limit(bytes.size(), bytes.size(), bytes.size(), bytes.size(), bytes.size());
    return msgpack::unpack(bytes.data(), bytes.size(), taken, nullptr, nullptr, limit);
}

}  // namespace

std::string encode(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::packer packer(buffer);
    packer.pack_array(2);
    packer.pack(message.index());
    std::visit([&](const auto& fields) { packer.pack(fields); }, message);
    return std::string(buffer.data(), buffer.size());
}

std::optional<Message> decode(std::string_view bytes) {
    try {
        std::size_t taken = 0;
        const msgpack::object_handle handle = unpack(bytes, taken);
        if (taken != bytes.size()) return std::nullopt;
        const msgpack::object& message = handle.get();
        if (message.type != msgpack::type::ARRAY || message.via.array.size != 2) return std::nullopt;
        const auto kind = message.via.array.ptr[0].as<std::size_t>();
        return decode_kind<Message>(kind, message.via.array.ptr[1]);
    } catch (const std::exception&) { return std::nullopt; }
}

ConsensusMessage wrap(const consensus::Envelope& envelope) {
    msgpack::sbuffer buffer;
    std::visit([&](const auto& fields) { msgpack::pack(buffer, fields); }, envelope.message);
    ConsensusMessage message;
    message.from = envelope.from;
    message.to = envelope.to;
    message.kind = static_cast<std::uint32_t>(envelope.message.index());
    message.body.assign(buffer.data(), buffer.size());
    return message;
}

std::optional<consensus::Envelope> unwrap(const ConsensusMessage& message) {
    try {
        std::size_t taken = 0;
        const msgpack::object_handle handle = unpack(message.body, taken);
        if (taken != message.body.size()) return std::nullopt;
        auto body = decode_kind<consensus::Message>(message.kind, handle.get());
        if (!body) return std::nullopt;
        return consensus::Envelope{message.from, message.to, std::move(*body)};
    } catch (const std::exception&) { return std::nullopt; }
}

std::string frame(const Message& message) {
    const std::string bytes = encode(message);
    std::string framed;
    framed.reserve(frame_header_bytes + bytes.size());
    for (int shift = 24; shift >= 0; shift -= 8)
        framed.push_back(static_cast<char>(bytes.size() >> shift & 0xff));
    framed += bytes;
    return framed;
}

std::size_t frame_length(std::string_view bytes) {
    std::size_t length = 0;
    for (std::size_t n = 0; n < frame_header_bytes; ++n) {
        length = length << 8 | static_cast<unsigned char>(bytes[n]);
    }
    return length;
}

}  // namespace dewweir::wire

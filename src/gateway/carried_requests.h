// The requests that one connection to a host has carried. Owns what makes a response's X-Attempt-Id unique on
// a connection: no two requests with the same id are sent on it, so that a late copy of a response to an
// earlier one never matches the request in flight. Performs no I/O.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace dewweir::gateway {

class CarriedRequests {
  public:
    // A connection that has carried this many requests takes no more: 8 bytes are kept for each.
    static constexpr std::size_t limit = 512;

    // `head`: the method is HEAD.
    void add(std::string_view attempt_id, bool head);
    bool contains(std::string_view attempt_id) const;
    std::size_t size() const { return requests_.size(); }
    bool is_full() const { return requests_.size() >= limit; }

    // How to find the end of a response to the request with this id; empty: the response has no id.
    enum class Framing : std::uint8_t {
        as_stated,  // by its head
        no_body,    // it answers a HEAD request, whatever its head states
        unknown,    // it may answer a HEAD request or another one
    };
    Framing response_framing(std::string_view attempt_id) const;

  private:
    // Hashes of attempt ids. That of two ids could only be equal by chance; the request then gets another
    // connection.
    using Hash = std::uint64_t;
    static Hash hash(std::string_view attempt_id);

    std::vector<Hash> requests_;
    std::vector<Hash> head_requests_;
};

}  // namespace dewweir::gateway

#include "control/page_walk.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace dewweir::control {
namespace {

constexpr std::size_t max_page_bytes = 4u << 20;
constexpr runtime::Time request_timeout = runtime::tenths_per_second;

// Escapes every character outside the unreserved set of RFC 3986.
std::string percent_encoded(const std::string& text) {
    constexpr std::string_view unreserved_marks = "-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) || unreserved_marks.find(letter) != std::string_view::npos) {
            encoded.push_back(letter);
        } else {
            encoded.append({'%', digits[byte >> 4], digits[byte & 15]});
        }
    }
    return encoded;
}

}  // namespace

std::string page_target(const std::optional<std::string>& zone, const std::string& page_token) {
    std::string query;
    if (zone) query.append("&zone=").append(percent_encoded(*zone));
    if (!page_token.empty()) query.append("&page_token=").append(percent_encoded(page_token));
    if (query.empty()) return "/instances";
    return "/instances?" + query.substr(1);
}

PageWalk::PageWalk(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform)
    : client_(loop, platform, max_page_bytes) {}

void PageWalk::start(const std::optional<std::string>& zone, Done done) {
    zone_ = zone;
    result_ = {};
    requested_tokens_.clear();
    done_ = std::move(done);
    request_page({});
}

void PageWalk::request_page(const std::string& page_token) {
    client_.get(page_target(zone_, page_token), request_timeout,
                [this](const api::CallResult& result) { page_received(result); });
}

void PageWalk::page_received(const api::CallResult& result) {
    if (result.error != api::CallError::none || result.status != 200) return finish(false);
    std::optional<InstancePage> page = parse_instance_page(result.body);
    if (!page) return finish(false);
    ++result_.pages;
    const std::size_t entries = page->instances.size();
    // An instance that is on two pages changed between the requests; the later page is current.
    for (auto& [id, instance] : page->instances) result_.instances[id] = std::move(instance);
    if (!page->next_token || page->next_token->empty()) return finish(true);
    if (!requested_tokens_.insert(*page->next_token).second) return finish(false);
    result_.page_size = std::max(result_.page_size, entries);
    request_page(*page->next_token);
}

void PageWalk::finish(bool complete) {
    result_.complete = complete;
    const Done done = std::exchange(done_, nullptr);
    done(std::move(result_));
}

}  // namespace dewweir::control

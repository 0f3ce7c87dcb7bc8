#include "control/instance_poller.h"

#include "logging/log.h"

namespace dewweir::control {
namespace {

constexpr std::size_t most_page_bytes = 4u << 20;
constexpr runtime::Time call_limit = runtime::tenths_per_second;

}  // namespace

InstancePoller::InstancePoller(runtime::EventLoop& loop, const asio::ip::tcp::endpoint& platform, Read read)
    : loop_(loop), read_(std::move(read)), client_(loop, platform, most_page_bytes), timer_(loop) {}

void InstancePoller::start(runtime::Time interval) {
    interval_ = interval;
    if (running_) return;
    running_ = true;
    if (!client_.busy()) begin();
}

void InstancePoller::stop() {
    running_ = false;
    timer_.cancel();
}

void InstancePoller::begin() {
    if (client_.busy()) return again_later();
    gathered_.clear();
    begun_at_ = loop_.now();
    pages_ = 0;
    ask({});
}

void InstancePoller::ask(const std::string& page_token) {
    const std::string target = page_token.empty() ? "/instances" : "/instances?page_token=" + page_token;
    client_.get(target, call_limit, [this](const api::CallResult& result) { answered(result); });
}

void InstancePoller::answered(const api::CallResult& result) {
    if (!running_) return;
    if (result.error != api::CallError::none || result.status != 200) return failed();
    std::optional<InstancePage> page = parse_instance_page(result.body);
    if (!page) return failed();
    ++pages_;
    gathered_.merge(page->instances);
    if (page->next_token && !page->next_token->empty()) return ask(*page->next_token);
    read_(gathered_, begun_at_, pages_);
    again_later();
}

void InstancePoller::failed() {
    logging::log(logging::Level::warning, logging::Event::instance_list_failed, {});
    again_later();
}

void InstancePoller::again_later() {
    if (!running_) return;
    const runtime::Time passed = loop_.now() - begun_at_;
    timer_.start(std::max<runtime::Time>(interval_ - passed, interval_ / 4), [this] { begin(); });
}

}  // namespace dewweir::control

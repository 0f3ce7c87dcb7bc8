#include "api/server.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace dewweir::api {
namespace {

// Longer than any caller waits.
constexpr runtime::Time handling_limit = 10 * runtime::tenths_per_second;
constexpr runtime::Time idle_limit = 30 * runtime::tenths_per_second;

int hex_digit(char digit) {
    if (digit >= '0' && digit <= '9') return digit - '0';
    if (digit >= 'a' && digit <= 'f') return digit - 'a' + 10;
    if (digit >= 'A' && digit <= 'F') return digit - 'A' + 10;
    return -1;
}

std::string decode_escapes(std::string_view text) {
    std::string decoded;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const bool escape = text[n] == '%' && n + 2 < text.size() && hex_digit(text[n + 1]) >= 0 &&
                            hex_digit(text[n + 2]) >= 0;
        if (!escape) {
            decoded.push_back(text[n] == '+' ? ' ' : text[n]);
            continue;
        }
        decoded.push_back(static_cast<char>(hex_digit(text[n + 1]) * 16 + hex_digit(text[n + 2])));
        n += 2;
    }
    return decoded;
}

}  // namespace

std::optional<std::string> query_field(std::string_view query, std::string_view name) {
    while (!query.empty()) {
        const std::string_view field = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(field.size() + 1, query.size()));
        const std::size_t equals = field.find('=');
        if (field.substr(0, equals) != name) continue;
        return decode_escapes(equals == std::string_view::npos ? std::string_view()
                                                               : field.substr(equals + 1));
    }
    return std::nullopt;
}

std::string error_body(std::string_view reason, std::string_view advice) {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
    writer.StartObject();
    writer.Key("error");
    writer.String(reason.data(), static_cast<rapidjson::SizeType>(reason.size()));
    writer.Key("advice");
    writer.String(advice.data(), static_cast<rapidjson::SizeType>(advice.size()));
    writer.EndObject();
    return buffer.GetString();
}

Server::Server(runtime::EventLoop& loop, std::size_t most_body) : loop_(loop), most_body_(most_body) {}

void Server::declare(std::string_view method, std::string_view path, Handler handler) {
    calls_.push_back({std::string(method), std::string(path), std::move(handler)});
}

std::optional<std::string> Server::listen(const asio::ip::tcp::endpoint& address) {
    listener_.emplace(loop_, [this](asio::ip::tcp::socket socket) { accepted(std::move(socket)); });
    return listener_->listen(address);
}

void Server::stop_listening() {
    if (listener_) listener_->close();
}

void Server::answer_open(const Response& response) {
    struct OpenCall {
        std::uint32_t mark;
        std::uint64_t number;
    };
    std::vector<OpenCall> open;
    clients_.each([&](std::uint32_t mark, const Client& client) {
        if (client.handling) open.push_back({mark, client.request});
    });
    for (const OpenCall& call : open) respond(call.mark, call.number, response);
}

void Server::accepted(asio::ip::tcp::socket socket) {
    const std::uint32_t mark = clients_.add(most_body_);
    if (!mark) return;
    Client& client = *clients_.find(mark);
    client.connection = loop_.connections().adopt(std::move(socket), *this, mark);
    if (!client.connection) {
        clients_.remove(mark);
        return;
    }
    expect_request(mark, client);
}

void Server::expect_request(std::uint32_t mark, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    client.deadline = loop_.deadlines().after(idle_limit, [this, mark] {
        const Client* const idle = clients_.find(mark);
        if (!idle) return;
        loop_.connections().close(idle->connection);
        clients_.remove(mark);
    });
}

void Server::received(net::Handle connection, std::uint32_t mark) {
    Client* const client = clients_.find(mark);
    if (!client || client->handling) return;
    switch (client->reader.read(loop_.connections().in(connection))) {
        case net::HttpReader::State::more: return;
        case net::HttpReader::State::bad: return refuse(mark, *client, client->reader.fault());
        case net::HttpReader::State::complete: return handle(mark, *client);
    }
}

const Server::Call* Server::find_call(std::string_view method, std::string_view path,
                                      bool& path_known) const {
    for (const Call& call : calls_) {
        const bool prefix = call.path.back() == '/';
        const bool matches = prefix ? path.starts_with(call.path) : path == call.path;
        path_known |= matches;
        if (matches && call.method == method) return &call;
    }
    return nullptr;
}

// Who asked has long gone on elsewhere; the connection is freed and nothing is promised.
void Server::limit_handling(std::uint32_t mark, std::uint64_t number, Client& client) {
    loop_.deadlines().cancel(client.deadline);
    client.deadline = loop_.deadlines().after(handling_limit, [this, mark, number] {
        respond(mark, number,
                {Status::service_unavailable,
                 error_body("the call takes too long", "repeat it, here or elsewhere")});
    });
}

void Server::handle(std::uint32_t mark, Client& client) {
    client.handling = true;
    const std::uint64_t number = ++client.request;
    limit_handling(mark, number, client);
    const std::string target = client.reader.target();
    const std::size_t question = target.find('?');
    Request request;
    request.method = http_method_str(static_cast<http_method>(client.reader.method()));
    request.path = std::string_view(target).substr(0, question);
    if (question != std::string::npos) request.query = std::string_view(target).substr(question + 1);
    request.if_match = client.reader.field("If-Match");
    request.body = std::move(client.reader.body());
    bool path_known = false;
    const Call* const call = find_call(request.method, request.path, path_known);
    if (!call) {
        const Status status = path_known ? Status::method_not_allowed : Status::not_found;
        return respond(
            mark, number,
            {status, error_body("no such call", "see the operator's page for the calls there are")});
    }
    request.rest = request.path.substr(std::min(call->path.size(), request.path.size()));
    call->handler(request,
                  [this, mark, number](const Response& response) { respond(mark, number, response); });
}

void Server::respond(std::uint32_t mark, std::uint64_t number, const Response& response) {
    Client* const client = clients_.find(mark);
    if (!client || !client->handling || client->request != number) return;
    loop_.deadlines().cancel(client->deadline);
    const bool keep = client->reader.keep_alive();
    std::string head = "HTTP/1.1 ";
    head.append(status_line(response.status)).append("\r\n");
    if (!response.body.empty()) head.append("Content-Type: application/json\r\n");
    if (!response.location.empty()) head.append("Location: ").append(response.location).append("\r\n");
    if (!response.retry_after.empty())
        head.append("Retry-After: ").append(response.retry_after).append("\r\n");
    if (!keep) head.append("Connection: close\r\n");
    head.append("Content-Length: ").append(std::to_string(response.body.size())).append("\r\n\r\n");
    loop_.connections().send(client->connection, {head, response.body});
    client->handling = false;
    client->reader.next();
    if (!keep) {
        loop_.connections().close_gracefully(client->connection);
        clients_.remove(mark);
        return;
    }
    expect_request(mark, *client);
    loop_.connections().redeliver(client->connection);
}

void Server::refuse(std::uint32_t mark, Client& client, int status) {
    std::string head = "HTTP/1.1 ";
    head.append(status_line(status)).append("\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
    loop_.connections().send(client.connection, {head});
    loop_.connections().close_gracefully(client.connection);
    loop_.deadlines().cancel(client.deadline);
    clients_.remove(mark);
}

void Server::ended(net::Handle, std::uint32_t mark) {
    Client* const client = clients_.find(mark);
    if (!client) return;
    loop_.deadlines().cancel(client->deadline);
    clients_.remove(mark);
}

}  // namespace dewweir::api

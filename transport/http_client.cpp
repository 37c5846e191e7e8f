#include "transport/http_client.h"

#include "protocol/ip_endpoint.h"
#include "transport/http_connection.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include <asio.hpp>

namespace persimmonstile {

namespace {

using clock = std::chrono::steady_clock;
using asio::ip::tcp;

// An idle connection that was used within this time is not asked whether it still stands: its end would have
// been seen.
constexpr milliseconds trusted_for{50};

struct http_target {
    tcp::endpoint server;
    // As in the URL, for the Host header.
    std::string_view authority;
    std::string_view path;
};

// Empty if the URL is not "http://ip:port/path".
std::optional<http_target> parse_url(std::string_view url) {
    constexpr std::string_view scheme = "http://";
    if (!url.starts_with(scheme))
        return std::nullopt;
    url.remove_prefix(scheme.size());
    const std::size_t slash = std::min(url.find('/'), url.size());
    const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(url.substr(0, slash));
    if (!endpoint)
        return std::nullopt;
    asio::error_code error;
    const asio::ip::address address = asio::ip::make_address(endpoint->address, error);
    if (error)
        return std::nullopt;
    const std::string_view path = slash < url.size() ? url.substr(slash) : std::string_view{"/"};
    return http_target{{address, endpoint->port}, url.substr(0, slash), path};
}

std::string encode(const http_client_request& request, const http_target& target) {
    constexpr std::string_view host_header = "Host:";
    const bool names_host =
        std::any_of(request.headers.begin(), request.headers.end(),
                    [&](const std::string& line) { return line.starts_with(host_header); });
    std::string text;
    text.reserve(request.body.size() + 256);
    text.append(request.method).append(1, ' ').append(target.path).append(" HTTP/1.1\r\n");
    if (!names_host)
        text.append("Host: ").append(target.authority).append("\r\n");
    for (const std::string& line : request.headers)
        text.append(line).append("\r\n");
    if (request.method != "GET")
        text.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
    text.append("\r\n").append(request.body);
    return text;
}

} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, std::size_t connections)
        : context_{context}
        , most_connections_{connections}
        , timer_{context.get_executor()} {}

    void close() {
        is_closed_ = true;
        timer_.cancel();
        for (auto& [id, open] : exchanges_) {
            if (open.connection)
                open.connection->close();
        }
        exchanges_.clear();
        for (auto& [server, connections] : idle_) {
            for (const idle_connection& kept : connections)
                kept.connection->close();
        }
        idle_.clear();
    }

    void send(const http_client_request& request, handler on_answer) {
        const std::uint64_t id = ++last_id_;
        const std::optional<http_target> target = parse_url(request.url);
        if (!target) {
            http_answer answer;
            answer.error = "not a URL with an IP number and a port: " + request.url;
            asio::post(context_, [self = shared_from_this(), on_answer = std::move(on_answer), answer] {
                if (!self->is_closed_)
                    on_answer(answer);
            });
            return;
        }
        exchange& opened = exchanges_[id];
        opened.server = target->server;
        opened.text = encode(request, *target);
        opened.on_answer = std::move(on_answer);
        opened.deadline = clock::now() + request.timeout;
        opened.connect_timeout = request.connect_timeout;
        waiting_.push_back(id);
        start_waiting();
        watch_deadline(opened.due());
    }

    std::size_t open_requests() const { return exchanges_.size(); }

private:
    using connection_pointer = std::shared_ptr<http_connection>;

    struct idle_connection {
        connection_pointer connection;
        clock::time_point since;
    };

    // A request without an answer.
    struct exchange {
        tcp::endpoint server;
        std::string text;
        handler on_answer;
        clock::time_point deadline;
        milliseconds connect_timeout{0};
        // While the connection is being made.
        clock::time_point connect_deadline = clock::time_point::max();
        connection_pointer connection;
        bool is_sent = false;

        clock::time_point due() const { return is_sent ? deadline : std::min(deadline, connect_deadline); }
    };

    // Gives connections to the requests that wait, in their order, as far as the bound allows.
    void start_waiting() {
        while (!waiting_.empty()) {
            const auto found = exchanges_.find(waiting_.front());
            if (found == exchanges_.end()) {
                waiting_.pop_front();
                continue;
            }
            connection_pointer connection = take_idle(found->second.server);
            if (!connection && connection_count_ >= most_connections_ && !drop_idle())
                return;
            waiting_.pop_front();
            if (connection)
                use(found->first, connection);
            else
                open(found->first, found->second);
        }
    }

    connection_pointer take_idle(const tcp::endpoint& server) {
        const auto found = idle_.find(server);
        while (found != idle_.end() && !found->second.empty()) {
            const idle_connection last = found->second.back();
            found->second.pop_back();
            if (clock::now() - last.since < trusted_for || last.connection->is_quiet())
                return last.connection;
            last.connection->close();
            --connection_count_;
        }
        return nullptr;
    }

    // Makes room for a connection to another server.
    bool drop_idle() {
        for (auto& [server, connections] : idle_) {
            if (connections.empty())
                continue;
            connections.front().connection->close();
            connections.erase(connections.begin());
            --connection_count_;
            return true;
        }
        return false;
    }

    void open(std::uint64_t id, exchange& opened) {
        const tcp::endpoint server = opened.server;
        auto connection = std::make_shared<http_connection>(context_, [self = weak_from_this(), server] {
            if (const auto client = self.lock())
                client->idle_closed(server);
        });
        ++connection_count_;
        opened.connection = connection;
        opened.connect_deadline = clock::now() + opened.connect_timeout;
        watch_deadline(opened.connect_deadline);
        connection->connect(server, [self = shared_from_this(), id, connection](asio::error_code error) {
            self->connected(id, connection, error);
        });
    }

    void connected(std::uint64_t id, const connection_pointer& connection, asio::error_code error) {
        if (is_closed_)
            return;
        if (error) {
            --connection_count_;
            http_answer answer;
            answer.error = error.message();
            finish(id, std::move(answer));
            return;
        }
        use(id, connection);
    }

    void use(std::uint64_t id, const connection_pointer& connection) {
        exchange& opened = exchanges_[id];
        watch_deadline(opened.deadline);
        opened.connection = connection;
        opened.is_sent = true;
        connection->send(std::move(opened.text),
                         [self = shared_from_this(), id, connection](http_answer answer) {
                             self->answered(id, connection, std::move(answer));
                         });
    }

    void answered(std::uint64_t id, const connection_pointer& connection, http_answer answer) {
        if (is_closed_)
            return;
        if (connection->is_reusable())
            idle_[exchanges_[id].server].push_back({connection, clock::now()});
        else
            --connection_count_;
        finish(id, std::move(answer));
    }

    void finish(std::uint64_t id, http_answer answer) {
        const auto found = exchanges_.find(id);
        const handler on_answer = std::move(found->second.on_answer);
        exchanges_.erase(found);
        start_waiting();
        on_answer(std::move(answer));
    }

    void idle_closed(const tcp::endpoint& server) {
        std::vector<idle_connection>& connections = idle_[server];
        connection_count_ -= std::erase_if(
            connections, [](const idle_connection& kept) { return !kept.connection->is_reusable(); });
    }

    // One timer serves all requests. It is not set back when a request is answered, because another one
    // follows usually.
    void watch_deadline(clock::time_point deadline) {
        if (deadline >= armed_for_)
            return;
        armed_for_ = deadline;
        timer_.expires_at(deadline);
        timer_.async_wait([self = shared_from_this()](asio::error_code error) {
            if (error || self->is_closed_)
                return;
            self->armed_for_ = clock::time_point::max();
            // A busy process may find the answer and the end of its time together; the answer goes first.
            asio::post(self->context_, [self] { self->check_deadlines(); });
        });
    }

    void check_deadlines() {
        if (is_closed_)
            return;
        const clock::time_point now = clock::now();
        std::vector<std::uint64_t> late;
        clock::time_point next = clock::time_point::max();
        for (const auto& [id, open] : exchanges_) {
            if (open.due() <= now)
                late.push_back(id);
            else
                next = std::min(next, open.due());
        }
        for (const std::uint64_t id : late)
            give_up(id);
        watch_deadline(next);
    }

    void give_up(std::uint64_t id) {
        const auto found = exchanges_.find(id);
        if (found == exchanges_.end())
            return;
        http_answer answer;
        answer.error = "no answer in time";
        answer.timed_out = true;
        answer.sent = found->second.is_sent;
        if (found->second.connection) {
            found->second.connection->close();
            --connection_count_;
        }
        finish(id, std::move(answer));
    }

    asio::io_context& context_;
    std::size_t most_connections_;
    std::size_t connection_count_ = 0;
    asio::basic_waitable_timer<clock, asio::wait_traits<clock>, asio::io_context::executor_type> timer_;
    clock::time_point armed_for_ = clock::time_point::max();
    bool is_closed_ = false;
    std::uint64_t last_id_ = 0;
    std::map<std::uint64_t, exchange> exchanges_;
    // Requests without a connection, the first one first.
    std::deque<std::uint64_t> waiting_;
    std::map<tcp::endpoint, std::vector<idle_connection>> idle_;
};

http_client::http_client(asio::io_context& context, std::size_t connections)
    : implementation_{std::make_shared<implementation>(context, connections)} {}

http_client::~http_client() {
    implementation_->close();
}

void http_client::send(const http_client_request& request, handler on_answer) {
    implementation_->send(request, std::move(on_answer));
}

std::size_t http_client::open_requests() const {
    return implementation_->open_requests();
}

} // namespace persimmonstile

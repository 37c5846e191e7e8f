#include "transport/http_server.h"

#include "protocol/ip_endpoint.h"

#include <atomic>
#include <future>
#include <optional>
#include <stdexcept>
#include <utility>

#include <restinio/all.hpp>

namespace persimmonstile {

namespace {

// A response may be due only when a job ends, so the library's own limit must not cut it off; jobs have
// deadlines.
constexpr std::chrono::hours handling_timeout{24};

// Passes on which connections are closed.
class close_listener {
public:
    explicit close_listener(http_close_handler on_close)
        : on_close_{std::move(on_close)} {}

    void state_changed(const restinio::connection_state::notice_t& notice) noexcept {
        if (on_close_ && std::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            on_close_(notice.connection_id());
    }

    // Connections are destroyed with the context, when what the handler refers to may be gone.
    void disable() { on_close_ = nullptr; }

private:
    http_close_handler on_close_;
};

// A server with threads of its own takes locks, one on the caller's thread does not.
struct threaded_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    static constexpr bool use_connection_count_limiter = true;
    using connection_state_listener_t = close_listener;
};
struct shared_traits
    : restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    static constexpr bool use_connection_count_limiter = true;
    using connection_state_listener_t = close_listener;
};

http_request to_request(const restinio::request_t& request, const std::vector<std::string>& kept_headers) {
    http_request result;
    result.method = request.header().method().c_str();
    result.path = std::string{request.header().path()};
    result.query = std::string{request.header().query()};
    result.connection = request.connection_id();
    result.traceparent = request.header().get_field_or("traceparent", std::string{});
    for (const std::string& name : kept_headers) {
        if (const auto value = request.header().opt_value_of(name))
            result.headers.push_back({name, std::string{*value}});
    }
    result.body = request.body();
    return result;
}

template <typename After_write>
void send_response(const restinio::request_handle_t& request, const http_response& response,
                   After_write after_write) {
    auto builder = request->create_response(restinio::http_status_line_t{
        restinio::http_status_code_t{response.status}, std::string{response.status < 400 ? "OK" : "Error"}});
    builder.append_header(restinio::http_field::content_type, response.content_type);
    for (const http_header& header : response.headers)
        builder.append_header(header.name, header.value);
    if (response.closes_connection)
        builder.connection_close();
    builder.set_body(response.body);
    builder.done(std::move(after_write));
}

} // namespace

const std::string& http_request::header(const std::string& name) const {
    static const std::string none;
    for (const http_header& kept : headers) {
        if (kept.name == name)
            return kept.value;
    }
    return none;
}

class http_server::implementation {
public:
    implementation(const ip_endpoint& address, std::size_t threads, const http_limits& limits,
                   http_handler handler)
        : handler_{std::move(handler)}
        , kept_headers_{limits.kept_headers} {
        std::promise<std::uint16_t> bound;
        std::future<std::uint16_t> port = bound.get_future();
        auto settings = make_settings<threaded_traits>(address, limits, {});
        settings.acceptor_post_bind_hook([&bound](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
            bound.set_value(acceptor.local_endpoint().port());
        });
        threaded_ = restinio::run_async(restinio::own_io_context(), std::move(settings), threads);
        port_ = port.get();
    }

    implementation(asio::io_context& context, const ip_endpoint& address, const http_limits& limits,
                   http_handler handler, http_close_handler on_close)
        : handler_{std::move(handler)}
        , kept_headers_{limits.kept_headers} {
        auto settings = make_settings<shared_traits>(address, limits, std::move(on_close));
        settings.acceptor_post_bind_hook([this](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
            port_ = acceptor.local_endpoint().port();
        });
        shared_ = std::make_unique<restinio::http_server_t<shared_traits>>(
            restinio::external_io_context(context), std::move(settings));
        shared_->open_sync();
    }

    std::uint16_t port() const { return port_; }

    std::size_t open_requests() const { return *open_requests_; }

    void stop_accepting() {
        if (shared_ && is_accepting_) {
            is_accepting_ = false;
            shared_->close_sync();
        }
    }

    void stop() {
        listener_->disable();
        stop_accepting();
        if (!threaded_)
            return;
        threaded_->stop();
        threaded_->wait();
        threaded_.reset();
    }

private:
    template <typename Traits>
    restinio::server_settings_t<Traits> make_settings(const ip_endpoint& address, const http_limits& limits,
                                                      http_close_handler on_close) {
        auto settings = restinio::server_settings_t<Traits>{};
        listener_ = std::make_shared<close_listener>(std::move(on_close));
        settings.connection_state_listener(listener_);
        settings.address(address.address)
            .port(address.port)
            .request_handler([this](const restinio::request_handle_t& request) { return handle(request); })
            .read_next_http_message_timelimit(limits.read_timeout)
            .write_http_response_timelimit(limits.write_timeout)
            .handle_request_timeout(handling_timeout)
            .max_pipelined_requests(4)
            .max_parallel_connections(limits.max_connections)
            .concurrent_accepts_count(4)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}
                                          .max_url_size(4096)
                                          .max_field_name_size(256)
                                          .max_field_value_size(8192)
                                          .max_field_count(64)
                                          .max_body_size(limits.max_body_bytes))
            .acceptor_options_setter([](auto& options) {
                options.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address{true});
            })
            .socket_options_setter(
                [](auto& options) { options.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); });
        return settings;
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request) {
        ++*open_requests_;
        // A request is over when its response was written, or when nobody can respond to it any more, which
        // may be after the end of the server.
        const std::shared_ptr<void> open{nullptr, [count = open_requests_](void*) {
                                             --*count;
                                         }};
        handler_(to_request(*request, kept_headers_), [request, open](const http_response& response) {
            send_response(request, response, [open](const auto&) {});
        });
        return restinio::request_accepted();
    }

    std::shared_ptr<std::atomic<std::size_t>> open_requests_ = std::make_shared<std::atomic<std::size_t>>(0);
    http_handler handler_;
    std::vector<std::string> kept_headers_;
    std::uint16_t port_ = 0;
    bool is_accepting_ = true;
    std::shared_ptr<close_listener> listener_;
    restinio::running_server_handle_t<threaded_traits> threaded_;
    std::unique_ptr<restinio::http_server_t<shared_traits>> shared_;
};

namespace {

ip_endpoint parse_address(const std::string& address) {
    const std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
    if (!parsed)
        throw std::invalid_argument("not an ip:port address: " + address);
    return *parsed;
}

} // namespace

http_server::http_server(const std::string& address, std::size_t threads, const http_limits& limits,
                         http_handler handler) {
    ip_endpoint bound = parse_address(address);
    implementation_ = std::make_unique<implementation>(bound, threads, limits, std::move(handler));
    bound.port = implementation_->port();
    address_ = to_string(bound);
}

http_server::http_server(asio::io_context& context, const std::string& address, const http_limits& limits,
                         http_handler handler, http_close_handler on_close) {
    ip_endpoint bound = parse_address(address);
    implementation_ =
        std::make_unique<implementation>(context, bound, limits, std::move(handler), std::move(on_close));
    bound.port = implementation_->port();
    address_ = to_string(bound);
}

http_server::~http_server() {
    stop();
}

std::size_t http_server::open_requests() const {
    return implementation_->open_requests();
}

void http_server::stop_accepting() {
    implementation_->stop_accepting();
}

void http_server::stop() {
    implementation_->stop();
}

} // namespace persimmonstile

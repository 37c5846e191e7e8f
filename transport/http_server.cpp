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

struct server_traits : restinio::traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t> {
    static constexpr bool use_connection_count_limiter = true;
};

http_request to_request(const restinio::request_t& request) {
    http_request result;
    result.method = request.header().method().c_str();
    result.path = std::string{request.header().path()};
    result.query = std::string{request.header().query()};
    result.traceparent = request.header().get_field_or("traceparent", std::string{});
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
    builder.set_body(response.body);
    builder.done(std::move(after_write));
}

} // namespace

class http_server::implementation {
public:
    implementation(const ip_endpoint& address, std::size_t threads, const http_limits& limits,
                   http_handler handler)
        : handler_{std::move(handler)} {
        std::promise<std::uint16_t> bound;
        std::future<std::uint16_t> port = bound.get_future();
        auto settings = restinio::server_settings_t<server_traits>{};
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
                [](auto& options) { options.set_option(restinio::asio_ns::ip::tcp::no_delay{true}); })
            .acceptor_post_bind_hook([&bound](restinio::asio_ns::ip::tcp::acceptor& acceptor) {
                bound.set_value(acceptor.local_endpoint().port());
            });
        server_ = restinio::run_async(restinio::own_io_context(), std::move(settings), threads);
        port_ = port.get();
    }

    std::uint16_t port() const { return port_; }

    std::size_t open_requests() const { return open_requests_; }

    void stop() {
        if (!server_)
            return;
        server_->stop();
        server_->wait();
        server_.reset();
    }

private:
    restinio::request_handling_status_t handle(const restinio::request_handle_t& request) {
        ++open_requests_;
        const auto written = [this](const auto&) {
            --open_requests_;
        };
        handler_(to_request(*request), [request, written](const http_response& response) {
            send_response(request, response, written);
        });
        return restinio::request_accepted();
    }

    std::atomic<std::size_t> open_requests_{0};
    http_handler handler_;
    std::uint16_t port_ = 0;
    restinio::running_server_handle_t<server_traits> server_;
};

http_server::http_server(const std::string& address, std::size_t threads, const http_limits& limits,
                         http_handler handler) {
    std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
    if (!parsed)
        throw std::invalid_argument("not an ip:port address: " + address);
    implementation_ = std::make_unique<implementation>(*parsed, threads, limits, std::move(handler));
    parsed->port = implementation_->port();
    address_ = to_string(*parsed);
}

http_server::~http_server() {
    stop();
}

std::size_t http_server::open_requests() const {
    return implementation_->open_requests();
}

void http_server::stop() {
    implementation_->stop();
}

} // namespace persimmonstile

#include "link_proxy.h"

#include "protocol/ip_endpoint.h"

#include <array>
#include <deque>
#include <optional>
#include <stdexcept>
#include <utility>

namespace persimmonstile::review {

namespace {

using asio::ip::tcp;

constexpr std::size_t chunk_size = 16384;
constexpr std::size_t kept_first_bytes = 512;

tcp::endpoint endpoint_of(const std::string& address) {
    const std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
    if (!parsed)
        throw std::invalid_argument{"not an ip:port address: " + address};
    return {asio::ip::make_address(parsed->address), parsed->port};
}

} // namespace

struct link_proxy::rules {
    selector is_cut;
    std::set<std::shared_ptr<connection>> open;
};

class link_proxy::connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket client, std::shared_ptr<rules> shared)
        : rules_{std::move(shared)}
        , server_{client.get_executor()}
        , client_{std::move(client)} {}

    void start(const tcp::endpoint& target) {
        server_.async_connect(target, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->server_.set_option(tcp::no_delay{true}, ignored);
            self->client_.set_option(tcp::no_delay{true}, ignored);
            self->read(self->up_, self->client_, self->server_);
            self->read(self->down_, self->server_, self->client_);
        });
    }

    const std::string& first_bytes() const { return first_bytes_; }

    void reset() {
        asio::error_code ignored;
        client_.set_option(asio::socket_base::linger{true, 0}, ignored);
        server_.set_option(asio::socket_base::linger{true, 0}, ignored);
        close();
    }

    void close() {
        asio::error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
        rules_->open.erase(shared_from_this());
    }

    void resume() {
        if (has_ended_) {
            close();
            return;
        }
        write(up_, client_, server_);
        write(down_, server_, client_);
    }

private:
    struct lane {
        std::array<char, chunk_size> chunk{};
        std::deque<std::string> held;
        bool is_writing = false;
    };

    bool is_cut() const { return rules_->is_cut && rules_->is_cut(first_bytes_); }

    void fail() {
        // The other side does not see the end of a connection across a cut.
        if (is_cut())
            has_ended_ = true;
        else
            close();
    }

    void read(lane& way, tcp::socket& source, tcp::socket& sink) {
        source.async_read_some(asio::buffer(way.chunk), [self = shared_from_this(), &way, &source,
                                                         &sink](asio::error_code error, std::size_t size) {
            if (error) {
                self->fail();
                return;
            }
            std::string bytes{way.chunk.data(), size};
            if (&way == &self->up_ && self->first_bytes_.size() < kept_first_bytes)
                self->first_bytes_ += bytes.substr(0, kept_first_bytes);
            way.held.push_back(std::move(bytes));
            self->write(way, source, sink);
            self->read(way, source, sink);
        });
    }

    void write(lane& way, tcp::socket& source, tcp::socket& sink) {
        if (way.is_writing || way.held.empty() || is_cut())
            return;
        way.is_writing = true;
        asio::async_write(
            sink, asio::buffer(way.held.front()),
            [self = shared_from_this(), &way, &source, &sink](asio::error_code error, std::size_t) {
                way.is_writing = false;
                if (error) {
                    self->fail();
                    return;
                }
                way.held.pop_front();
                self->write(way, source, sink);
            });
    }

    std::shared_ptr<rules> rules_;
    tcp::socket server_;
    tcp::socket client_;
    lane up_;
    lane down_;
    std::string first_bytes_;
    bool has_ended_ = false;
};

link_proxy::link_proxy(asio::io_context& context, const std::string& address, const std::string& target)
    : target_{endpoint_of(target)}
    , acceptor_{context, endpoint_of(address)}
    , rules_{std::make_shared<rules>()} {
    accept();
}

link_proxy::~link_proxy() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    reset([](const std::string&) { return true; });
}

void link_proxy::accept() {
    acceptor_.async_accept([this, shared = rules_](asio::error_code error, tcp::socket socket) {
        if (error)
            return;
        auto opened = std::make_shared<connection>(std::move(socket), shared);
        shared->open.insert(opened);
        opened->start(target_);
        accept();
    });
}

void link_proxy::cut(selector selected) {
    rules_->is_cut = std::move(selected);
}

void link_proxy::heal() {
    rules_->is_cut = nullptr;
    const std::set<std::shared_ptr<connection>> open = rules_->open;
    for (const auto& each : open)
        each->resume();
}

int link_proxy::reset(const selector& selected) {
    int count = 0;
    const std::set<std::shared_ptr<connection>> open = rules_->open;
    for (const auto& each : open) {
        if (!selected(each->first_bytes()))
            continue;
        each->reset();
        ++count;
    }
    return count;
}

} // namespace persimmonstile::review

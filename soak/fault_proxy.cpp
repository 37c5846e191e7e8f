#include "soak/fault_proxy.h"

#include "protocol/ip_endpoint.h"

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>

namespace persimmonstile::soak {

namespace {

using asio::ip::tcp;

constexpr std::size_t chunk_size = 16384;
// A cut holds this much back before the sender is no longer read.
constexpr std::size_t most_held_chunks = 64;

tcp::endpoint endpoint_of(const std::string& address) {
    const std::optional<ip_endpoint> parsed = parse_ip_endpoint(address);
    if (!parsed)
        throw std::invalid_argument{"not an ip:port address: " + address};
    return {asio::ip::make_address(parsed->address), parsed->port};
}

} // namespace

// What all connections of a proxy share.
struct fault_proxy::rules {
    milliseconds delay{0};
    std::array<bool, 2> is_cut{false, false};
    bool is_refusing = false;
    std::set<std::shared_ptr<connection>> open;

    bool holds(direction way) const { return is_cut[static_cast<std::size_t>(way)]; }
};

// A client with the connection to the server that was made for it.
class fault_proxy::connection : public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket client, std::shared_ptr<rules> shared)
        : rules_{std::move(shared)}
        , server_{client.get_executor()}
        , client_{std::move(client)}
        , lanes_{lane{server_.get_executor()}, lane{server_.get_executor()}} {}

    void start(const tcp::endpoint& target) {
        server_.async_connect(target, [self = shared_from_this()](asio::error_code error) {
            if (error) {
                self->close();
                return;
            }
            asio::error_code ignored;
            self->server_.set_option(tcp::no_delay{true}, ignored);
            self->client_.set_option(tcp::no_delay{true}, ignored);
            self->read(direction::to_server);
            self->read(direction::to_client);
        });
    }

    void silence() { is_silent_ = true; }

    void reset() {
        asio::error_code ignored;
        for (tcp::socket* socket : {&client_, &server_})
            socket->set_option(asio::socket_base::linger{true, 0}, ignored);
        close();
    }

    void close() {
        asio::error_code ignored;
        client_.close(ignored);
        server_.close(ignored);
        for (lane& closed : lanes_)
            closed.timer.cancel();
        rules_->open.erase(shared_from_this());
    }

    // Passes on what a cut has held back.
    void resume() {
        for (const direction way : {direction::to_server, direction::to_client})
            write(way);
    }

private:
    using clock = std::chrono::steady_clock;

    // Bytes that wait for their time, in the order in which they came.
    struct held_bytes {
        clock::time_point due{};
        std::string bytes;
    };

    struct lane {
        explicit lane(const asio::any_io_executor& executor)
            : timer{executor} {}
        std::array<char, chunk_size> chunk{};
        std::deque<held_bytes> held;
        asio::steady_timer timer;
        bool is_writing = false;
        bool is_reading = false;
    };

    lane& lane_of(direction way) { return lanes_[static_cast<std::size_t>(way)]; }
    tcp::socket& source(direction way) { return way == direction::to_server ? client_ : server_; }
    tcp::socket& sink(direction way) { return way == direction::to_server ? server_ : client_; }

    void read(direction way) {
        lane& from = lane_of(way);
        if (from.is_reading || from.held.size() >= most_held_chunks)
            return;
        from.is_reading = true;
        source(way).async_read_some(asio::buffer(from.chunk), [self = shared_from_this(), way](
                                                                  asio::error_code error, std::size_t size) {
            lane& filled = self->lane_of(way);
            filled.is_reading = false;
            if (error) {
                if (!self->is_silent_)
                    self->close();
                return;
            }
            self->arrived(way, std::string{filled.chunk.data(), size});
            self->read(way);
        });
    }

    void arrived(direction way, std::string bytes) {
        lane_of(way).held.push_back({clock::now() + rules_->delay, std::move(bytes)});
        write(way);
    }

    void write(direction way) {
        lane& out = lane_of(way);
        if (out.is_writing || out.held.empty() || is_silent_ || rules_->holds(way))
            return;
        if (out.held.front().due > clock::now()) {
            out.timer.expires_at(out.held.front().due);
            out.timer.async_wait([self = shared_from_this(), way](asio::error_code error) {
                if (!error)
                    self->write(way);
            });
            return;
        }
        out.is_writing = true;
        asio::async_write(sink(way), asio::buffer(out.held.front().bytes),
                          [self = shared_from_this(), way](asio::error_code error, std::size_t) {
                              lane& written = self->lane_of(way);
                              written.is_writing = false;
                              if (error) {
                                  if (!self->is_silent_)
                                      self->close();
                                  return;
                              }
                              written.held.pop_front();
                              self->write(way);
                              self->read(way);
                          });
    }

    std::shared_ptr<rules> rules_;
    tcp::socket server_;
    tcp::socket client_;
    std::array<lane, 2> lanes_;
    bool is_silent_ = false;
};

fault_proxy::fault_proxy(asio::io_context& context, const std::string& address, const std::string& target)
    : context_{context}
    , target_{endpoint_of(target)}
    , acceptor_{context, endpoint_of(address)}
    , rules_{std::make_shared<rules>()} {
    accept();
}

fault_proxy::~fault_proxy() {
    asio::error_code ignored;
    acceptor_.close(ignored);
    reset_open();
}

void fault_proxy::accept() {
    acceptor_.async_accept([this, shared = rules_](asio::error_code error, tcp::socket socket) {
        if (error)
            return;
        if (!shared->is_refusing) {
            auto opened = std::make_shared<connection>(std::move(socket), shared);
            shared->open.insert(opened);
            opened->start(target_);
        }
        accept();
    });
}

void fault_proxy::set_delay(milliseconds delay) {
    rules_->delay = delay;
}

void fault_proxy::set_cut(direction way, bool is_cut) {
    rules_->is_cut[static_cast<std::size_t>(way)] = is_cut;
    if (is_cut)
        return;
    const std::set<std::shared_ptr<connection>> open = rules_->open;
    for (const auto& each : open)
        each->resume();
}

void fault_proxy::silence_open() {
    for (const auto& each : rules_->open)
        each->silence();
}

void fault_proxy::reset_open() {
    const std::set<std::shared_ptr<connection>> open = rules_->open;
    for (const auto& each : open)
        each->reset();
}

void fault_proxy::set_refusing(bool is_refusing) {
    rules_->is_refusing = is_refusing;
}

void fault_proxy::heal() {
    set_delay(milliseconds{0});
    set_refusing(false);
    set_cut(direction::to_server, false);
    set_cut(direction::to_client, false);
}

std::size_t fault_proxy::open_connections() const {
    return rules_->open.size();
}

} // namespace persimmonstile::soak

#include "daemon/peer_links.h"

#include "protocol/ip_endpoint.h"
#include "protocol/work_codec.h"
#include "transport/logging.h"

#include <optional>
#include <stdexcept>
#include <utility>

namespace persimmonstile {

namespace {

constexpr const char* component = "links";

} // namespace

peer_links::peer_links(asio::io_context& context, const clock_source& clock, handlers on_event)
    : context_{context}
    , clock_{clock}
    , on_event_{std::move(on_event)}
    , dialer_{context, clock,
              [this](const std::string& address, const std::shared_ptr<frame_connection>& connection) {
                  open(connection, address);
              }} {}

void peer_links::listen(const std::string& address) {
    const std::optional<ip_endpoint> endpoint = parse_ip_endpoint(address);
    if (!endpoint)
        throw std::invalid_argument("not an ip:port address: " + address);
    listener_ = std::make_unique<frame_listener>(context_, *endpoint, [this](asio::ip::tcp::socket socket) {
        const auto connection = std::make_shared<frame_connection>(std::move(socket), clock_);
        if (unidentified_.add(connection))
            open(connection, {});
    });
    listener_->start();
}

void peer_links::set_dialed_addresses(std::set<std::string> addresses) {
    requested_addresses_ = std::move(addresses);
    update_dialer();
}

// An address that is requested again is not dialed while its previous connection is open.
void peer_links::update_dialer() {
    std::set<std::string> addresses = requested_addresses_;
    for (const auto& [link, open] : links_) {
        if (!dialed_addresses_.contains(open.dialed_address))
            addresses.erase(open.dialed_address);
    }
    dialed_addresses_ = addresses;
    dialer_.set_addresses(addresses);
}

void peer_links::open(const std::shared_ptr<frame_connection>& connection,
                      const std::string& dialed_address) {
    const link_number link = ++last_link_;
    links_[link] = {connection, dialed_address};
    connection->start(
        [this, link](frame_kind kind, std::string_view payload) {
            const std::optional<work_message> message =
                kind == frame_kind::work ? decode_work_message(payload) : std::nullopt;
            if (message) {
                on_event_.received(link, *message);
                return;
            }
            if (kind == frame_kind::work && is_work_message_of_later_version(payload)) {
                log_event(log_level::debug, component, "ignoring a message of unknown type",
                          {{"link", link}});
                return;
            }
            log_event(log_level::warn, component, "closing a connection that sent a malformed frame",
                      {{"link", link}});
            close(link, "malformed frame");
        },
        [this, link](const std::string& reason) { closed(link, reason); });
    on_event_.opened(link, dialed_address);
}

void peer_links::closed(link_number link, const std::string& reason) {
    log_event(log_level::info, component, "connection closed", {{"link", link}, {"reason", reason}});
    const std::string address = links_[link].dialed_address;
    links_.erase(link);
    if (dialed_addresses_.contains(address))
        dialer_.lost(address);
    else
        update_dialer();
    on_event_.closed(link);
}

void peer_links::send(link_number link, const work_message& message) {
    const auto found = links_.find(link);
    if (found == links_.end())
        return;
    const std::string bytes = encode_work_message(message);
    bytes_sent_ += bytes.size();
    found->second.connection->send(frame_kind::work, bytes);
}

void peer_links::close(link_number link, const std::string& reason) {
    const auto found = links_.find(link);
    if (found != links_.end())
        found->second.connection->close(reason);
}

void peer_links::stop() {
    requested_addresses_.clear();
    if (listener_)
        listener_->stop();
    dialer_.stop();
    for (const auto& [link, open] : links_)
        open.connection->close_gracefully();
}

} // namespace persimmonstile

#pragma once

#include "transport/http_client.h"
#include "transport/http_server.h"

#include <string>

#include <asio.hpp>

namespace persimmonstile::review {

// Stands before the stand-in of the store and refuses writes with more entries than the platform's store
// accepts: 32 conditions, values and removals together.
class store_gate {
public:
    // Both addresses are "ip:port".
    store_gate(asio::io_context& context, const std::string& address, std::string store_address);

    int refused() const { return refused_; }

private:
    void handle(const http_request& request, const http_responder& respond);

    std::string store_address_;
    int refused_ = 0;
    http_client client_;
    http_server server_;
};

} // namespace persimmonstile::review

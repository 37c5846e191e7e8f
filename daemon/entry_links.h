#pragma once

#include "state/control_message.h"
#include "state/incarnation.h"
#include "state/task_message.h"
#include "transport/frame_connection.h"

#include <cstddef>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace persimmonstile {

// Holds the connections to entries, grouped by the incarnation of the entry. There may be several connections
// to one entry, because either side may open one. Thread-safe.
class entry_links {
public:
    void add(const incarnation& entry, const std::shared_ptr<frame_connection>& connection);
    // Removes a closed connection. Returns its entry if the connection was registered.
    std::optional<incarnation> remove(const frame_connection* connection);

    // Sends over the newest connection. Returns false if there is none.
    bool send(const incarnation& entry, const task_message& message) const;
    bool send(const incarnation& entry, const control_message& message) const;
    void send_to_all(const control_message& message) const;

    // Closes all connections after their queued data is written. The caller removes each one when it is
    // closed.
    void close_gracefully() const;

    std::vector<incarnation> connected() const;

private:
    std::shared_ptr<frame_connection> newest(const incarnation& entry) const;

    mutable std::mutex mutex_;
    std::map<incarnation, std::vector<std::shared_ptr<frame_connection>>> links_;
};

} // namespace persimmonstile

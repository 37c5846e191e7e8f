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

// Connections to other processes by the incarnation of the entry at their other end. There may be several for
// one entry, as either side may have opened one. Thread-safe.
class entry_links {
public:
    void add(const incarnation& entry, const std::shared_ptr<frame_connection>& connection);
    // The entry of a closed connection, if it was registered.
    std::optional<incarnation> remove(const frame_connection* connection);

    // Sends over the newest connection; false if there is none.
    bool send(const incarnation& entry, const task_message& message) const;
    bool send(const incarnation& entry, const control_message& message) const;
    void send_to_all(const control_message& message) const;

    // Writes what is queued and ends all connections. They leave the list when they are closed.
    void close_gracefully() const;

    std::vector<incarnation> connected() const;

private:
    std::shared_ptr<frame_connection> newest(const incarnation& entry) const;

    mutable std::mutex mutex_;
    std::map<incarnation, std::vector<std::shared_ptr<frame_connection>>> links_;
};

} // namespace persimmonstile

#include "daemon/entry_links.h"

#include "protocol/control_codec.h"
#include "protocol/task_codec.h"

#include <algorithm>

namespace persimmonstile {

void entry_links::add(const incarnation& entry, const std::shared_ptr<frame_connection>& connection) {
    const std::lock_guard lock{mutex_};
    auto& connections = links_[entry];
    if (std::find(connections.begin(), connections.end(), connection) == connections.end())
        connections.push_back(connection);
}

std::optional<incarnation> entry_links::remove(const frame_connection* connection) {
    const std::lock_guard lock{mutex_};
    const auto same = [&](const auto& candidate) {
        return candidate.get() == connection;
    };
    for (auto it = links_.begin(); it != links_.end(); ++it) {
        if (std::erase_if(it->second, same) == 0)
            continue;
        const incarnation entry = it->first;
        if (it->second.empty())
            links_.erase(it);
        return entry;
    }
    return std::nullopt;
}

std::shared_ptr<frame_connection> entry_links::newest(const incarnation& entry) const {
    const std::lock_guard lock{mutex_};
    const auto found = links_.find(entry);
    return found == links_.end() ? nullptr : found->second.back();
}

bool entry_links::send(const incarnation& entry, const task_message& message) const {
    const auto connection = newest(entry);
    if (!connection)
        return false;
    connection->send(frame_kind::task, encode_task_message(message));
    return true;
}

bool entry_links::send(const incarnation& entry, const control_message& message) const {
    const auto connection = newest(entry);
    if (!connection)
        return false;
    const encoded_frame frame = encode_control_message(message);
    connection->send(frame.kind, frame.payload);
    return true;
}

void entry_links::send_to_all(const control_message& message) const {
    for (const incarnation& entry : connected())
        send(entry, message);
}

void entry_links::close_gracefully() const {
    const std::lock_guard lock{mutex_};
    for (const auto& [entry, connections] : links_) {
        for (const auto& connection : connections)
            connection->close_gracefully();
    }
}

std::vector<incarnation> entry_links::connected() const {
    const std::lock_guard lock{mutex_};
    std::vector<incarnation> result;
    for (const auto& [entry, connections] : links_)
        result.push_back(entry);
    return result;
}

} // namespace persimmonstile

#include "daemon/agent_registry.h"

#include "protocol/control_codec.h"
#include "protocol/task_codec.h"
#include "state/limits.h"

#include <algorithm>

namespace persimmonstile {

namespace {

void send_control(frame_connection& connection, const control_message& message) {
    const encoded_frame frame = encode_control_message(message);
    connection.send(frame.kind, frame.payload);
}

} // namespace

agent_registry::agent_registry(const clock_source& clock)
    : clock_{clock} {}

agent_registry::registration agent_registry::connected(const agent_status& status,
                                                       const std::shared_ptr<frame_connection>& connection) {
    const std::lock_guard lock{mutex_};
    registration result;
    const auto is_other_incarnation = [&](const incarnation& other) {
        return other.name == status.agent.name && other.number != status.agent.number;
    };
    for (auto it = links_.begin(); it != links_.end();) {
        if (!is_other_incarnation(it->first)) {
            ++it;
            continue;
        }
        result.replaced.push_back(it->first);
        it = links_.erase(it);
    }
    for (auto it = disconnected_since_.begin(); it != disconnected_since_.end();) {
        if (is_other_incarnation(it->first))
            result.replaced.push_back(it->first);
        const bool is_resolved = is_other_incarnation(it->first) || it->first == status.agent;
        it = is_resolved ? disconnected_since_.erase(it) : std::next(it);
    }
    agent_link& link = links_[status.agent];
    result.is_new = link.connection != connection;
    link.status = status;
    link.connection = connection;
    return result;
}

std::optional<incarnation> agent_registry::unregister_connection(const frame_connection* connection) {
    const std::lock_guard lock{mutex_};
    const auto is_same_connection = [&](const auto& entry) {
        return entry.second.connection.get() == connection;
    };
    const auto found = std::find_if(links_.begin(), links_.end(), is_same_connection);
    if (found == links_.end())
        return std::nullopt;
    const incarnation agent = found->first;
    links_.erase(found);
    disconnected_since_[agent] = clock_.now();
    return agent;
}

std::vector<incarnation> agent_registry::start_loss_timeouts(const std::vector<incarnation>& agents) {
    const std::lock_guard lock{mutex_};
    std::vector<incarnation> superseded;
    for (const incarnation& agent : agents) {
        if (links_.contains(agent))
            continue;
        const auto has_same_name = [&](const auto& link) {
            return link.first.name == agent.name;
        };
        if (std::any_of(links_.begin(), links_.end(), has_same_name))
            superseded.push_back(agent);
        else
            disconnected_since_.try_emplace(agent, clock_.now());
    }
    return superseded;
}

std::vector<incarnation> agent_registry::take_lost_agents() {
    const std::lock_guard lock{mutex_};
    std::vector<incarnation> lost;
    for (auto it = disconnected_since_.begin(); it != disconnected_since_.end();) {
        if (clock_.now() - it->second < agent_loss_timeout) {
            ++it;
            continue;
        }
        lost.push_back(it->first);
        it = disconnected_since_.erase(it);
    }
    return lost;
}

std::shared_ptr<frame_connection> agent_registry::find(const incarnation& agent) const {
    const std::lock_guard lock{mutex_};
    const auto found = links_.find(agent);
    return found == links_.end() ? nullptr : found->second.connection;
}

bool agent_registry::send(const incarnation& agent, const task_message& message) {
    const auto connection = find(agent);
    if (!connection)
        return false;
    connection->send(frame_kind::task, encode_task_message(message));
    return true;
}

bool agent_registry::send(const incarnation& agent, const control_message& message) {
    const auto connection = find(agent);
    if (!connection)
        return false;
    send_control(*connection, message);
    return true;
}

void agent_registry::send_to_others(const incarnation& except, const control_message& message) {
    for (const incarnation& agent : connected_agents()) {
        if (agent != except)
            send(agent, message);
    }
}

std::vector<agent_status> agent_registry::statuses() const {
    const std::lock_guard lock{mutex_};
    std::vector<agent_status> result;
    for (const auto& [agent, link] : links_)
        result.push_back(link.status);
    return result;
}

std::vector<incarnation> agent_registry::connected_agents() const {
    const std::lock_guard lock{mutex_};
    std::vector<incarnation> result;
    for (const auto& [agent, link] : links_)
        result.push_back(agent);
    return result;
}

} // namespace persimmonstile

#pragma once

#include "state/agent_status.h"
#include "state/clock_source.h"
#include "state/control_message.h"
#include "state/incarnation.h"
#include "state/task_message.h"
#include "state/time.h"
#include "transport/frame_connection.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace persimmonstile {

// Registry of the agents that an entry knows: the newest connection of each, and since when the others have
// been disconnected. Thread-safe. It calls back no other component, so it may be used under any lock.
class agent_registry {
public:
    explicit agent_registry(const clock_source& clock);

    // Registers the connection as the agent's newest. replaced lists the other incarnations of the same name,
    // which have ended. is_new is false if the connection was already registered.
    struct registration {
        bool is_new = false;
        std::vector<incarnation> replaced;
    };
    registration connected(const agent_status& status, const std::shared_ptr<frame_connection>& connection);

    // Removes a closed connection. Returns its agent if it was the agent's newest connection.
    std::optional<incarnation> unregister_connection(const frame_connection* connection);

    // Starts the loss timeout of those agents that are not connected. Returns those of which another
    // incarnation is connected.
    std::vector<incarnation> start_loss_timeouts(const std::vector<incarnation>& agents);

    // Returns the agents that have been disconnected for at least agent_loss_timeout, each once.
    std::vector<incarnation> take_lost_agents();

    // Sends to the agent's newest connection. Returns false if there is none.
    bool send(const incarnation& agent, const task_message& message);
    bool send(const incarnation& agent, const control_message& message);
    void send_to_others(const incarnation& except, const control_message& message);

    std::vector<agent_status> statuses() const;
    std::vector<incarnation> connected_agents() const;

private:
    // A connected agent with its last status.
    struct agent_link {
        agent_status status;
        std::shared_ptr<frame_connection> connection;
    };

    std::shared_ptr<frame_connection> find(const incarnation& agent) const;

    const clock_source& clock_;
    mutable std::mutex mutex_;
    std::map<incarnation, agent_link> links_;
    std::map<incarnation, time_point> disconnected_since_;
};

} // namespace persimmonstile

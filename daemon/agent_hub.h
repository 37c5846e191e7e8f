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

// The agents that an entry knows: their connections, and for how long the unconnected ones have been away.
// Thread-safe; calls no other component, so it may be used under any lock.
class agent_hub {
public:
    explicit agent_hub(const clock_source& clock);

    // Registers the connection as the agent's newest. Returns older incarnations of the same name, which are
    // gone for good. is_new tells whether this connection was unknown.
    struct registration {
        bool is_new = false;
        std::vector<incarnation> replaced;
    };
    registration connected(const agent_status& status, const std::shared_ptr<frame_connection>& connection);

    // The agent of a closed connection, if it was that agent's newest connection.
    std::optional<incarnation> disconnected(const frame_connection* connection);

    // Starts the loss timeout of agents that are not connected, and returns those whose newer incarnation is
    // known.
    std::vector<incarnation> expect(const std::vector<incarnation>& agents);

    // Agents that have been away for longer than agent_loss_timeout. Each is returned once.
    std::vector<incarnation> take_lost();

    // Sends to the agent's newest connection; false if there is none.
    bool send(const incarnation& agent, const task_message& message);
    bool send(const incarnation& agent, const control_message& message);
    void send_to_others(const incarnation& except, const control_message& message);

    std::vector<agent_status> statuses() const;
    std::vector<incarnation> connected_agents() const;

private:
    struct agent_link {
        agent_status status;
        std::shared_ptr<frame_connection> connection;
    };

    std::shared_ptr<frame_connection> find(const incarnation& agent) const;

    const clock_source& clock_;
    mutable std::mutex mutex_;
    std::map<incarnation, agent_link> links_;
    std::map<incarnation, time_point> away_since_;
};

} // namespace persimmonstile

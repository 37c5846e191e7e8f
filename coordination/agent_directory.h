#pragma once

#include "coordination/agent_view.h"

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace persimmonstile {

// Holds an entry's views of the agents that have connected to it, indexed by name, connection and number.
// References to a view stay valid until forget().
class agent_directory {
public:
    // Returns the view of the agent with this name; creates it if there is none.
    agent_view& find_or_add(const std::string& name);
    agent_view* find_by_link(link_number link);
    agent_view* find_by_number(agent_number number);
    const agent_view* find_by_name(const std::string& name) const;

    // Assigns the link to the agent and clears what was known about the previous connection. Returns the
    // agent's previous link if it differs, otherwise 0.
    link_number connect(agent_view& agent, link_number link);
    void disconnect(agent_view& agent);
    void forget(agent_number number);

    std::map<agent_number, agent_view>& all() { return agents_; }
    const std::map<agent_number, agent_view>& all() const { return agents_; }

private:
    std::map<agent_number, agent_view> agents_;
    std::unordered_map<std::string, agent_number> numbers_;
    std::unordered_map<link_number, agent_number> links_;
    agent_number last_number_ = 0;
};

} // namespace persimmonstile

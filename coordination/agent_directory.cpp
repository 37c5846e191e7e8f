#include "coordination/agent_directory.h"

namespace persimmonstile {

agent_view& agent_directory::by_name(const std::string& name) {
    const auto known = numbers_.find(name);
    if (known != numbers_.end())
        return agents_.at(known->second);
    agent_view& added = agents_[++last_number_];
    added.number = last_number_;
    added.name = name;
    numbers_[name] = last_number_;
    return added;
}

agent_view* agent_directory::by_link(link_number link) {
    const auto found = links_.find(link);
    return found == links_.end() ? nullptr : by_number(found->second);
}

agent_view* agent_directory::by_number(agent_number number) {
    const auto found = agents_.find(number);
    return found == agents_.end() ? nullptr : &found->second;
}

link_number agent_directory::connect(agent_view& agent, link_number link) {
    const link_number before = agent.link;
    if (before != 0)
        links_.erase(before);
    agent.link = link;
    agent.is_introduced = false;
    agent.is_session_introduced = false;
    agent.starts_sent = 0;
    agent.last_reading_ns = 0;
    for (auto& [run, start] : agent.runs)
        start = 0;
    agent.unacknowledged_starts.clear();
    links_[link] = agent.number;
    return before == link ? 0 : before;
}

void agent_directory::disconnect(agent_view& agent) {
    links_.erase(agent.link);
    agent.link = 0;
    for (auto& [run, start] : agent.runs)
        start = 0;
    agent.is_introduced = false;
    agent.is_session_introduced = false;
    agent.unacknowledged_starts.clear();
}

void agent_directory::forget(agent_number number) {
    const auto found = agents_.find(number);
    if (found == agents_.end())
        return;
    disconnect(found->second);
    numbers_.erase(found->second.name);
    agents_.erase(found);
}

} // namespace persimmonstile

#include "coordination/agent_directory.h"

namespace persimmonstile {

agent_view& agent_directory::find_or_add(const std::string& name) {
    const auto known = numbers_.find(name);
    if (known != numbers_.end())
        return agents_.at(known->second);
    agent_view& added = agents_[++last_number_];
    added.number = last_number_;
    added.name = name;
    numbers_[name] = last_number_;
    return added;
}

agent_view* agent_directory::find_by_link(link_number link) {
    const auto found = links_.find(link);
    return found == links_.end() ? nullptr : find_by_number(found->second);
}

agent_view* agent_directory::find_by_number(agent_number number) {
    const auto found = agents_.find(number);
    return found == agents_.end() ? nullptr : &found->second;
}

const agent_view* agent_directory::find_by_name(const std::string& name) const {
    const auto found = numbers_.find(name);
    return found == numbers_.end() ? nullptr : &agents_.at(found->second);
}

link_number agent_directory::connect(agent_view& agent, link_number link) {
    const link_number previous_link = agent.link;
    if (previous_link != 0)
        links_.erase(previous_link);
    agent.link = link;
    agent.is_introduced = false;
    agent.is_session_introduced = false;
    agent.missing_since.reset();
    agent.sent_starts = 0;
    agent.last_reading_ns = 0;
    for (auto& [run, start] : agent.runs)
        start = 0;
    agent.unacknowledged_starts.clear();
    links_[link] = agent.number;
    return previous_link == link ? 0 : previous_link;
}

void agent_directory::disconnect(agent_view& agent) {
    links_.erase(agent.link);
    agent.link = 0;
    for (auto& [run, start] : agent.runs)
        start = 0;
    agent.is_introduced = false;
    agent.is_session_introduced = false;
    agent.missing_since.reset();
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

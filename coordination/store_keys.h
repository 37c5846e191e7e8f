#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <string>

namespace persimmonstile {

// Keys of a deployment whose jobs are kept in the store.

// Everything about the members, watched by all entries.
constexpr const char* member_prefix = "persimmonstile/m/";
// Entries by name: the session that may write. Outlives its process until it is replaced or adopted.
constexpr const char* entry_prefix = "persimmonstile/m/entry/";
// Under a lease: the process of that session lives.
constexpr const char* alive_prefix = "persimmonstile/m/alive/";
// Deposed sessions whose jobs another session took over.
constexpr const char* adopted_prefix = "persimmonstile/m/adopted/";
// Agents that may have runs.
constexpr const char* agent_prefix = "persimmonstile/m/agent/";

inline std::string entry_key(const std::string& name) {
    return entry_prefix + name;
}

inline std::string session_text(const incarnation& session) {
    return session.name + '+' + std::to_string(session.number);
}

inline std::string alive_key(const incarnation& session) {
    return alive_prefix + session_text(session);
}

inline std::string adopted_key(const incarnation& session) {
    return adopted_prefix + session_text(session);
}

inline std::string agent_key(const std::string& name) {
    return agent_prefix + name;
}

// Job records by id.
inline std::string job_key(const job_id& job) {
    return "persimmonstile/j/" + job;
}

// Records of the open jobs that a session accepted.
inline std::string open_prefix(const incarnation& session) {
    return "persimmonstile/o/" + session_text(session) + '/';
}

inline std::string open_key(const incarnation& session, const job_id& job) {
    return open_prefix(session) + job;
}

} // namespace persimmonstile

#pragma once

#include "state/ids.h"
#include "state/incarnation.h"

#include <string>

namespace persimmonstile {

// Keys of the records in the store of a deployment that accepts durable jobs. Entry, liveness and agent
// records are written even while no job is durable.

// Prefix of all member records. All entries watch it.
constexpr const char* member_prefix = "persimmonstile/m/";
// Entry records by name. A record names the only session that may write for the entry. It stays after the
// session's process has ended, until another session replaces or adopts the session.
constexpr const char* entry_prefix = "persimmonstile/m/entry/";
// Liveness keys of sessions. Each is attached to a lease that the session's process renews, so it disappears
// after the process has ended.
constexpr const char* liveness_prefix = "persimmonstile/m/alive/";
// Deposed sessions whose jobs another session has adopted.
constexpr const char* adopted_prefix = "persimmonstile/m/adopted/";
// Records of agents that may have runs.
constexpr const char* agent_prefix = "persimmonstile/m/agent/";

inline std::string entry_key(const std::string& name) {
    return entry_prefix + name;
}

inline std::string session_text(const incarnation& session) {
    return session.name + '+' + std::to_string(session.number);
}

inline std::string liveness_key(const incarnation& session) {
    return liveness_prefix + session_text(session);
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
inline std::string open_job_prefix(const incarnation& session) {
    return "persimmonstile/o/" + session_text(session) + '/';
}

inline std::string open_job_key(const incarnation& session, const job_id& job) {
    return open_job_prefix(session) + job;
}

} // namespace persimmonstile

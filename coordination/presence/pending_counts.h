#pragma once

#include "state/incarnation.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace persimmonstile {

// The numbers of pending jobs that other entries have told, by session. The jobs of a session whose entry is
// gone are still accepted, so its numbers count until its successor has told numbers that include them.
class pending_counts {
public:
    using by_queue = std::map<std::string, std::uint64_t>;

    // The latest numbers of a session. They include the jobs of the sessions that it has adopted.
    void told(const incarnation& session, by_queue counts, std::set<incarnation> adopted);

    // Sets the sessions that may have accepted jobs and forgets the others. What the store lists first is
    // there before this process has been told anything, so its numbers are awaited.
    void set_sessions(std::set<incarnation> sessions);

    // Number of pending jobs of the queue at all sessions but those that this process has adopted. Empty if a
    // number is not known yet.
    std::optional<std::uint64_t> count(const std::string& queue, const std::set<incarnation>& adopted) const;

private:
    struct session_counts {
        by_queue counts;
        std::set<incarnation> adopted;
    };

    // Whether the numbers of another session, or of this process, include those of the session. A successor
    // that is adopted itself counts only until then. max_depth bounds the search if records are circular.
    bool is_included(const incarnation& session, const std::set<incarnation>& adopted,
                     std::size_t max_depth) const;

    std::map<incarnation, session_counts> counts_;
    // Sessions of the first listing that have not told their numbers; not set before the listing.
    std::optional<std::set<incarnation>> awaited_;
};

} // namespace persimmonstile

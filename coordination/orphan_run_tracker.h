#pragma once

#include "coordination/ledger_task.h"
#include "state/run_report.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace persimmonstile {

// Tracks runs that restarted agents found on their backend servers and that no entry has claimed. A run is an
// orphan if its job is not in the store or has ended: no entry will claim it.
class orphan_run_tracker {
public:
    struct orphan {
        agent_number agent = 0;
        run_report report;
    };

    void add(agent_number agent, const run_report& report, time_point now);

    // Returns the store queries that are due: the id of the query and the job whose record it reads.
    std::vector<std::pair<std::uint64_t, job_id>> take_queries(time_point now);

    // Handles the store's reply to a query. Returns the run if it is an orphan.
    std::optional<orphan> handle_reply(std::uint64_t query_id, const store_reply& answer, time_point now);

private:
    struct pending_check {
        orphan run;
        // Id of the query in flight; 0 if there is none.
        std::uint64_t query_id = 0;
        time_point next_query_at{};
    };

    std::map<run_ref, pending_check> pending_checks_;
    std::uint64_t last_query_id_ = 0;
};

} // namespace persimmonstile

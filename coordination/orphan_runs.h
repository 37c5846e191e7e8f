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

// Tracks runs that restarted agents found on their backend servers and that no entry has claimed. A run is
// orphaned if its job is not in the store or has ended, because no entry will claim it then.
class orphan_runs {
public:
    struct orphan {
        agent_number agent = 0;
        run_report report;
    };

    // is_shared: the agent reports the run to all entries, of which only one needs to query the store.
    void add(agent_number agent, const run_report& report, bool is_shared, time_point now);

    // Ids of the store queries that are due, each with the job whose record is to be read. Shared runs are
    // included only if includes_shared is set.
    std::vector<std::pair<std::uint64_t, job_id>> take_questions(bool includes_shared, time_point now);

    // Handles the store's reply. Returns the run if no entry will claim it.
    std::optional<orphan> answered(std::uint64_t question, const store_reply& answer, time_point now);

private:
    struct check {
        orphan run;
        bool is_shared = false;
        // 0 while no query is in flight.
        std::uint64_t question = 0;
        time_point ask_at{};
    };

    std::map<run_ref, check> checks_;
    std::uint64_t last_question_ = 0;
};

} // namespace persimmonstile

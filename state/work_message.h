#pragma once

#include "state/agent_profile.h"
#include "state/claim_runs.h"
#include "state/ends_recorded.h"
#include "state/entry_welcome.h"
#include "state/job_answer.h"
#include "state/job_question.h"
#include "state/owner_pong.h"
#include "state/owner_succession.h"
#include "state/peer_introduction.h"
#include "state/queue_counts.h"
#include "state/relayed_call.h"
#include "state/relayed_reply.h"
#include "state/run_inventory.h"
#include "state/run_reports.h"
#include "state/start_runs.h"
#include "state/stop_runs.h"
#include "state/view_ping.h"

#include <variant>

namespace persimmonstile {

// Any message between the daemons of a deployment that keeps its jobs in the store. The index of an
// alternative is its code on the wire, so new alternatives are added at the end.
using work_message =
    std::variant<agent_profile, entry_welcome, view_ping, owner_pong, start_runs, stop_runs, run_reports,
                 ends_recorded, owner_succession, run_inventory, claim_runs, peer_introduction, job_question,
                 job_answer, queue_counts, relayed_call, relayed_reply>;

} // namespace persimmonstile

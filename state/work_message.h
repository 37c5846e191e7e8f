#pragma once

#include "state/agent_profile.h"
#include "state/connection_request.h"
#include "state/entry_welcome.h"
#include "state/job_lookup_reply.h"
#include "state/job_lookup_request.h"
#include "state/owner_pong.h"
#include "state/owner_succession.h"
#include "state/peer_hello.h"
#include "state/queue_counts.h"
#include "state/recorded_run_ends.h"
#include "state/relayed_store_call.h"
#include "state/relayed_store_reply.h"
#include "state/room_request.h"
#include "state/run_claim.h"
#include "state/run_inventory.h"
#include "state/run_reports.h"
#include "state/run_start_request.h"
#include "state/run_stop_request.h"
#include "state/view_ping.h"

#include <variant>

namespace persimmonstile {

// Any message between the daemons of a deployment that keeps its durable jobs in the store. The index of an
// alternative is its code on the wire, so new alternatives are added at the end.
using work_message =
    std::variant<agent_profile, entry_welcome, view_ping, owner_pong, run_start_request, run_stop_request,
                 run_reports, recorded_run_ends, owner_succession, run_inventory, run_claim, peer_hello,
                 job_lookup_request, job_lookup_reply, queue_counts, relayed_store_call, relayed_store_reply,
                 connection_request, room_request>;

} // namespace persimmonstile

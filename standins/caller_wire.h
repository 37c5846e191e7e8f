#pragma once

#include "state/deployment_config.h"
#include "state/ids.h"
#include "state/job_plan.h"
#include "state/job_state.h"
#include "state/queue_policy.h"
#include "transport/http_answer.h"
#include "transport/http_client.h"

#include <optional>
#include <string>

namespace persimmonstile {

// The platform's protocols for callers and for operators, from their side, for stand-ins.

// A request that hands a job in at an entry ("ip:port"), asks for its state, or cancels it.
http_client_request submit_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                   const job_plan& plan, milliseconds patience);
http_client_request state_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                  milliseconds patience);
http_client_request cancel_request(const std::string& entry, const queue_policy& queue, const job_id& job,
                                   milliseconds patience);

// The state in an answer; empty if it tells none.
std::optional<job_state> state_in(const http_answer& answer);

// The operators' record with the configuration, and its key.
std::string config_record(const deployment_config& config);
std::string config_record_key();
// The key whose presence takes a zone out of service.
std::string zone_out_key(const std::string& zone);

} // namespace persimmonstile

#pragma once

#include "state/agent_record.h"
#include "state/entry_record.h"
#include "state/job_status.h"
#include "state/open_job.h"
#include "state/session_adoption.h"

#include <string>
#include <variant>

namespace persimmonstile {

// The value of a key in the store. The string alternative holds values written by other systems, unchanged.
// The index of an alternative is its type number in the store, so new alternatives are added at the end.
using stored_record =
    std::variant<std::string, job_status, open_job, entry_record, session_adoption, agent_record>;

} // namespace persimmonstile

#pragma once

#include "state/adoption.h"
#include "state/job_status.h"
#include "state/member_agent.h"
#include "state/member_entry.h"
#include "state/open_job.h"

#include <string>
#include <variant>

namespace persimmonstile {

// The value of a key. The string alternative holds values written by other systems, unchanged. The index of
// an alternative is its code in the store, so new alternatives are added at the end.
using stored_record = std::variant<std::string, job_status, open_job, member_entry, adoption, member_agent>;

} // namespace persimmonstile

#pragma once

#include "state/adoption.h"
#include "state/job_status.h"
#include "state/member_agent.h"
#include "state/member_entry.h"
#include "state/open_job.h"

#include <string>
#include <variant>

namespace persimmonstile {

// The value of a key. Text stands for values that other systems wrote, as they are. The position of an
// alternative is its code in the store, so new ones go last.
using stored_record = std::variant<std::string, job_status, open_job, member_entry, adoption, member_agent>;

} // namespace persimmonstile

#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <optional>

namespace persimmonstile {

// Creation time of a UUIDv7 in its usual text form (RFC 9562); nullopt for any other id.
std::optional<wall_time> uuid_time(const job_id& job);

} // namespace persimmonstile

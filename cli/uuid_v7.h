#pragma once

#include "state/time.h"

#include <cstdint>
#include <string>

namespace persimmonstile {

// UUIDv7 (RFC 9562) of a calendar time with 74 bits from the two random words, as 36 characters of lower
// case.
std::string make_uuid_v7(wall_time now, std::uint64_t random_high, std::uint64_t random_low);

// The same with random bytes from the system. Throws std::runtime_error if it has none.
std::string make_uuid_v7(wall_time now);

} // namespace persimmonstile

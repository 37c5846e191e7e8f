#pragma once

#include "coordination/decision.h"

#include <string_view>

namespace persimmonstile {

// Writes one log line for a decision.
void log_decision(std::string_view component, const decision& made);

} // namespace persimmonstile

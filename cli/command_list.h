#pragma once

#include "cli/command.h"

#include <span>

namespace persimmonstile {

// All commands in the order of the help text. A name may be two words, such as "explain job".
std::span<const command> command_list();

} // namespace persimmonstile

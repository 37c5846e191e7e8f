#pragma once

#include "state/ids.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Sends the fleet configuration to a process that has an older revision.
struct config_push {
    config_revision revision = 0;
    // The JSON document from the store, unchanged.
    std::string content;

    static constexpr auto members() { return std::make_tuple(&config_push::revision, &config_push::content); }
};

} // namespace persimmonstile

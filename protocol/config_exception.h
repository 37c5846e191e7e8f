#pragma once

#include "protocol/config_scope.h"
#include "protocol/setting_value.h"
#include "state/time.h"

#include <optional>
#include <string>

namespace persimmonstile {

// A deviation from the defaults, with the person who wants it and the reason. After the expiry the checker
// demands that it is removed or extended; it stays in force until then.
struct config_exception {
    config_scope scope;
    std::string setting;
    setting_value value;
    std::string author;
    std::string reason;
    std::optional<wall_time> expires;

    bool operator==(const config_exception&) const = default;
};

} // namespace persimmonstile

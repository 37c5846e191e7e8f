#pragma once

#include "state/ids.h"
#include "state/time.h"

#include <optional>
#include <string>

namespace persimmonstile {

// The revision in which a default or an exception got its present value, and who applied it and why.
struct change_origin {
    config_revision revision = 0;
    wall_time time{};
    std::string author;
    std::string reason;

    bool operator==(const change_origin&) const = default;
};

// One difference between two sets of declarations. path names the declaration:
//   defaults/service/SETTING, defaults/team/SETTING, zone/NAME, service/NAME, team/NAME,
//   exceptions/service/NAME/SETTING, exceptions/team/NAME/SETTING, exceptions/zone/NAME/SETTING
// before and after are JSON texts and empty where the declaration does not exist. previous_origin is the
// origin that the declaration had before, so that a change can be undone completely.
struct declaration_change {
    std::string path;
    std::optional<std::string> before;
    std::optional<std::string> after;
    std::optional<change_origin> previous_origin;

    bool operator==(const declaration_change&) const = default;
};

} // namespace persimmonstile

#pragma once

#include "protocol/config_exception.h"
#include "state/time.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace persimmonstile {

// What operators declare: the checked contents of fleet.json and exceptions.json.
struct fleet_declarations {
    // Settings that differ from the built-in defaults.
    std::map<std::string, setting_value> service_defaults;
    std::map<std::string, setting_value> team_defaults;
    std::set<std::string> zones;
    // Services and the shortest run time of their tasks on the fastest backend server.
    std::map<std::string, milliseconds> services;
    std::set<std::string> teams;
    std::vector<config_exception> exceptions;

    bool operator==(const fleet_declarations&) const = default;
};

} // namespace persimmonstile

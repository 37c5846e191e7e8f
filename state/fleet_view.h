#pragma once

#include "state/ids.h"
#include "state/service_policy.h"
#include "state/team_policy.h"

#include <map>
#include <set>
#include <string>

namespace persimmonstile {

// One revision of the fleet configuration in the form used by the scheduling code. Immutable once published.
// A team or service that is not listed does not exist.
struct fleet_view {
    config_revision revision = 0;
    std::map<std::string, service_policy> services;
    std::map<std::string, team_policy> teams;
    std::set<std::string> zones;
    std::set<std::string> zones_out;

    bool is_zone_out(const std::string& zone) const { return zones_out.contains(zone); }

    const service_policy* find_service(const std::string& name) const {
        const auto found = services.find(name);
        return found == services.end() ? nullptr : &found->second;
    }

    const team_policy* find_team(const std::string& name) const {
        const auto found = teams.find(name);
        return found == teams.end() ? nullptr : &found->second;
    }
};

} // namespace persimmonstile

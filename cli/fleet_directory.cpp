#include "cli/fleet_directory.h"

#include <fstream>
#include <sstream>

namespace persimmonstile {

namespace {

std::string read_file(const std::string& directory, std::string_view name, config_findings& findings) {
    std::ifstream file{directory + "/" + std::string{name}};
    std::stringstream text;
    // Streaming an empty buffer sets failbit on the target, so only the source tells about errors.
    if (file)
        text << file.rdbuf();
    if (!file || file.bad())
        findings.push_back(
            {finding_kind::unreadable, std::string{name}, "", "a readable file in " + directory, "none"});
    return text.str();
}

} // namespace

fleet_check_result read_fleet_directory(const std::string& directory, wall_time now) {
    config_findings findings;
    const std::string fleet = read_file(directory, fleet_file_name, findings);
    const std::string exceptions = read_file(directory, exceptions_file_name, findings);
    if (!findings.empty())
        return findings;
    return check_fleet(fleet, exceptions, now);
}

} // namespace persimmonstile

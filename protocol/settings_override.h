#pragma once

#include <string>

namespace persimmonstile {

// A setting given on the command line. member is the name of the member of daemon_settings; lists are
// separated by commas.
struct settings_override {
    std::string member;
    std::string text;
};

} // namespace persimmonstile

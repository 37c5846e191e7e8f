#pragma once

#include <string>

namespace persimmonstile {

// A frame that could not be decoded. The connection that carried it is closed.
struct decode_error {
    std::string detail;
};

} // namespace persimmonstile

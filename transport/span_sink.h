#pragma once

#include <string>

namespace persimmonstile {

// Where encoded trace requests go. Called from one thread.
class span_sink {
public:
    virtual ~span_sink() = default;

    // False if the request is lost.
    virtual bool write(const std::string& request) = 0;
};

} // namespace persimmonstile

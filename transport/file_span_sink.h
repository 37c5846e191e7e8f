#pragma once

#include "transport/span_sink.h"

namespace persimmonstile {

// Appends one line for each request to a file.
class file_span_sink : public span_sink {
public:
    explicit file_span_sink(std::string path);
    file_span_sink(const file_span_sink&) = delete;
    file_span_sink& operator=(const file_span_sink&) = delete;
    ~file_span_sink() override;

    bool write(const std::string& request) override;

private:
    bool open();

    std::string path_;
    int descriptor_ = -1;
};

} // namespace persimmonstile

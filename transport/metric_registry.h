#pragma once

#include "transport/metric_family.h"

#include <string>
#include <vector>

namespace persimmonstile {

// The metric families of one process, in the order in which they are exposed. Families must outlive the
// registry. Adding is not thread-safe and ends before the first reading.
class metric_registry {
public:
    void add(const metric_family& family);

    // All families in the Prometheus text format.
    std::string prometheus_text() const;

private:
    std::vector<const metric_family*> families_;
};

} // namespace persimmonstile

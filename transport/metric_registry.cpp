#include "transport/metric_registry.h"

namespace persimmonstile {

void metric_registry::add(const metric_family& family) {
    families_.push_back(&family);
}

std::string metric_registry::prometheus_text() const {
    std::string text;
    for (const metric_family* family : families_) {
        family->append_text(text);
    }
    return text;
}

} // namespace persimmonstile

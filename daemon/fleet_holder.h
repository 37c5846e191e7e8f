#pragma once

#include "state/config_push.h"
#include "state/fleet_view.h"

#include <memory>
#include <mutex>
#include <string>

namespace persimmonstile {

// The newest fleet configuration that this process knows. A newer revision is never replaced by an older one,
// whatever the store or a peer returns. Thread-safe.
class fleet_holder {
public:
    // The decoded view if the document is valid and newer than the present one, nullptr otherwise.
    std::shared_ptr<const fleet_view> offer(const std::string& content);

    std::shared_ptr<const fleet_view> view() const;
    config_revision revision() const;
    // The document as a peer receives it.
    config_push push() const;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_view> view_;
    std::string content_;
};

} // namespace persimmonstile

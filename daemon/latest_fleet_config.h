#pragma once

#include "state/config_push.h"
#include "state/fleet_view.h"

#include <memory>
#include <mutex>
#include <string>

namespace persimmonstile {

// Holds the newest fleet configuration that this process has received. Never replaces a revision with an
// older one, whatever the store or a peer returns. Thread-safe.
class latest_fleet_config {
public:
    // Stores the document if it is valid and newer than the current one. Returns the decoded view, or nullptr
    // if the document was not stored.
    std::shared_ptr<const fleet_view> update_if_newer(const std::string& content);

    std::shared_ptr<const fleet_view> view() const;
    config_revision revision() const;
    // The message that sends the document to a peer.
    config_push push() const;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const fleet_view> view_;
    std::string content_;
};

} // namespace persimmonstile

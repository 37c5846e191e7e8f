#include "daemon/latest_fleet_config.h"

#include "protocol/fleet_document.h"
#include "transport/logging.h"

#include <utility>

namespace persimmonstile {

std::shared_ptr<const fleet_view> latest_fleet_config::update_if_newer(const std::string& content) {
    auto decoded = decode_fleet_document(content);
    if (const auto* problems = std::get_if<config_findings>(&decoded)) {
        for (const config_finding& problem : *problems)
            log_event(log_level::error, "configuration", "received configuration is not valid",
                      {{"finding", describe(problem)}});
        return nullptr;
    }
    auto view = std::make_shared<const fleet_view>(std::move(std::get<fleet_view>(decoded)));
    const std::lock_guard lock{mutex_};
    if (view_ && view->revision <= view_->revision)
        return nullptr;
    view_ = view;
    content_ = content;
    return view;
}

std::shared_ptr<const fleet_view> latest_fleet_config::view() const {
    const std::lock_guard lock{mutex_};
    return view_;
}

config_revision latest_fleet_config::revision() const {
    const std::lock_guard lock{mutex_};
    return view_ ? view_->revision : 0;
}

config_push latest_fleet_config::push() const {
    const std::lock_guard lock{mutex_};
    return {view_ ? view_->revision : 0, content_};
}

} // namespace persimmonstile

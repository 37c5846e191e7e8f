#include "coordination/balance/extra_entries.h"

namespace persimmonstile {

bool extra_entries::add_for_adoption(const std::string& address, time_point now) {
    const bool is_new = !for_adoption_.contains(address) && !for_capacity_.contains(address);
    for_adoption_[address] = now + duration_;
    return is_new;
}

bool extra_entries::add_for_capacity(const std::string& address, time_point now) {
    if (for_adoption_.contains(address) || for_capacity_.contains(address) ||
        for_capacity_.size() >= max_for_capacity_)
        return false;
    for_capacity_[address] = now + duration_;
    return true;
}

bool extra_entries::remove_expired(time_point now) {
    const auto is_expired = [&](const auto& request) {
        return now >= request.second;
    };
    return std::erase_if(for_adoption_, is_expired) + std::erase_if(for_capacity_, is_expired) > 0;
}

} // namespace persimmonstile

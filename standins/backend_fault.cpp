#include "standins/backend_fault.h"

#include <algorithm>
#include <array>
#include <utility>

namespace persimmonstile {

namespace {

using named_fault = std::pair<backend_fault, std::string_view>;

constexpr std::array<named_fault, 8> fault_names{{
    {backend_fault::none, "none"},
    {backend_fault::fail, "fail"},
    {backend_fault::hang, "hang"},
    {backend_fault::slow, "slow"},
    {backend_fault::wrong_task_id, "wrong_task_id"},
    {backend_fault::swap, "swap"},
    {backend_fault::twice_late, "twice_late"},
    {backend_fault::decline, "decline"},
}};

} // namespace

std::string_view to_string(backend_fault fault) {
    const auto* const found =
        std::find_if(fault_names.begin(), fault_names.end(),
                     [fault](const named_fault& entry) { return entry.first == fault; });
    return found == fault_names.end() ? "none" : found->second;
}

std::optional<backend_fault> parse_backend_fault(std::string_view name) {
    const auto* const found = std::find_if(fault_names.begin(), fault_names.end(),
                                           [name](const named_fault& entry) { return entry.second == name; });
    if (found == fault_names.end()) {
        return std::nullopt;
    }
    return found->first;
}

} // namespace persimmonstile

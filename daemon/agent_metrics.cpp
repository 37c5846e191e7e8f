#include "daemon/agent_metrics.h"

#include "coordination/agent_core.h"
#include "coordination/backend_order.h"

#include <array>

namespace persimmonstile {

namespace {

// In the order of the alternatives of backend_order::action.
constexpr std::array<std::string_view, std::variant_size_v<decltype(backend_order::action)>> order_kinds{
    "start", "stop", "hold"};
constexpr std::size_t start_kind = 0;

} // namespace

agent_metrics::agent_metrics()
    : store_calls_{registry_} {
    for (const metric_family* family : std::initializer_list<const metric_family*>{
             &decisions_, &orders_, &run_ends_, &start_order_time_, &active_runs_, &queued_runs_,
             &connected_entries_, &fencing_token_, &backend_life_})
        registry_.add(*family);
}

void agent_metrics::record_order(std::size_t kind, backend_verdict verdict,
                                 std::chrono::nanoseconds elapsed) {
    orders_.add({order_kinds[kind], to_string(verdict)});
    if (kind == start_kind)
        start_order_time_.record(elapsed);
}

void agent_metrics::update_gauges(const agent_core& core) {
    active_runs_.set(static_cast<std::int64_t>(core.active_runs()));
    queued_runs_.set(static_cast<std::int64_t>(core.queued_runs()));
    connected_entries_.set(static_cast<std::int64_t>(core.connected_entries()));
    fencing_token_.set(static_cast<std::int64_t>(core.fencing_token()));
    backend_life_.set(static_cast<std::int64_t>(core.backend_life()));
}

} // namespace persimmonstile

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
             &decisions_, &orders_, &ends_, &start_, &active_, &queued_, &entries_, &token_, &life_})
        registry_.add(*family);
}

void agent_metrics::ordered(std::size_t kind, backend_verdict verdict, std::chrono::nanoseconds elapsed) {
    orders_.add({order_kinds[kind], to_string(verdict)});
    if (kind == start_kind)
        start_.record(elapsed);
}

void agent_metrics::observe(const agent_core& core) {
    active_.set(static_cast<std::int64_t>(core.active_runs()));
    queued_.set(static_cast<std::int64_t>(core.queued_runs()));
    entries_.set(static_cast<std::int64_t>(core.connected_entries()));
    token_.set(static_cast<std::int64_t>(core.fencing_token()));
    life_.set(static_cast<std::int64_t>(core.backend_life()));
}

} // namespace persimmonstile

#include "daemon/store_call_metrics.h"

#include <array>
#include <string_view>

namespace persimmonstile {

namespace {

// Same order as the alternatives of store_call and store_reply.
constexpr std::array<std::string_view, std::variant_size_v<store_call>> kinds{
    "write", "read", "list", "watch", "lease_open", "lease_renew", "lease_close"};
constexpr std::array<std::string_view, std::variant_size_v<store_reply>> results{
    "failed",  "applied",      "conflict",    "found",         "missing", "listing",
    "changes", "history_lost", "lease_valid", "lease_missing", "rejected"};

std::string_view result_label(const store_reply& reply) {
    const auto* failure = std::get_if<store_failure>(&reply);
    if (failure != nullptr && failure->may_have_applied)
        return "unanswered";
    return results[reply.index()];
}

} // namespace

store_call_metrics::store_call_metrics(metric_registry& registry) {
    registry.add(calls_);
    registry.add(call_time_);
}

void store_call_metrics::record_call(const store_call& call, const store_reply& reply,
                                     std::chrono::nanoseconds elapsed) {
    calls_.add({kinds[call.index()], result_label(reply)});
    if (!std::holds_alternative<store_watch>(call))
        call_time_.record(elapsed);
}

} // namespace persimmonstile

#include "daemon/entry_metrics.h"

#include "coordination/entry_core.h"

namespace persimmonstile {

namespace {

std::string_view kind_name(caller_reply_kind kind) {
    switch (kind) {
    case caller_reply_kind::accepted:
        return "accepted";
    case caller_reply_kind::refused:
        return "refused";
    case caller_reply_kind::uncertain:
        return "uncertain";
    case caller_reply_kind::state:
        return "state";
    case caller_reply_kind::gone:
        return "gone";
    case caller_reply_kind::cancelled:
        return "cancelled";
    }
    return "uncertain";
}

} // namespace

entry_metrics::entry_metrics()
    : store_calls_{registry_} {
    for (const metric_family* family : std::initializer_list<const metric_family*>{
             &decisions_, &replies_, &refusals_, &response_time_, &queue_time_, &start_time_, &run_time_,
             &record_time_, &open_jobs_, &agents_, &peers_, &session_open_, &overloaded_,
             &configuration_version_, &configuration_revision_})
        registry_.add(*family);
}

void entry_metrics::record_timing(entry_timing what, std::chrono::nanoseconds time) {
    switch (what) {
    case entry_timing::queue:
        queue_time_.record(time);
        return;
    case entry_timing::start:
        start_time_.record(time);
        return;
    case entry_timing::run:
        run_time_.record(time);
        return;
    case entry_timing::record:
        record_time_.record(time);
        return;
    }
}

void entry_metrics::record_reply(const caller_reply& reply, std::chrono::nanoseconds elapsed) {
    response_time_.record(elapsed);
    replies_.add({kind_name(reply.kind), to_string(reply.state)});
    if (reply.kind == caller_reply_kind::refused)
        refusals_.add({to_string(reply.reason)});
}

void entry_metrics::update_gauges(const entry_core& core) {
    open_jobs_.set(static_cast<std::int64_t>(core.open_jobs()));
    agents_.set(static_cast<std::int64_t>(core.connected_agents()));
    peers_.set(static_cast<std::int64_t>(core.peers().size()));
    session_open_.set(core.session().number != 0 ? 1 : 0);
    configuration_version_.set(core.config() == nullptr ? 0
                                                        : static_cast<std::int64_t>(core.config()->version));
    configuration_revision_.set(static_cast<std::int64_t>(core.operator_records().change_revision()));
}

} // namespace persimmonstile

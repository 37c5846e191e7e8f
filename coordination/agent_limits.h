#pragma once

#include "state/limits.h"
#include "state/resources.h"
#include "state/time.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace persimmonstile {

// Timeouts, intervals and other limits of an agent.
struct agent_limits {
    // Longest lease that the backend server grants. Set by the platform.
    milliseconds max_lease{1000};
    // Duration of the lease that the agent requests. It exceeds max_lease, because the estimate of the
    // backend server's clock may be behind. The backend server limits the lease to max_lease.
    milliseconds requested_lease() const { return max_lease + milliseconds{20}; }
    // Time after which a lease that is requested now has expired in any case. It allows for clock rates that
    // differ by up to 2% and for the time that the order is in flight.
    milliseconds max_lease_lifetime() const {
        constexpr milliseconds margin{30};
        return requested_lease() + requested_lease() / 50 + margin;
    }
    // Callers that lost their connection send their jobs again after this time. Set by the platform.
    milliseconds caller_resend_delay = default_caller_resend_delay;
    // Longest lease whose end is certain to come within this time, although the backend server's clock may be
    // 2% slow and the estimate of it may be wrong by a few milliseconds.
    static milliseconds lease_that_ends_within(milliseconds time) {
        constexpr milliseconds margin{30};
        return (time - margin) * 50 / 51;
    }
    // No run is started under a shorter lease, which could end before its first renewal.
    milliseconds min_start_lease{100};
    // Maximum time for which a backend server holds back its answer to a hold order. If the answer is lost,
    // the agent learns of ended runs this much later, about a third of the objective of the shortest tasks
    // (156 ms).
    milliseconds max_hold_wait{60};
    // Bounds of the timeout of an order. The timeout is estimated from past answers: a backend server on the
    // same machine answers within a millisecond, but a slow agent reads the answer much later. A timeout that
    // is too short costs one more order, which raises the fencing token.
    milliseconds min_order_timeout{15};
    milliseconds max_order_timeout{60};
    // A backend server counts as unresponsive if it has answered none of the orders sent within this time.
    // Two unanswered orders are not sufficient evidence, because single orders may be lost.
    milliseconds silence_timeout{200};
    // Ends are acknowledged only if the backend server answered an order sent within this time. A backend
    // server that has restarted since would take the numbers for those of its new ends and delete them. A
    // restart takes longer than this time.
    milliseconds max_reply_age_to_acknowledge{400};
    // Retry delay for a backend server that does not answer.
    milliseconds retry_delay{100};
    // Maximum number of start orders in flight. Each of them needs its own connection.
    std::size_t max_starts_in_flight = 8;
    // A run that is queued for longer than this is returned to its owner, which may find another agent for
    // it. The shortest jobs have about 50 ms to spare, and moving a run to another agent takes part of that
    // time.
    milliseconds queue_timeout{30};
    // Maximum number of entries that an agent serves. It bounds the connections and messages of an agent, and
    // those of an entry depend on the ratio of agents to entries instead of the number of agents. With ten
    // entries, an agent is still connected after the loss of half of all entries.
    std::size_t max_entries = 10;
    // An entry that the agent no longer serves is told to send no more runs. The connection is closed after
    // this time, when all start messages that were in flight have arrived, and when its runs have ended.
    milliseconds release_delay{1000};
    // How long a request for a connection holds. The entry repeats it more often than this while it needs it.
    milliseconds connection_request_duration{4000};
    // Maximum number of further entries that an agent serves because their tasks wait for capacity. With two
    // of them, the interval of capacity reports grows from 100 to 120 ms.
    std::size_t max_extra_entries = 2;
    // Minimum time between two messages to one entry that report only free capacity or started runs. With
    // more frequent messages all entries would compete for every slot that becomes free. The time grows with
    // the number of entries, because otherwise an agent with many entries would spend more time on messages
    // than on its runs.
    milliseconds min_capacity_report_interval{60};
    milliseconds capacity_report_interval_per_entry{10};
    milliseconds capacity_report_interval(std::size_t entries) const {
        return std::max(min_capacity_report_interval,
                        capacity_report_interval_per_entry * static_cast<std::int64_t>(entries));
    }
    // The agent pings an entry that has not echoed a clock reading for this time.
    milliseconds ping_interval{300};
    // Interval at which runs without a known owner are offered to all entries. An entry may have adopted
    // their jobs since the last offer.
    milliseconds orphan_offer_interval{1000};
    // A run that was found at the backend server is stopped if none of the connected entries has claimed it
    // within this time, several times a round trip. No lease is renewed meanwhile, so longer waits would cost
    // the claimed runs too.
    milliseconds claim_timeout{200};
    // If the owner of an ended run has been unreachable for this time, the end is offered to all entries,
    // because the owner's successor may never have connected to this agent.
    milliseconds owner_absence_timeout = durable_owner_absence;
    // A task counts as stalled after a quarter of its expected run time without progress. Progress is
    // reported in percent, and a slow backend server may take several times as long as expected. The minimum
    // allows for two waits for a list. The maximum limits the effect of an expectation that is too long.
    milliseconds min_stall_timeout{100};
    milliseconds max_stall_timeout{400};
    milliseconds stall_timeout(milliseconds expected) const {
        return expected.count() == 0 ? max_stall_timeout
                                     : std::clamp(expected / 4, min_stall_timeout, max_stall_timeout);
    }
    // After a backend server was suspect, the agent offers the CPU and memory capacity divided by this number
    // until a run succeeds.
    static constexpr std::int64_t probation_divisor = 8;
    // What is offered of this capacity then.
    static constexpr resources probation_capacity(const resources& all) {
        return {all.cpu_millicores / probation_divisor, all.memory_mb / probation_divisor, all.gpus};
    }
    // Delay before the next hold order if the last one was answered early and showed no new end. Without the
    // delay, ends that are not yet recorded would make the agent send hold orders in a busy loop.
    milliseconds min_list_interval{10};
    // Start queued runs by the time left until they must start, and predict when capacity comes free; a
    // setting.
    bool orders_runs_by_urgency = false;
};

} // namespace persimmonstile

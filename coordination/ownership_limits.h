#pragma once

#include <chrono>
#include <cstddef>

namespace persimmonstile {

// Maximum number of grantors in a table. A larger set would cost more messages without improving
// availability.
constexpr std::size_t max_grantors = 11;

// A grantor that stays disconnected for this long is replaced.
constexpr std::chrono::seconds grantor_absence_timeout{60};

// The first table is written after no agent has connected for this long, so that agents that start together
// become grantors together. An agent must also have been connected for this long to count as a spare.
constexpr std::chrono::milliseconds agent_stability_time{1000};

// Interval at which an entry reads the store while there is no table.
constexpr std::chrono::milliseconds bootstrap_poll_interval{2000};

// Maximum age of a grant reply whose report of a silent entry still counts.
constexpr std::chrono::milliseconds max_silence_report_age{1000};

// Interval at which every connected agent incarnation is sent to the grantors again. It must stay well below
// the deduplication window, after which a grantor drops a record that appears replaced.
constexpr std::chrono::seconds record_refresh_interval{60};

// An entry makes at most one store call per min_store_call_interval on average. A read and a write may follow
// each other directly if the store has not failed for store_recovery_time.
constexpr std::chrono::milliseconds min_store_call_interval{1000};
constexpr std::chrono::seconds store_recovery_time{10};
constexpr std::chrono::milliseconds max_store_backoff{2000};

// Upper bounds of the random delay before a table change and after a lost race. The bound after a lost race
// doubles with each further one, up to max_race_backoff. The delay makes it unlikely that entries that
// detect the same failure write at the same time.
constexpr std::chrono::milliseconds max_change_jitter{200};
constexpr std::chrono::milliseconds initial_race_backoff{200};
constexpr std::chrono::milliseconds max_race_backoff{800};

} // namespace persimmonstile

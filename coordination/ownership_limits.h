#pragma once

#include <chrono>
#include <cstddef>

namespace persimmonstile {

// Maximum number of grantors in a table. More would add messages without improving availability.
constexpr std::size_t maximum_grantors = 11;

// A grantor that stays disconnected for this long is replaced.
constexpr std::chrono::seconds grantor_absence_limit{60};

// The first table is written after no agent has joined for this long, so that agents that start together
// become grantors together.
constexpr std::chrono::milliseconds bootstrap_quiet_time{1000};

// Interval at which an entry polls the store while there is no table.
constexpr std::chrono::milliseconds bootstrap_poll_interval{2000};

// Maximum age of a grant reply that counts as evidence that an entry is silent.
constexpr std::chrono::milliseconds silence_report_lifetime{1000};

// Interval at which each agent incarnation is sent to the grantors again. It must stay well below the
// deduplication window, after which a grantor drops a record that appears replaced.
constexpr std::chrono::seconds record_refresh_interval{60};

// An entry makes one store call per second. A read and a write may follow each other directly if the store
// has not failed for store_recovery_time.
constexpr std::chrono::milliseconds store_call_interval{1000};
constexpr std::chrono::seconds store_recovery_time{10};
constexpr std::chrono::milliseconds store_backoff_limit{2000};

// Upper bounds of the random delay before a table change and after a lost race. The delay makes it unlikely
// that entries which detect the same failure write at the same time.
constexpr std::chrono::milliseconds change_jitter{200};
constexpr std::chrono::milliseconds race_backoff{200};
constexpr std::chrono::milliseconds race_backoff_limit{800};

} // namespace persimmonstile

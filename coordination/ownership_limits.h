#pragma once

#include <chrono>
#include <cstddef>

namespace persimmonstile {

// Grantors named in a table. More would add messages without better availability.
constexpr std::size_t maximum_grantors = 11;

// A grantor that is not connected for this long is replaced.
constexpr std::chrono::seconds grantor_absence_limit{60};

// The first table waits until no agent has joined for this long, so that agents which start together become
// grantors together.
constexpr std::chrono::milliseconds bootstrap_quiet_time{1000};

// How often an entry looks for a table while there is none.
constexpr std::chrono::milliseconds bootstrap_poll_interval{2000};

// The oldest grant reply that counts as evidence that an entry is silent.
constexpr std::chrono::milliseconds silence_report_lifetime{1000};

// Each agent incarnation is listed to the grantors again after this long. It has to stay well below the
// deduplication window, after which a grantor forgets a record that looks replaced.
constexpr std::chrono::seconds record_refresh_interval{60};

// Store calls of one entry: one a second; a read and a write may follow each other directly when the store
// has not failed for a while.
constexpr std::chrono::milliseconds store_call_interval{1000};
constexpr std::chrono::seconds store_recovery_time{10};
constexpr std::chrono::milliseconds store_backoff_limit{2000};

// Bounds of the random delay before a table change and after a lost race. Entries that notice the same
// failure at the same time then rarely write at the same time.
constexpr std::chrono::milliseconds change_jitter{200};
constexpr std::chrono::milliseconds race_backoff{200};
constexpr std::chrono::milliseconds race_backoff_limit{800};

} // namespace persimmonstile

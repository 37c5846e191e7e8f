#pragma once

#include "coordination/store_lease.h"
#include "coordination/store_results.h"
#include "protocol/decode_error.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace persimmonstile {

// Bodies of the etcd v3 JSON gateway. Keys and values are base64, 64-bit numbers are strings, and fields with
// a zero value are left out of responses.

std::string encode_range_request(const std::string& key);
std::string encode_put_request(const std::string& key, const std::string& value, std::int64_t lease_id);

// Puts the value if the key's mod_revision is the expected one, else reads the key.
std::string encode_swap_request(const std::string& key, const std::string& value, store_revision expected);

std::string encode_lease_grant_request(std::chrono::seconds time_to_live);
std::string encode_lease_keepalive_request(std::int64_t lease_id);

// Watches one key from the given revision on.
std::string encode_watch_request(const std::string& key, store_revision start);

std::variant<stored_value, store_missing, decode_error> decode_range_response(std::string_view body);
std::variant<store_written, decode_error> decode_put_response(std::string_view body);
std::variant<store_written, store_lost_race, decode_error> decode_swap_response(std::string_view body);
std::variant<store_lease, decode_error> decode_lease_grant_response(std::string_view body);
std::variant<store_lease, lease_expired, decode_error> decode_lease_keepalive_response(std::string_view body);

// The watch was cancelled because the start revision is no longer kept; the key has to be read instead.
struct watch_compacted {};
// A message without a change, such as the confirmation that the watch was created.
struct watch_progress {};

// Decodes one line of the watch stream. Of several events the last one counts.
std::variant<stored_value, store_missing, watch_compacted, watch_progress, decode_error>
decode_watch_message(std::string_view line);

} // namespace persimmonstile

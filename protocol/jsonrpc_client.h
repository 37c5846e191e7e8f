#pragma once

#include <string>

namespace persimmonstile {

// Text of a JSON-RPC 2.0 notification. params_json must be a JSON object or array.
// Kept free of library types, because the client headers of libjsonrpccpp compile only as C++14.
std::string build_notification(const std::string& method, const std::string& params_json);

} // namespace persimmonstile

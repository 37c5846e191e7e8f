#pragma once

#include <cstdint>
#include <string>

namespace persimmonstile {

// How a call to the backend server ended.
//   answered   2xx with the task's own Task-Id
//   error      the backend server reported an error
//   declined   the backend server promised that it did not start the task, or no connection could be opened;
//              the task may therefore be sent elsewhere
//   lost       no answer, or one that names another task
enum class backend_result_kind : std::uint8_t { answered, error, declined, lost };

struct backend_result {
    backend_result_kind kind = backend_result_kind::lost;
    // Body of the answer, or a description of the error.
    std::string text;
};

} // namespace persimmonstile

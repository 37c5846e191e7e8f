#include "cli/command_list.h"

#include "cli/explain_job_command.h"
#include "cli/load_command.h"
#include "cli/standin_backend_command.h"
#include "cli/status_command.h"
#include "cli/submit_command.h"

#include <array>

namespace persimmonstile {
namespace {

constexpr std::array commands{
    command{"submit", "submit one job and wait for its outcome", &run_submit},
    command{"load", "send a workload and compare response times with the ideal", &run_load},
    command{"explain job", "show from span files where a job's time went", &run_explain_job},
    command{"status", "show revision, owner table, agents and load of entries", &run_status},
    command{"standin backend", "run a backend server stand-in", &run_standin_backend},
};

} // namespace

std::span<const command> command_list() {
    return commands;
}

} // namespace persimmonstile

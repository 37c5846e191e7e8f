#include "cli/command_list.h"

#include "cli/apply_command.h"
#include "cli/check_command.h"
#include "cli/explain_config_command.h"
#include "cli/explain_job_command.h"
#include "cli/explain_request_command.h"
#include "cli/history_command.h"
#include "cli/load_command.h"
#include "cli/local_command.h"
#include "cli/plan_command.h"
#include "cli/replay_command.h"
#include "cli/report_load_command.h"
#include "cli/standin_backend_command.h"
#include "cli/standin_store_command.h"
#include "cli/status_command.h"
#include "cli/submit_command.h"
#include "cli/zone_command.h"

#include <array>

namespace persimmonstile {
namespace {

constexpr std::array commands{
    command{"check", "check the declarations in a directory", &run_check},
    command{"plan", "show what applying a directory would change", &run_plan},
    command{"apply", "make the declarations in a directory the next revision", &run_apply},
    command{"history", "list accepted revisions with their reasons", &run_history},
    command{"zone", "take an availability zone out of service or bring it back", &run_zone},
    command{"explain job", "show from span files where a job's time went", &run_explain_job},
    command{"explain request", "show from log files what was decided about a request", &run_explain_request},
    command{"explain", "show which default or exception sets a value", &run_explain_config},
    command{"report load", "show from log files how jobs ended and what capacity was lost", &run_report_load},
    command{"status", "show revision, owner table, agents and load of entries", &run_status},
    command{"submit", "submit one job and print its outcome", &run_submit},
    command{"load", "drive a deployment and compare response times with the ideal", &run_load},
    command{"replay", "repeat the decisions of an entry from its recorded events", &run_replay},
    command{"local", "run a whole deployment in this process", &run_local},
    command{"standin backend", "run a backend server stand-in", &run_standin_backend},
    command{"standin store", "run a stand-in for the store", &run_standin_store},
};

} // namespace

std::span<const command> command_list() {
    return commands;
}

} // namespace persimmonstile

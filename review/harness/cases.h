#pragma once

#include "site.h"

namespace persimmonstile::review {

// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

// Each plays one case and returns an exit code. The folders beside this one describe them.
int play_repeated_job(site& world);
int play_lost_job(site& world);
int play_failure_counted_twice(site& world);
int play_cancelled_task(site& world);
int play_stale_owner(site& world);
int play_wrong_kind(site& world);
int play_done_task_again(site& world);
int play_adoption_limit(site& world);

} // namespace persimmonstile::review

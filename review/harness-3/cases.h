#pragma once

namespace persimmonstile::review {

struct case_options;

// Each returns the exit code of its script: 0 if the rule held, 1 if it was broken, 2 if the case could not
// run.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

int play_case_11(const case_options& options);
int play_case_12(const case_options& options);
int play_case_13(const case_options& options);
int play_case_14(const case_options& options);
int play_case_15(const case_options& options);

} // namespace persimmonstile::review

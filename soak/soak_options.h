#pragma once

#include "state/time.h"

#include <cstdint>
#include <string>

namespace persimmonstile::soak {

// What a run of the soak plays. The same options and seed play the same jobs and faults; how they meet
// depends on the machine.
struct soak_options {
    std::uint64_t seed = 1;
    // Directory of the programs, and one for settings and logs.
    std::string programs;
    std::string work;
    int entries = 3;
    int backends = 6;
    double jobs_per_second = 60;
    // Part of the jobs that are kept in the store.
    double kept = 0.3;
    // Part of the kept jobs that are cancelled.
    double cancelled = 0.05;
    // Rounds of faults, each followed by a calm time.
    int rounds = 2;
    milliseconds storm{8000};
    milliseconds calm{6000};
    // Faults of a storm that are begun in a second.
    double faults_per_second = 1.2;
    std::string log_level = "info";
};

} // namespace persimmonstile::soak

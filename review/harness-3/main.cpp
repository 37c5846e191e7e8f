#include "review/harness-3/cases.h"
#include "review/harness-3/world.h"
#include "transport/logging.h"

#include <csignal>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

// Arguments: number of the case, program, directory for settings and logs, record file, 0 or 1 (TROUBLE).
int main(int argc, char** argv) {
    using namespace persimmonstile;
    const std::map<std::string, std::function<int(const review::case_options&)>> cases{
        {"11", review::play_case_11},
        {"12", review::play_case_12},
        {"13", review::play_case_13},
        {"14", review::play_case_14},
        {"15", review::play_case_15}};
    if (argc != 6 || !cases.contains(argv[1])) {
        std::cerr << "usage: review3 CASE PROGRAM WORK RECORD TROUBLE\n";
        return review::not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    for (const int number : {SIGTERM, SIGINT, SIGHUP})
        std::signal(number, [](int) { review::end_case(); });
    try {
        return cases.at(argv[1])({argv[2], argv[3], argv[4], std::string{argv[5]} != "0"});
    } catch (const std::exception& error) {
        std::cerr << "review3: " << error.what() << '\n';
        return review::not_run;
    }
}

#include "cases.h"
#include "transport/logging.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <map>
#include <string>

namespace {

volatile std::sig_atomic_t is_asked_to_end = 0;

void ask_to_end(int) {
    is_asked_to_end = 1;
}

} // namespace

// Usage: review-case NAME PROGRAMS_DIR WORK_DIR RECORD. TROUBLE=0 leaves the disruption out.
int main(int argc, char** argv) {
    using namespace persimmonstile;
    using namespace persimmonstile::review;
    const std::map<std::string, int (*)(site&)> cases{{"repeated_job", play_repeated_job},
                                                      {"lost_job", play_lost_job},
                                                      {"failure_counted_twice", play_failure_counted_twice},
                                                      {"cancelled_task", play_cancelled_task},
                                                      {"stale_owner", play_stale_owner},
                                                      {"wrong_kind", play_wrong_kind},
                                                      {"done_task_again", play_done_task_again},
                                                      {"adoption_limit", play_adoption_limit}};
    if (argc != 5 || !cases.contains(argv[1])) {
        std::cerr << "usage: review-case NAME PROGRAMS_DIR WORK_DIR RECORD\n";
        return could_not_run;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGTERM, ask_to_end);
    std::signal(SIGINT, ask_to_end);
    const char* trouble = std::getenv("TROUBLE");
    site_options options{argv[2], argv[3], argv[4], trouble == nullptr || std::string{trouble} != "0"};
    try {
        asio::io_context context{1};
        site world{context, options};
        world.set_end_check([] { return is_asked_to_end != 0; });
        const int code = cases.at(argv[1])(world);
        world.note("exit code " + std::to_string(code));
        return code;
    } catch (const std::exception& error) {
        std::cerr << "review-case: " << error.what() << '\n';
        return could_not_run;
    }
}

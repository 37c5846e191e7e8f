#include "tests/entry_core_fixture.h"

namespace persimmonstile {
namespace {

entry_limits small_limits() {
    entry_limits limits;
    limits.max_job_bytes = 200'000;
    return limits;
}

class job_memory_limit_test : public entry_core_test {
protected:
    job_memory_limit_test()
        : entry_core_test{small_limits()} {
        prepare();
    }

    submit_refusal refusal_of(const job_submission& request) {
        const auto reply = reply_to(submit(request));
        return reply && reply->kind == caller_reply_kind::refused ? reply->reason : submit_refusal::none;
    }
};

// Guards against small bodies that exhaust the memory because they ask for very many tasks, and against a
// limit that stays reached after the jobs that reached it are gone.
TEST_F(job_memory_limit_test, refuses_jobs_while_the_open_ones_use_up_the_memory) {
    const caller_token first = submit(job("a", false, 900));
    EXPECT_FALSE(reply_to(first));
    EXPECT_EQ(refusal_of(job("b", false, 200)), submit_refusal::overloaded);
    EXPECT_EQ(refusal_of(job("c", false, 2)), submit_refusal::none);
    entry_.caller_left(first, now_);
    EXPECT_EQ(refusal_of(job("b", false, 200)), submit_refusal::none);
}

// Guards against a caller that is told to retry a job which can never be admitted, and against repeated jobs
// that are counted as one occurrence.
TEST_F(job_memory_limit_test, refuses_a_job_that_alone_exceeds_the_memory_for_good) {
    EXPECT_EQ(refusal_of(job("a", false, 2000)), submit_refusal::too_large);
    job_submission repeated = job("b", true, 1);
    repeated.plan.repeat_count = 1'000'000;
    EXPECT_EQ(refusal_of(repeated), submit_refusal::too_large);
}

} // namespace
} // namespace persimmonstile

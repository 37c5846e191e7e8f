#include "tests/entry_core_fixture.h"

namespace persimmonstile {
namespace {

entry_limits limits_for_test() {
    entry_limits limits;
    limits.max_open_tasks = 1000;
    return limits;
}

class open_task_limit_test : public entry_core_test {
protected:
    open_task_limit_test()
        : entry_core_test{limits_for_test()} {
        prepare();
    }
};

// Guards against bodies within the size limit that exhaust the memory because they ask for very many tasks.
TEST_F(open_task_limit_test, refuses_large_jobs_beyond_the_limit_and_admits_small_ones) {
    const caller_token first = submit(job("a", false, 900));
    EXPECT_FALSE(reply_to(first));
    const caller_token refused = submit(job("b", false, 200));
    ASSERT_TRUE(reply_to(refused));
    EXPECT_EQ(reply_to(refused)->kind, caller_reply_kind::refused);
    EXPECT_EQ(reply_to(refused)->reason, submit_refusal::overloaded);
    const caller_token small = submit(job("c", false, 2));
    EXPECT_FALSE(reply_to(small));
}

// Guards against a limit that stays reached after the tasks that reached it are gone.
TEST_F(open_task_limit_test, admits_large_jobs_again_when_others_have_ended) {
    const caller_token first = submit(job("a", false, 900));
    entry_.caller_left(first, now_);
    const caller_token second = submit(job("b", false, 200));
    EXPECT_FALSE(reply_to(second));
}

} // namespace
} // namespace persimmonstile

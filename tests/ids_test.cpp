#include "state/ids.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Guards against a changed hash: processes of two versions would disagree about the owner of a job. Checks
// that equal ids have the same partition and that it is below partition_count.
TEST(ids, partition_of_is_stable) {
    EXPECT_EQ(partition_of("job-1"), partition_of(std::string{"job-1"}));
    EXPECT_LT(partition_of("0190163d-8694-739b-aea5-966c26f8ad91"), partition_count);
}

// Guards against accepting ids that cannot be written into a path, a header or a log line.
TEST(ids, rejects_characters_outside_the_allowed_set) {
    EXPECT_TRUE(is_valid_job_id("A.b_c-9"));
    EXPECT_FALSE(is_valid_job_id(""));
    EXPECT_FALSE(is_valid_job_id("a/b"));
    EXPECT_FALSE(is_valid_job_id("a b"));
    EXPECT_FALSE(is_valid_job_id(std::string(max_job_id_length + 1, 'a')));
}

} // namespace
} // namespace persimmonstile

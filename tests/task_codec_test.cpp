#include "protocol/task_codec.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Guards against fields that are lost or exchanged on the wire.
TEST(task_codec, round_trip_keeps_every_field) {
    job_result sent;
    sent.token = 7;
    sent.job = "job";
    sent.reply = job_outcome{job_failed{failure_reason::not_run, "queue is full", 250, true}};
    const auto decoded = decode_task_message(encode_task_message(sent));
    const auto& message = std::get<job_result>(std::get<task_message>(decoded));
    EXPECT_EQ(message.token, 7U);
    EXPECT_EQ(message.job, "job");
    const auto& failed = std::get<job_failed>(std::get<job_outcome>(message.reply));
    EXPECT_EQ(failed.reason, failure_reason::not_run);
    EXPECT_EQ(failed.detail, "queue is full");
    EXPECT_EQ(failed.retry_after_ms, 250);
    EXPECT_TRUE(failed.is_at_capacity);
}

// Guards against a crash or a made-up message when a peer sends garbage or an unknown alternative.
TEST(task_codec, malformed_frames_are_errors) {
    EXPECT_TRUE(std::holds_alternative<decode_error>(decode_task_message("")));
    EXPECT_TRUE(std::holds_alternative<decode_error>(decode_task_message("\xc1\xff")));
    EXPECT_TRUE(std::holds_alternative<decode_error>(decode_task_message("\x92\x63\x90")));
    // Announces more elements than there are bytes.
    EXPECT_TRUE(std::holds_alternative<decode_error>(decode_task_message("\xdd\xff\xff\xff\xff")));
    const std::string whole = encode_task_message(revoke{1, 2, "job", {{1, 1}, {2, 1}, {3, 2}}});
    EXPECT_TRUE(std::holds_alternative<decode_error>(
        decode_task_message(std::string_view{whole}.substr(0, whole.size() - 1))));
}

} // namespace
} // namespace persimmonstile

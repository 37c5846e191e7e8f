#include "transport/metrics.h"

#include <set>
#include <sstream>
#include <thread>
#include <vector>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using ::testing::HasSubstr;
using namespace std::chrono_literals;

// Guards against metric names that dashboards and other parts rely on being changed.
TEST(metrics, exposes_the_published_names) {
    daemon_metrics metrics;
    metrics.messages.add(message_kind::dispatch, 3);
    metrics.wasted_messages.add(kind_of(control_message{view_ping{}}));
    metrics.tasks.add(task_status::not_started);
    metrics.jobs.add(label_of(job_failed{failure_reason::cancelled, {}, 0, false}));
    metrics.jobs.add(label_of(job_completed{}));
    metrics.refusals.add(refusal::zone_out);
    metrics.waiting_tasks.set(7);
    const std::string text = metrics.prometheus_text();
    for (const char* line :
         {"# TYPE persimmonstile_messages_total counter\n",
          "persimmonstile_messages_total{kind=\"dispatch\"} 3\n",
          "persimmonstile_wasted_messages_total{kind=\"view_ping\"} 1\n",
          "persimmonstile_tasks_total{status=\"not_started\"} 1\n",
          "persimmonstile_jobs_total{outcome=\"cancelled\"} 1\n",
          "persimmonstile_jobs_total{outcome=\"complete\"} 1\n",
          "persimmonstile_refusals_total{reason=\"zone_out\"} 1\n",
          "# TYPE persimmonstile_response_seconds histogram\n", "persimmonstile_queue_seconds_count 0\n",
          "persimmonstile_run_seconds_sum 0\n", "persimmonstile_waiting_tasks 7\n"}) {
        EXPECT_THAT(text, HasSubstr(line));
    }
}

// Guards against memory that is overwritten when a peer reports a status that this version does not know.
TEST(metrics, values_beyond_the_enumeration_are_not_counted) {
    daemon_metrics metrics;
    const std::string before = metrics.prometheus_text();
    metrics.tasks.add(static_cast<task_status>(8));
    metrics.refusals.add(static_cast<refusal>(refusal_count));
    EXPECT_EQ(metrics.prometheus_text(), before);
}

// Guards against labels that shift when an alternative is added in the middle of a variant.
TEST(metrics, labels_messages_by_their_type) {
    EXPECT_EQ(kind_of(task_message{dispatch{}}), message_kind::dispatch);
    EXPECT_EQ(kind_of(task_message{revoke{}}), message_kind::revoke);
    EXPECT_EQ(kind_of(task_message{query_job{}}), message_kind::query_job);
    EXPECT_EQ(kind_of(task_message{task_reports{}}), message_kind::task_reports);
    EXPECT_EQ(kind_of(task_message{job_report{}}), message_kind::job_report);
    EXPECT_EQ(kind_of(task_message{forward_job{}}), message_kind::forward_job);
    EXPECT_EQ(kind_of(task_message{forward_lookup{}}), message_kind::forward_lookup);
    EXPECT_EQ(kind_of(task_message{job_result{}}), message_kind::job_result);
    EXPECT_EQ(kind_of(control_message{agent_status{}}), message_kind::agent_status);
    EXPECT_EQ(kind_of(control_message{entry_hello{}}), message_kind::entry_hello);
    EXPECT_EQ(kind_of(control_message{grant_request{}}), message_kind::grant_request);
    EXPECT_EQ(kind_of(control_message{grant_reply{}}), message_kind::grant_reply);
    EXPECT_EQ(kind_of(control_message{table_push{}}), message_kind::table_push);
    EXPECT_EQ(kind_of(control_message{table_ack{}}), message_kind::table_ack);
    EXPECT_EQ(kind_of(control_message{content_request{}}), message_kind::content_request);
    EXPECT_EQ(kind_of(control_message{config_push{}}), message_kind::config_push);
    EXPECT_EQ(kind_of(control_message{view_ping{}}), message_kind::view_ping);
    EXPECT_EQ(kind_of(control_message{view_pong{}}), message_kind::view_pong);
    EXPECT_EQ(kind_of(control_message{recovery_request{}}), message_kind::recovery_request);
    EXPECT_EQ(kind_of(control_message{recovery_reply{}}), message_kind::recovery_reply);
    for (std::size_t i = 0; i < message_kind_count; ++i) {
        EXPECT_FALSE(to_string(static_cast<message_kind>(i)).empty());
    }
    EXPECT_EQ(to_string(message_kind::config_push), "config_push");
    EXPECT_EQ(to_string(message_kind::recovery_reply), "recovery_reply");
}

// Guards against two series with the same name and labels, which Prometheus rejects as a whole.
TEST(metrics, has_no_duplicate_series) {
    const daemon_metrics metrics;
    std::istringstream text{metrics.prometheus_text()};
    std::set<std::string> series;
    for (std::string line; std::getline(text, line);) {
        if (!line.starts_with('#')) {
            EXPECT_TRUE(series.insert(line.substr(0, line.rfind(' '))).second) << line;
        }
    }
}

// Guards against durations outside the axis that are lost or counted at the wrong end.
TEST(duration_histogram, counts_every_duration) {
    duration_histogram histogram{"h", "help"};
    for (const std::chrono::nanoseconds duration :
         std::initializer_list<std::chrono::nanoseconds>{-5ms, 0ns, 1ns, 10us, 1ms, 100s, 200s}) {
        histogram.record(duration);
    }
    EXPECT_EQ(histogram.count(), 7U);
    std::string text;
    histogram.append_text(text);
    EXPECT_THAT(text, HasSubstr("h_bucket{le=\"1.12202e-05\"} 4\n"));
    EXPECT_THAT(text, HasSubstr("h_bucket{le=\"100\"} 5\n"));
    EXPECT_THAT(text, HasSubstr("h_bucket{le=\"+Inf\"} 7\n"));
    EXPECT_THAT(text, HasSubstr("h_count 7\n"));
}

// Guards against a quantile that is off by more than the width of one bucket (12.2%).
TEST(duration_histogram, quantile_is_within_one_bucket) {
    duration_histogram histogram{"h", "help"};
    EXPECT_EQ(histogram.quantile(0.5).count(), 0);
    for (int i = 1; i <= 1000; ++i) {
        histogram.record(std::chrono::milliseconds{i});
    }
    for (const double share : {0.5, 0.99}) {
        EXPECT_GE(histogram.quantile(share).count(), share);
        EXPECT_LE(histogram.quantile(share).count(), share * 1.123);
    }
}

// Guards against updates lost between threads; there are more threads than shards.
TEST(metrics, loses_no_update_of_concurrent_threads) {
    constexpr std::size_t thread_count = metric_shard_count + 4;
    constexpr std::uint64_t update_count = 2000;
    daemon_metrics metrics;
    {
        std::vector<std::jthread> threads;
        for (std::size_t i = 0; i < thread_count; ++i) {
            threads.emplace_back([&] {
                for (std::uint64_t j = 0; j < update_count; ++j) {
                    metrics.messages.add(message_kind::dispatch);
                    metrics.run_time.record(1ms);
                    metrics.running_tasks.add(1);
                }
            });
        }
    }
    EXPECT_EQ(metrics.messages.value(message_kind::dispatch), thread_count * update_count);
    EXPECT_EQ(metrics.run_time.count(), thread_count * update_count);
    EXPECT_EQ(metrics.running_tasks.value(), static_cast<std::int64_t>(thread_count * update_count));
}

} // namespace
} // namespace persimmonstile

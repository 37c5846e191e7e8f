#include "platform/job_codec.h"
#include "platform/order_codec.h"
#include "platform/registration_codec.h"
#include "platform/store_codec.h"
#include "standins/caller_wire.h"
#include "standins/kv_wire.h"
#include "standins/order_wire.h"

#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// The adapter's request as the stand-in's server receives it.
http_request received(const std::string& method, const std::string& target, const std::string& body) {
    http_request request;
    request.method = method;
    const std::size_t query = target.find('?');
    request.path = target.substr(0, query);
    request.query = query == std::string::npos ? "" : target.substr(query + 1);
    request.body = body;
    return request;
}

http_answer answered(const http_response& response) {
    http_answer answer;
    answer.status = response.status;
    answer.body = response.body;
    answer.sent = true;
    return answer;
}

store_call through_the_wire(const store_call& call) {
    const platform::store_http_request sent = platform::encode_store_call(call);
    const std::optional<store_call> read = decode_kv_request(received(sent.method, sent.target, sent.body));
    EXPECT_TRUE(read);
    return read.value_or(store_call{});
}

store_reply through_the_wire(const store_call& call, const store_reply& reply) {
    return platform::decode_store_answer(call, answered(encode_kv_reply(call, reply)));
}

// Guards against a stand-in that understands calls otherwise than the adapter means them.
TEST(standin_wire, store_calls_arrive_as_they_were_sent) {
    const auto write = std::get<store_write>(
        through_the_wire(store_write{{{"a b", 3}}, {{"k", std::string{"v"}, 7}}, {"gone"}}));
    EXPECT_EQ(write.conditions.at(0).key, "a b");
    EXPECT_EQ(write.conditions.at(0).revision, 3U);
    EXPECT_EQ(write.puts.at(0).lease, 7U);
    EXPECT_EQ(write.removals.at(0), "gone");
    EXPECT_EQ(std::get<store_read>(through_the_wire(store_read{"x/y z"})).key, "x/y z");
    const auto list = std::get<store_list>(through_the_wire(store_list{"p/", "p/q"}));
    EXPECT_EQ(list.prefix, "p/");
    EXPECT_EQ(list.after_key, "p/q");
    const auto watch = std::get<store_watch>(through_the_wire(store_watch{"p/", 12, 500}));
    EXPECT_EQ(watch.after_revision, 12U);
    EXPECT_EQ(watch.wait_ms, 500);
    EXPECT_EQ(std::get<lease_open>(through_the_wire(lease_open{2000})).time_to_live_ms, 2000);
    EXPECT_EQ(std::get<lease_renew>(through_the_wire(lease_renew{9})).lease, 9U);
    EXPECT_EQ(std::get<lease_close>(through_the_wire(lease_close{9})).lease, 9U);
}

TEST(standin_wire, store_replies_arrive_as_they_were_sent) {
    const store_item item{"op/k", std::string{"value"}, 5};
    EXPECT_EQ(std::get<write_applied>(through_the_wire(store_write{}, write_applied{8})).revision, 8U);
    EXPECT_EQ(std::get<write_conflict>(through_the_wire(store_write{}, write_conflict{{item}}))
                  .items.at(0)
                  .revision,
              5U);
    const auto found = std::get<item_found>(through_the_wire(store_read{"op/k"}, item_found{item}));
    EXPECT_EQ(std::get<std::string>(found.item.value), "value");
    EXPECT_TRUE(std::holds_alternative<item_missing>(through_the_wire(store_read{"op/k"}, item_missing{})));
    const auto page = std::get<item_listing>(through_the_wire(store_list{}, item_listing{{item}, true, 6}));
    EXPECT_TRUE(page.has_more);
    EXPECT_EQ(page.revision, 6U);
    const auto changes =
        std::get<item_changes>(through_the_wire(store_watch{}, item_changes{{item, {"op/gone", {}, 0}}, 7}));
    EXPECT_EQ(changes.items.at(1).revision, 0U);
    EXPECT_TRUE(std::holds_alternative<history_lost>(through_the_wire(store_watch{}, history_lost{})));
    EXPECT_EQ(std::get<lease_valid>(through_the_wire(lease_open{}, lease_valid{4, 2000})).lease, 4U);
    EXPECT_TRUE(std::holds_alternative<lease_missing>(through_the_wire(lease_renew{4}, lease_missing{})));
}

TEST(standin_wire, orders_and_their_replies_arrive_as_they_were_sent) {
    const run_ref run{{"00000000000000aa", 0, 1, 2}, 3};
    backend_order order;
    order.fencing_token = 5;
    order.lease_until_ms = 700;
    order.action = start_order{run, "payload", "saved"};
    const platform::order_http_request sent = platform::encode_order(order);
    const std::optional<backend_order> read = decode_order_request(received("POST", sent.path, sent.body));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->fencing_token, 5U);
    EXPECT_EQ(read->lease_until_ms, 700);
    EXPECT_EQ(std::get<start_order>(read->action).run, run);
    EXPECT_EQ(std::get<start_order>(read->action).checkpoint, "saved");
    order.action = hold_order{9, milliseconds{60}, false};
    const platform::order_http_request hold = platform::encode_order(order);
    const std::optional<backend_order> read_hold =
        decode_order_request(received("POST", hold.path, hold.body));
    ASSERT_TRUE(read_hold);
    EXPECT_EQ(std::get<hold_order>(read_hold->action).acknowledged_end, 9U);
    EXPECT_FALSE(std::get<hold_order>(read_hold->action).renews);

    backend_reply reply;
    reply.verdict = backend_verdict::accepted;
    reply.clock_ms = 11;
    reply.life = 22;
    reply.running.push_back({run, "c", 40});
    reply.ended.push_back({6, run, run_state::failed, ""});
    const backend_reply got = platform::decode_order_answer(order, answered(encode_order_reply(reply)));
    EXPECT_EQ(got.verdict, backend_verdict::accepted);
    EXPECT_EQ(got.life, 22U);
    EXPECT_EQ(got.running.at(0).percent, 40U);
    EXPECT_EQ(got.ended.at(0).final_state, run_state::failed);
    for (const backend_verdict refusal :
         {backend_verdict::fenced, backend_verdict::old_run, backend_verdict::late, backend_verdict::no_room,
          backend_verdict::unhealthy}) {
        reply.verdict = refusal;
        EXPECT_EQ(platform::decode_order_answer(order, answered(encode_order_reply(reply))).verdict, refusal);
    }
}

TEST(standin_wire, announcements_and_jobs_arrive_as_they_were_sent) {
    backend_announcement announcement;
    announcement.profile.service = "dispatch";
    announcement.profile.zone = "zone";
    announcement.profile.life = 44;
    announcement.profile.capacity = {32000, 1024, 0};
    announcement.profile.labels = {"a", "r1-0"};
    announcement.profile.draining = true;
    announcement.sequence = 3;
    const auto read = platform::decode_announcement("id", encode_announcement(announcement, "127.0.0.1:1"));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->profile.life, 44U);
    EXPECT_EQ(read->profile.rack, "r1-0");
    EXPECT_TRUE(read->profile.draining);

    job_plan plan;
    plan.payload = "60";
    plan.is_durable = false;
    plan.steps.emplace_back();
    plan.steps[0].task_count = 4;
    const http_client_request request = submit_request("127.0.0.1:1", {}, "job", plan, milliseconds{100});
    const auto job = platform::decode_job(request.body);
    ASSERT_TRUE(std::holds_alternative<job_plan>(job));
    EXPECT_FALSE(std::get<job_plan>(job).is_durable);
    EXPECT_EQ(std::get<job_plan>(job).steps.at(0).task_count, 4U);
    http_answer answer;
    answer.status = 200;
    answer.body = platform::encode_state(job_state::cancelled);
    EXPECT_EQ(state_in(answer), job_state::cancelled);
}

} // namespace
} // namespace persimmonstile

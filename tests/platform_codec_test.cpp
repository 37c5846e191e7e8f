#include "coordination/member_directory.h"
#include "coordination/prefix_view.h"
#include "coordination/store_keys.h"
#include "platform/config_codec.h"
#include "platform/job_codec.h"
#include "platform/order_codec.h"
#include "platform/registration_codec.h"
#include "platform/store_codec.h"
#include "protocol/base64.h"
#include "protocol/bounded_json.h"
#include "protocol/record_codec.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile::platform {
namespace {

using nlohmann::json;

http_answer make_answer(long status, const std::string& body = {}) {
    http_answer answer;
    answer.status = status;
    answer.body = body;
    answer.sent = true;
    return answer;
}

// ---- Store ----

TEST(store_codec, writes_conditions_values_and_removals) {
    job_status status;
    status.owner = {"entry", 3};
    const store_write write{{{"a", 0}}, {{"persimmonstile/j/1", status, 77}}, {"b"}};
    const store_http_request request = encode_store_call(write);
    EXPECT_EQ(request.method, "POST");
    EXPECT_EQ(request.target, "/kv-txn");
    const json body = json::parse(request.body);
    EXPECT_EQ(body["Precondition"], json::parse(R"([{"Key":"a","Revision":0}])"));
    EXPECT_EQ(body["Remove"], json::parse(R"(["b"])"));
    EXPECT_EQ(body["SetKeys"][0]["Lease"], 77);
    const auto bytes = decode_base64(body["SetKeys"][0]["Value"].get<std::string>());
    ASSERT_TRUE(bytes);
    const auto record = decode_record<stored_record>(*bytes);
    ASSERT_TRUE(record);
    EXPECT_EQ(std::get<job_status>(*record).owner, status.owner);
}

// The progress of a task as earlier versions stored it, without the numbers of the failed runs.
struct former_task_progress {
    std::uint32_t occurrence = 1;
    std::uint32_t step = 2;
    task_index index = 3;
    bool is_done = false;
    std::uint32_t failures = 4;
    std::string checkpoint = "saved";

    static constexpr auto members() {
        return std::make_tuple(&former_task_progress::occurrence, &former_task_progress::step,
                               &former_task_progress::index, &former_task_progress::is_done,
                               &former_task_progress::failures, &former_task_progress::checkpoint);
    }
};

// Guards against records that the entries of the neighbouring version cannot read, during an upgrade or after
// a return to the former version.
TEST(store_codec, reads_the_progress_that_the_neighbouring_version_stored) {
    const auto stored_before = decode_record<task_progress>(encode_record(former_task_progress{}));
    ASSERT_TRUE(stored_before);
    EXPECT_EQ(*stored_before, (task_progress{1, 2, 3, false, 4, "saved", {}}));
    const auto stored_now =
        decode_record<former_task_progress>(encode_record(task_progress{1, 2, 3, false, 5, "saved", {1, 7}}));
    ASSERT_TRUE(stored_now);
    EXPECT_EQ(stored_now->failures, 5U);
}

// The status of a job as earlier versions stored it, which knew no withdrawal.
struct former_job_status {
    job_state state = job_state::queued;
    incarnation owner{"entry", 3};
    std::int64_t ended_ms = 7;

    static constexpr auto members() {
        return std::make_tuple(&former_job_status::state, &former_job_status::owner,
                               &former_job_status::ended_ms);
    }
};

// Guards against the same for the status of a job. An earlier version takes a withdrawn job for a cancelled
// one, so it does not run it either.
TEST(store_codec, reads_the_status_that_the_neighbouring_version_stored) {
    const auto stored_before = decode_record<job_status>(encode_record(former_job_status{}));
    ASSERT_TRUE(stored_before);
    EXPECT_EQ(stored_before->state, job_state::queued);
    EXPECT_EQ(stored_before->owner, (incarnation{"entry", 3}));
    EXPECT_FALSE(stored_before->is_withdrawn);
    const auto stored_now = decode_record<former_job_status>(
        encode_record(job_status{job_state::cancelled, {"entry", 3}, 7, true}));
    ASSERT_TRUE(stored_now);
    EXPECT_EQ(stored_now->state, job_state::cancelled);
}

TEST(store_codec, distinguishes_unapplied_from_possibly_applied_writes) {
    const store_call write = store_write{};
    const auto failure = [&](const http_answer& answer) {
        return std::get<store_failure>(decode_store_answer(write, answer)).may_have_applied;
    };
    EXPECT_FALSE(failure(make_answer(503)));
    EXPECT_FALSE(failure(make_answer(429)));
    EXPECT_TRUE(failure(make_answer(500)));
    http_answer unsent;
    EXPECT_FALSE(failure(unsent));
    http_answer unanswered;
    unanswered.sent = true;
    EXPECT_TRUE(failure(unanswered));
    EXPECT_TRUE(failure(make_answer(200, "not json")));
}

// Guards against a write that the store refuses for its form and that is sent again unchanged for ever.
TEST(store_codec, tells_a_rejected_write_from_a_failed_call) {
    for (const long status : {400, 413}) {
        EXPECT_TRUE(
            std::holds_alternative<write_rejected>(decode_store_answer(store_write{}, make_answer(status))));
        EXPECT_TRUE(
            std::holds_alternative<store_failure>(decode_store_answer(store_read{"a"}, make_answer(status))));
    }
}

TEST(store_codec, decodes_a_conflict_with_missing_keys) {
    const store_reply reply = decode_store_answer(
        store_write{},
        make_answer(412, R"({"items":[{"Key":"a"},{"Key":"op/b","Value":"eA==","Revision":9}]})"));
    const auto& items = std::get<write_conflict>(reply).items;
    ASSERT_EQ(items.size(), 2U);
    EXPECT_EQ(items[0].revision, 0U);
    EXPECT_EQ(items[1].revision, 9U);
    EXPECT_EQ(std::get<std::string>(items[1].value), "x");
}

TEST(store_codec, reads_changes_and_deletions) {
    const store_reply reply = decode_store_answer(
        store_watch{"op/", 3, 100},
        make_answer(
            200,
            R"({"events":[{"Key":"op/a","Value":"eA==","Revision":4},{"Key":"op/b","Revision":5,"Deleted":true}],"StoreRevision":5})"));
    const auto& changes = std::get<item_changes>(reply);
    EXPECT_EQ(changes.revision, 5U);
    ASSERT_EQ(changes.items.size(), 2U);
    EXPECT_EQ(changes.items[0].revision, 4U);
    EXPECT_EQ(changes.items[1].revision, 0U);
}

TEST(store_codec, distinguishes_missing_key_missing_lease_and_lost_history) {
    EXPECT_TRUE(std::holds_alternative<item_missing>(decode_store_answer(store_read{"a"}, make_answer(404))));
    EXPECT_TRUE(std::holds_alternative<lease_missing>(decode_store_answer(lease_renew{1}, make_answer(404))));
    EXPECT_TRUE(std::holds_alternative<lease_missing>(decode_store_answer(store_write{}, make_answer(404))));
    EXPECT_TRUE(std::holds_alternative<history_lost>(decode_store_answer(store_watch{}, make_answer(410))));
}

TEST(store_codec, percent_encodes_keys_in_queries) {
    EXPECT_EQ(encode_store_call(store_read{"a b&c"}).target, "/kv-key?Key=a%20b%26c");
    EXPECT_EQ(encode_store_call(store_watch{"p/", 12, 500}).target,
              "/kv-watch?PathPrefix=p/&After=12&WaitMs=500");
    EXPECT_EQ(encode_store_call(store_list{"p/", "p/k"}).target, "/kv-range?PathPrefix=p/&After=p/k");
}

// Guards against a failure on a value that another system wrote under a key of this project.
TEST(store_codec, returns_undecodable_values_as_text) {
    const store_reply reply = decode_store_answer(
        store_read{"persimmonstile/x"},
        make_answer(200, R"({"Key":"persimmonstile/x","Value":"/////w==","Revision":4,"StoreRevision":9})"));
    EXPECT_TRUE(std::holds_alternative<std::string>(std::get<item_found>(reply).item.value));
}

// A listing of the members with one odd value between two entries.
std::string listing_with(const std::string& odd_value) {
    const auto item = [](const std::string& name, const std::string& value) {
        return json{
            {"Key", entry_key(name)}, {"Value", value}, {"Revision", 4}, {"Created", 4}, {"Lease", 0}};
    };
    const auto entry = [&](const std::string& name, const std::string& address) {
        return item(name, encode_base64(encode_record(stored_record{entry_record{{name, 1}, address, "z"}})));
    };
    return json{{"items", {entry("a", "10.0.0.1:7720"), item("b", odd_value), entry("c", "10.0.0.3:7720")}},
                {"HasMore", false},
                {"StoreRevision", 9}}
        .dump();
}

// Announces a quarter of a million elements on each of many levels.
std::string nested_arrays(std::size_t depth) {
    std::string bytes;
    for (std::size_t i = 0; i < depth; ++i)
        bytes += std::string("\xdd\x00\x03\xff\xff", 5);
    return bytes;
}

// Guards against the end of every process that lists the members when another writer has left an odd value.
TEST(store_codec, one_odd_value_among_the_members_hides_no_other) {
    const std::vector<std::string> odd_values{
        "", "not base64", encode_base64("text"),
        // Arrays, a map and a text that announce more elements than there are.
        encode_base64(std::string("\xdd\xff\xff\xff\xff", 5)),
        encode_base64(std::string("\xdf\xff\xff\xff\xff", 5)),
        encode_base64(std::string("\xdb\xff\xff\xff\xff", 5)), encode_base64(nested_arrays(50000)),
        encode_base64(std::string(500000, '\x91'))};
    for (const std::string& value : odd_values) {
        const store_reply reply =
            decode_store_answer(store_list{member_prefix, {}}, make_answer(200, listing_with(value)));
        const auto* listing = std::get_if<item_listing>(&reply);
        ASSERT_NE(listing, nullptr) << value.substr(0, 40);
        member_directory members;
        members.reset(listing->items, time_point{});
        EXPECT_NE(members.find_entry("a"), nullptr) << value.substr(0, 40);
        EXPECT_EQ(members.find_entry("b"), nullptr) << value.substr(0, 40);
        EXPECT_NE(members.find_entry("c"), nullptr) << value.substr(0, 40);
    }
}

// Guards against an address that cannot be dialed and that takes the place of another entry at the agents.
TEST(store_codec, an_entry_with_an_impossible_address_is_no_member) {
    for (const std::string address :
         {"", "10.0.0.2", "10.0.0.2:", "10.0.0.2:0", "10.0.0.2:65536", "10.0.0.2:-1",
          "10.0.0.2:99999999999999999999", "10.0.0.999:7720", "host:7720", "[::1:7720"}) {
        const std::string value =
            encode_base64(encode_record(stored_record{entry_record{{"b", 1}, address, "z"}}));
        const store_reply reply =
            decode_store_answer(store_list{member_prefix, {}}, make_answer(200, listing_with(value)));
        member_directory members;
        members.reset(std::get<item_listing>(reply).items, time_point{});
        EXPECT_EQ(members.find_entry("b"), nullptr) << address;
        EXPECT_EQ(members.entries().size(), 2U) << address;
    }
}

// Guards against a view that stops following its keys at an item that cannot be read.
TEST(store_codec, one_unreadable_item_hides_no_other) {
    const std::string valid = R"({"Key":"op/a","Value":"eA==","Revision":4})";
    for (const std::string odd :
         {"7", "null", "[]", "{}", R"({"Key":7})", R"({"Key":"op/b","Value":"eA=="})",
          R"({"Key":"op/b","Value":"eA==","Revision":"5"})", R"({"Key":"op/b","Value":"eA==","Revision":-5})",
          R"({"Key":"op/b","Value":"eA==","Revision":1e300})",
          R"({"Key":"op/b","Revision":5,"Deleted":"yes"})"}) {
        const std::string items = "[" + odd + "," + valid + "]";
        const store_reply listed = decode_store_answer(
            store_list{"op/", {}}, make_answer(200, R"({"StoreRevision":5,"items":)" + items + "}"));
        ASSERT_TRUE(std::holds_alternative<item_listing>(listed)) << odd;
        ASSERT_EQ(std::get<item_listing>(listed).items.size(), 1U) << odd;
        EXPECT_EQ(std::get<item_listing>(listed).items[0].key, "op/a") << odd;

        prefix_view view{"op/", milliseconds{1000}};
        const time_point now{std::chrono::seconds{100}};
        view.replied(view.take_calls(now).at(0).id, listed, now);
        const prefix_view::call watch = view.take_calls(now).at(0);
        ASSERT_TRUE(std::holds_alternative<store_watch>(watch.what));
        const http_answer changes = make_answer(200, R"({"StoreRevision":6,"events":)" + items + "}");
        view.replied(watch.id, decode_store_answer(watch.what, changes), now);
        const std::vector<prefix_view::call> next = view.take_calls(now);
        ASSERT_EQ(next.size(), 1U) << odd;
        EXPECT_TRUE(std::holds_alternative<store_list>(next[0].what)) << odd;
    }
}

// ---- Orders ----

TEST(order_codec, formats_and_parses_task_names) {
    const task_ref task{"5c0e7a21d94b36f8", 2, 1, 17};
    EXPECT_EQ(task_name(task), "5c0e7a21d94b36f8.2.1.17");
    ASSERT_TRUE(parse_task_name("5c0e7a21d94b36f8.2.1.17"));
    EXPECT_EQ(*parse_task_name("5c0e7a21d94b36f8.2.1.17"), task);
    EXPECT_FALSE(parse_task_name("5c0e7a21d94b36f8.2.1"));
    EXPECT_FALSE(parse_task_name("a.b.c.d"));
    EXPECT_FALSE(parse_task_name(""));
}

TEST(order_codec, writes_the_end_of_the_lease_as_a_time_of_the_backend_server) {
    backend_order order;
    order.fencing_token = 7;
    order.lease_until_ms = 486000;
    order.action = start_order{{{"5c0e7a21d94b36f8", 0, 1, 17}, 2}, "text", {}};
    const json start = json::parse(encode_order(order).body);
    EXPECT_EQ(start["DeadlineMs"], 486000);
    EXPECT_EQ(start["RunId"], 2);
    EXPECT_FALSE(start.contains("Checkpoint"));
    order.action = hold_order{57, milliseconds{150}, false};
    const json hold = json::parse(encode_order(order).body);
    EXPECT_EQ(hold["LastSeen"], 57);
    EXPECT_EQ(hold["WaitMs"], 150);
    EXPECT_FALSE(hold.contains("DeadlineMs"));
}

TEST(order_codec, decodes_running_and_ended_lists) {
    backend_order order;
    order.id = 4;
    order.action = hold_order{};
    const backend_reply reply = decode_order_answer(
        order,
        make_answer(
            200,
            R"({"ClockMs":482113,"born":1700000000000,"Running":[["5c0e7a21d94b36f8.0.1.17",2,"cp",41]],
                              "Ended":[[58,"5c0e7a21d94b36f8.0.1.9",1,"failed",""]]})"));
    EXPECT_EQ(reply.id, 4U);
    EXPECT_EQ(reply.verdict, backend_verdict::accepted);
    EXPECT_EQ(reply.clock_ms, 482113);
    EXPECT_EQ(reply.life, 1700000000000U);
    ASSERT_EQ(reply.running.size(), 1U);
    EXPECT_EQ(reply.running[0].percent, 41U);
    EXPECT_EQ(reply.running[0].checkpoint, "cp");
    ASSERT_EQ(reply.ended.size(), 1U);
    EXPECT_EQ(reply.ended[0].final_state, run_state::failed);
    EXPECT_EQ(reply.ended[0].number, 58U);
}

TEST(order_codec, distinguishes_refusal_reasons) {
    backend_order order;
    const auto verdict = [&](long status, const std::string& body) {
        return decode_order_answer(order, make_answer(status, body)).verdict;
    };
    EXPECT_EQ(verdict(409, R"({"Reason":"fence"})"), backend_verdict::fenced);
    EXPECT_EQ(verdict(409, R"({"Reason":"old"})"), backend_verdict::old_run);
    EXPECT_EQ(verdict(409, R"({"Reason":"late"})"), backend_verdict::late);
    EXPECT_EQ(verdict(409, R"({"Reason":"room"})"), backend_verdict::no_room);
    EXPECT_EQ(verdict(421, ""), backend_verdict::other_instance);
    EXPECT_EQ(verdict(503, ""), backend_verdict::unhealthy);
    EXPECT_EQ(verdict(400, ""), backend_verdict::invalid);
    // With any other status, the order may have been carried out.
    EXPECT_EQ(verdict(500, ""), backend_verdict::no_answer);
    http_answer lost;
    lost.sent = true;
    EXPECT_EQ(decode_order_answer(order, lost).verdict, backend_verdict::no_answer);
    EXPECT_EQ(decode_order_answer(order, http_answer{}).verdict, backend_verdict::not_sent);
}

// A value that nests as deeply as a body of 1 MiB can.
std::string deep_value() {
    constexpr std::size_t depth = 500'000;
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against the end of the agent when the answer to an order exhausts the stack.
TEST(order_codec, a_deeply_nested_answer_is_no_list) {
    backend_order order;
    order.action = hold_order{};
    const backend_reply reply = decode_order_answer(
        order, make_answer(200, R"({"ClockMs":1,"Running":[],"Ended":[],"x":)" + deep_value() + "}"));
    EXPECT_EQ(reply.clock_ms, 0);
    EXPECT_EQ(reply.life, 0U);
}

// Guards against decisions that are based on partly decoded lists.
TEST(order_codec, treats_malformed_lists_as_no_answer) {
    backend_order order;
    order.action = hold_order{};
    const backend_reply reply = decode_order_answer(
        order, make_answer(200, R"({"ClockMs":1,"Running":[["5c0e7a21d94b36f8.0.1.17"]]})"));
    EXPECT_EQ(reply.verdict, backend_verdict::no_answer);
    EXPECT_TRUE(reply.running.empty());
}

// Guards against runs that are reported as ended, and started again, because an answer cannot be read.
TEST(order_codec, an_answer_without_both_lists_does_not_show_that_runs_have_ended) {
    backend_order order;
    order.action = hold_order{};
    const auto verdict = [&](const std::string& body) {
        return decode_order_answer(order, make_answer(200, body)).verdict;
    };
    for (const std::string body :
         {"", "[]", "{", "\xff", "{}", R"({"ClockMs":1})", R"({"ClockMs":1,"Running":[]})",
          R"({"ClockMs":1,"Ended":[]})", R"({"ClockMs":1,"Running":7,"Ended":[]})",
          R"({"ClockMs":1,"Running":{},"Ended":[]})", R"({"ClockMs":1,"Running":[],"Ended":[],"x":)"}) {
        EXPECT_EQ(verdict(body), backend_verdict::no_answer) << body;
    }
    EXPECT_EQ(verdict(R"({"ClockMs":1,"Running":[],"Ended":[],"x":)" + deep_value() + "}"),
              backend_verdict::no_answer);
    EXPECT_EQ(verdict(R"({"ClockMs":1,"Running":[],"Ended":[]})"), backend_verdict::accepted);
    EXPECT_EQ(verdict(R"({"ClockMs":1,"Running":null,"Ended":null})"), backend_verdict::accepted);
}

// Guards against runs and ends that an impossible number is mistaken for.
TEST(order_codec, treats_impossible_numbers_as_no_answer) {
    backend_order order;
    order.action = hold_order{};
    const auto decode = [&](const std::string& clock, const std::string& life, const std::string& run,
                            const std::string& percent, const std::string& end) {
        return decode_order_answer(
            order, make_answer(200, R"({"ClockMs":)" + clock + R"(,"born":)" + life +
                                        R"(,"Running":[["5c0e7a21d94b36f8.0.1.17",)" + run + R"(,"",)" +
                                        percent + R"(,0]],"Ended":[[)" + end +
                                        R"(,"5c0e7a21d94b36f8.0.1.9",)" + run + R"(,"done",""]]})"));
    };
    ASSERT_EQ(decode("1", "2", "3", "4", "5").verdict, backend_verdict::accepted);
    EXPECT_EQ(decode("1", "2", "3", "99.5", "5").running.at(0).percent, 99U);
    for (const std::string odd : {"-1", "1e300", "-1e300", "18446744073709551615", "true", "null", "\"1\""}) {
        const backend_reply replies[] = {decode(odd, "2", "3", "4", "5"), decode("1", odd, "3", "4", "5"),
                                         decode("1", "2", odd, "4", "5"), decode("1", "2", "3", odd, "5"),
                                         decode("1", "2", "3", "4", odd)};
        for (const backend_reply& reply : replies) {
            EXPECT_EQ(reply.verdict, backend_verdict::no_answer) << odd;
            EXPECT_EQ(reply.clock_ms, 0) << odd;
            EXPECT_TRUE(reply.running.empty() && reply.ended.empty()) << odd;
        }
    }
    EXPECT_EQ(decode("1", "2", "3", "4", "0").verdict, backend_verdict::no_answer);
    EXPECT_EQ(decode("1", "2", "3.5", "4", "5").verdict, backend_verdict::no_answer);
    EXPECT_FALSE(parse_task_name("5c0e7a21d94b36f8.0.1.4294967313"));
}

// ---- Jobs ----

TEST(job_codec, reads_steps) {
    const auto decoded = decode_job(
        R"({"Spec":"text","Steps":[{"Count":4,"Cpu":500,"MemMb":256,"EstRuntimeMs":900,"DataRack":"r1-3"},
            {"Count":20,"After":[0],"AntiAffinity":2,"RequiredLabel":"b","Checkpointing":true}],"BestEffort":true})");
    const auto* plan = std::get_if<job_plan>(&decoded);
    ASSERT_NE(plan, nullptr);
    EXPECT_EQ(plan->payload, "text");
    EXPECT_FALSE(plan->is_durable);
    ASSERT_EQ(plan->steps.size(), 2U);
    EXPECT_EQ(plan->steps[0].task_needs, (resources{500, 256, 0}));
    EXPECT_EQ(plan->steps[0].data_rack, "r1-3");
    EXPECT_EQ(plan->steps[1].after, std::vector<std::uint32_t>{0});
    EXPECT_EQ(plan->steps[1].max_per_backend, 2U);
    EXPECT_EQ(plan->steps[1].required_label, "b");
}

TEST(job_codec, makes_jobs_durable_by_default) {
    const auto decoded = decode_job(R"({"Steps":[{"Count":1}]})");
    EXPECT_TRUE(std::get<job_plan>(decoded).is_durable);
}

TEST(job_codec, reports_errors_in_a_body) {
    for (const char* body : {"", "[]", "{}", R"({"Steps":[]})", R"({"Steps":[{"Count":0}]})",
                             R"({"Steps":[{"Count":-1}]})", R"({"Steps":[{"Count":1,"After":[0]}]})",
                             R"({"Steps":[{"Count":99999999}]})", R"({"Steps":[{"Count":"x"}]})"}) {
        const auto decoded = decode_job(body);
        const auto* error = std::get_if<job_decode_error>(&decoded);
        ASSERT_NE(error, nullptr) << body;
        EXPECT_FALSE(error->detail.empty()) << body;
    }
}

// Guards against a caller that gets no answer because the error text cannot be written as JSON.
TEST(job_codec, error_text_has_no_bytes_of_the_body) {
    const auto decoded = decode_job("{\"Spec\":\"\xff\"}");
    const auto* error = std::get_if<job_decode_error>(&decoded);
    ASSERT_NE(error, nullptr);
    EXPECT_NO_THROW(static_cast<void>(json(error->detail).dump())) << error->detail;
}

// Guards against needs and times whose sums overflow, and against needs that add capacity.
TEST(job_codec, rejects_impossible_numbers) {
    const auto is_valid = [](const std::string& step, const std::string& job) {
        return std::holds_alternative<job_plan>(
            decode_job(R"({"Steps":[{"Count":1},{"Count":2)" + step + "}]" + job + "}"));
    };
    const auto member = [](const std::string& name, const std::string& value) {
        return ",\"" + name + "\":" + value;
    };
    for (const char* name : {"Cpu", "MemMb", "Gpu", "EstRuntimeMs", "AntiAffinity"}) {
        EXPECT_TRUE(is_valid(member(name, "7"), "")) << name;
        for (const char* odd : {"-1", "0.5", "1e300", "9223372036854775807", "18446744073709551615"})
            EXPECT_FALSE(is_valid(member(name, odd), "")) << name << ' ' << odd;
    }
    for (const char* name : {"RepeatCount", "StartAtMs", "IntervalMs"}) {
        EXPECT_TRUE(is_valid("", member(name, "7"))) << name;
        for (const char* odd : {"-1", "0.5", "1e300", "9223372036854775807", "18446744073709551615"})
            EXPECT_FALSE(is_valid("", member(name, odd))) << name << ' ' << odd;
    }
    EXPECT_TRUE(is_valid(member("After", "[0]"), ""));
    for (const char* odd : {"[1]", "[-1]", "[0.5]", "[4294967296]", "[1e300]", "[[[0]]]"})
        EXPECT_FALSE(is_valid(member("After", odd), "")) << odd;
}

// Guards against a job whose tasks alone exhaust the memory of each entry that takes it up.
TEST(job_codec, rejects_jobs_with_more_tasks_than_memory) {
    std::string steps = R"({"Count":10000})";
    for (int i = 1; i < 1000; ++i)
        steps += R"(,{"Count":10000})";
    EXPECT_TRUE(std::holds_alternative<job_decode_error>(decode_job("{\"Steps\":[" + steps + "]}")));
    const std::string repeated = R"({"Steps":[{"Count":10000}],"RepeatCount":)";
    EXPECT_TRUE(std::holds_alternative<job_plan>(decode_job(repeated + "100}")));
    EXPECT_TRUE(std::holds_alternative<job_decode_error>(decode_job(repeated + "1000000}")));
}

TEST(job_codec, validates_job_ids) {
    EXPECT_TRUE(is_job_id("5c0e7a21d94b36f8"));
    EXPECT_FALSE(is_job_id("5c0e7a21d94b36f"));
    EXPECT_FALSE(is_job_id("5c0e7a21d94b36fx"));
    EXPECT_FALSE(is_job_id(""));
}

// ---- Registration ----

TEST(registration_codec, reads_a_report) {
    const auto report = decode_announcement(
        "i-7f3a91c2",
        R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":8,"State":"draining","ColdLeftMs":0,
            "Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":1},"Labels":["a","r1-3"],"ClockMs":482113,"SeqNo":4,"born":17})");
    ASSERT_TRUE(report);
    EXPECT_EQ(report->profile.capacity, (resources{16000, 32768, 1}));
    EXPECT_EQ(report->profile.kind, "a");
    EXPECT_EQ(report->profile.rack, "r1-3");
    EXPECT_TRUE(report->profile.draining);
    EXPECT_EQ(report->profile.life, 17U);
    EXPECT_EQ(report->sequence, 4U);
    EXPECT_EQ(report->clock_ms, 482113);
}

// Guards against a departure that is not known, and against a drain that is missed because its time is odd.
TEST(registration_codec, reads_the_time_until_a_draining_backend_server_leaves) {
    const std::string body =
        R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":8,"State":"draining","ColdLeftMs":0,
            "Capacity":{"Cpu":16000,"MemMb":32768},"ClockMs":1,"SeqNo":4,"born":17,"RemainingMs":2000})";
    const auto read = [&](const std::string& state, const std::string& remaining) {
        json report = json::parse(body);
        report["State"] = state;
        report.erase("RemainingMs");
        std::string text = report.dump();
        if (!remaining.empty())
            text.insert(1, "\"RemainingMs\":" + remaining + ",");
        return decode_announcement("i-1", text);
    };
    EXPECT_EQ(read("draining", "2000")->leaves_in, milliseconds{2000});
    EXPECT_EQ(read("draining", "1999.5")->leaves_in, milliseconds{1999});
    // Only a backend server that drains leaves.
    EXPECT_EQ(read("ready", "2000")->leaves_in, milliseconds{0});
    for (const char* unknown : {"", "0", "-5", "null", "\"2000\"", "[2000]", "1e300"}) {
        const auto report = read("draining", unknown);
        ASSERT_TRUE(report) << unknown;
        EXPECT_TRUE(report->profile.draining);
        EXPECT_EQ(report->leaves_in, milliseconds{0}) << unknown;
    }
}

// Guards against announcements of other writers that are mistaken for those of a backend server.
TEST(registration_codec, ignores_reports_of_other_writers) {
    for (const char* body :
         {"", "\xff\xfe", "{}", R"({"State":"ready"})",
          R"({"Service":"s","Zone":"z","State":"resting","Capacity":{"Cpu":1,"MemMb":1},"SeqNo":1,"born":1})",
          R"({"Service":7,"Zone":"z","State":"ready","Capacity":{"Cpu":1,"MemMb":1},"SeqNo":1,"born":1})",
          R"({"Service":"s","Zone":"z","State":"ready","Capacity":"big","SeqNo":1,"born":1})"}) {
        EXPECT_FALSE(decode_announcement("i-1", body)) << body;
    }
}

json valid_report() {
    return json::parse(
        R"({"Service":"s","Address":"10.0.0.9:80","Zone":"z","Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,
            "Capacity":{"Cpu":16000,"MemMb":32768,"Gpu":0},"Labels":["a","r1-3"],"ClockMs":482113,"SeqNo":4,"born":17})");
}

// Guards against an odd report of another writer that is used, or that keeps valid ones from being used.
TEST(registration_codec, one_odd_report_names_no_backend_server_and_hides_no_other) {
    std::vector<std::string> odd_reports{"",     "7", "[]",       "\"text\"",
                                         "null", "{", "\xff\xfe", std::string(1 << 20, '[')};
    const auto add = [&](const std::string& path, const std::string& text) {
        json report = valid_report();
        report[json::json_pointer{path}] = "placeholder";
        std::string body = report.dump();
        const std::string placeholder = "\"placeholder\"";
        odd_reports.push_back(body.replace(body.find(placeholder), placeholder.size(), text));
    };
    for (const char* name : {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs",
                             "Capacity", "SeqNo", "born"}) {
        json report = valid_report();
        report.erase(name);
        odd_reports.push_back(report.dump());
        for (const char* text : {"null", "true", "[]", "{}", "[[[[7]]]]"})
            add(std::string{"/"} + name, text);
    }
    for (const char* path : {"/Slots", "/ColdLeftMs", "/Capacity/Cpu", "/Capacity/MemMb", "/Capacity/Gpu",
                             "/ClockMs", "/SeqNo", "/born"}) {
        for (const char* text : {"-1", "1e400", "-1e300", "\"8\""})
            add(path, text);
    }
    for (const char* path :
         {"/Slots", "/Capacity/Cpu", "/Capacity/MemMb", "/Capacity/Gpu", "/ClockMs", "/SeqNo", "/born"}) {
        for (const char* text :
             {"1e300", "0.5", "9223372036854775807", "18446744073709551615", "99999999999999999999"})
            add(path, text);
    }
    for (const char* text :
         {"\"10.0.0.9\"", "\"10.0.0.9:\"", "\"10.0.0.9:0\"", "\"10.0.0.9:65536\"", "\"10.0.0.9:-1\"",
          "\"10.0.0.9:99999999999999999999\"", "\"10.0.0.999:80\"", "\":80\"", "\"\""})
        add("/Address", text);
    for (const char* text : {"\"resting\"", "\"\""})
        add("/State", text);
    for (const char* text : {"7", "[7]", "{}"})
        add("/Labels", text);
    add("/x", std::string(40, '[') + std::string(40, ']'));

    const std::string valid = valid_report().dump();
    for (const std::string& report : odd_reports) {
        EXPECT_FALSE(decode_announcement("i-1", report)) << report.substr(0, 300);
        ASSERT_TRUE(decode_announcement("i-2", valid)) << report.substr(0, 300);
    }
}

// Guards against a deeply nested announcement that takes more memory than an agent has.
TEST(registration_codec, ignores_a_deeply_nested_report) {
    std::string report = valid_report().dump();
    ASSERT_TRUE(decode_announcement("i-1", report));
    report.replace(report.size() - 1, 1, ",\"x\":" + deep_value() + "}");
    EXPECT_FALSE(decode_announcement("i-1", report));
}

// Guards against a report of many small values, which takes 30 times its size in memory.
TEST(registration_codec, ignores_a_report_of_too_many_values) {
    std::string values;
    for (int i = 0; i < 100'000; ++i)
        values += "{},";
    std::string report = valid_report().dump();
    report.replace(report.size() - 1, 1, ",\"x\":[" + values + "0]}");
    EXPECT_FALSE(decode_announcement("i-1", report));
    EXPECT_TRUE(parse_bounded_json(report, any_number_of_json_values));
}

// ---- Operators ----

store_item text_item(const std::string& key, const std::string& text, std::uint64_t revision) {
    return {key, text, revision};
}

std::string config_text(std::uint64_t version) {
    return R"({"Version":)" + std::to_string(version) +
           R"(,"Routes":[{"Name":"r","Host":"h","PathPrefix":"/p/","RouteType":"non_idempotent","TimeoutMs":1500,"SloMs":60,
               "Priority":2,"Service":"s","Attempts":3,"Stretch":1.6}],"Services":[],"Limits":{"MaxBodyBytes":1000}})";
}

TEST(config_codec, reads_queues_and_zones) {
    const auto config =
        decode_operator_records({{"op/config", text_item("op/config", config_text(7), 20)},
                                 {"op/evacuate/surat", text_item("op/evacuate/surat", "{}", 21)}},
                                22, nullptr);
    ASSERT_NE(config, nullptr);
    EXPECT_EQ(config->version, 7U);
    EXPECT_EQ(config->max_body_bytes, 1000U);
    EXPECT_EQ(config->zones_out, std::set<std::string>{"surat"});
    EXPECT_EQ(config->zones_version, 22U);
    ASSERT_EQ(config->queues.size(), 1U);
    EXPECT_EQ(config->queues[0].max_attempts, 3U);
    EXPECT_EQ(config->queues[0].priority, 2U);
    EXPECT_DOUBLE_EQ(config->queues[0].max_stretch, 1.6);
    EXPECT_EQ(config->queues[0].slack, std::chrono::milliseconds{60});
}

TEST(config_codec, rejects_older_versions_and_malformed_records) {
    const auto config =
        decode_operator_records({{"op/config", text_item("op/config", config_text(7), 20)}}, 20, nullptr);
    EXPECT_EQ(decode_operator_records({{"op/config", text_item("op/config", config_text(6), 21)}}, 21,
                                      config.get()),
              nullptr);
    EXPECT_EQ(decode_operator_records({{"op/config", text_item("op/config", "{", 22)}}, 22, config.get()),
              nullptr);
    EXPECT_EQ(decode_operator_records({}, 23, nullptr), nullptr);
}

} // namespace
} // namespace persimmonstile::platform

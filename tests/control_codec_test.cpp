#include "protocol/control_codec.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

control_message round_trip(const control_message& sent) {
    control_decoder decoder;
    const encoded_frame frame = encode_control_message(sent);
    auto decoded = decoder.decode(frame.kind, frame.payload);
    EXPECT_TRUE(std::holds_alternative<control_message>(decoded));
    return std::get<control_message>(decoded);
}

// Guards against fields that are lost on the JSON-RPC path.
TEST(control_codec, table_push_keeps_every_field) {
    owner_table table;
    table.version = 7;
    table.partitions.assign(partition_count, partition_owner{{"entry-1", 42}, 3});
    table.entries = {{{"entry-1", 42}, "127.0.0.1:1"}};
    table.grantors = {"a", "b", "c"};
    table.writer = "entry-1";
    table.operation_id = "op \"quoted\"";
    const auto received = round_trip(table_push{table});
    EXPECT_EQ(std::get<table_push>(received).table, table);
}

// Guards against 64-bit numbers that lose digits: incarnation numbers use the whole range.
TEST(control_codec, grant_reply_keeps_large_numbers) {
    grant_reply reply;
    reply.grantor = {"agent", 0xffffffffffffffffULL};
    reply.silent_owners = {{"entry-2", 1}};
    reply.granted = true;
    const auto received = std::get<grant_reply>(round_trip(reply));
    EXPECT_EQ(received.grantor.number, reply.grantor.number);
    EXPECT_EQ(received.silent_owners, reply.silent_owners);
    const auto status =
        round_trip(agent_status{{"agent", 0xffffffffffffffffULL}, "z", "r", true, 5, {{"s", 8}}});
    EXPECT_EQ(std::get<agent_status>(status).agent.number, 0xffffffffffffffffULL);
    EXPECT_EQ(std::get<agent_status>(status).services.at(0).slots, 8U);
}

// Guards against a crash or a made-up message when a peer sends something else.
TEST(control_codec, malformed_frames_are_errors) {
    control_decoder decoder;
    const auto is_error = [&](frame_kind kind, std::string_view bytes) {
        return std::holds_alternative<decode_error>(decoder.decode(kind, bytes));
    };
    EXPECT_TRUE(is_error(frame_kind::rpc, "{"));
    EXPECT_TRUE(is_error(frame_kind::rpc, R"({"jsonrpc":"2.0","method":"none","params":{"message":[]}})"));
    EXPECT_TRUE(
        is_error(frame_kind::rpc, R"({"jsonrpc":"2.0","method":"table_push","params":{"message":[3]}})"));
    EXPECT_TRUE(is_error(frame_kind::periodic, "\xc1"));
}

// Guards against the end of a process whose peer sends a frame that nests deeply or announces too many
// elements.
TEST(control_codec, frames_beyond_the_limits_are_errors) {
    control_decoder decoder;
    for (const std::string& frame : {std::string("\xdd\xff\xff\xff\xff"), std::string(500'000, '\x91')})
        EXPECT_TRUE(std::holds_alternative<decode_error>(decoder.decode(frame_kind::periodic, frame)));
    const std::string deep = std::string(500'000, '[') + std::string(500'000, ']');
    const std::string call = R"({"jsonrpc":"2.0","method":"view_ping","params":{"message":)";
    for (const std::string& frame : {deep, std::string(500'000, '['), call + deep + "}}"})
        EXPECT_TRUE(std::holds_alternative<decode_error>(decoder.decode(frame_kind::rpc, frame)));
}

} // namespace
} // namespace persimmonstile

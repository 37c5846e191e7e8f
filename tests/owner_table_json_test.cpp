#include "protocol/owner_table_json.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {
namespace {

owner_table sample() {
    owner_table table;
    table.version = 18446744073709551615U;
    table.partitions.assign(partition_count, {{"entry-1", 42}, 3});
    table.entries = {{{"entry-1", 42}, "10.0.0.1:7000"}};
    table.grantors = {"agent-1", "agent-2"};
    table.writer = "entry-1";
    table.operation_id = "op-1";
    return table;
}

std::string error_of(const std::string& content) {
    const auto result = decode_owner_table(content);
    const auto* const error = std::get_if<decode_error>(&result);
    return error == nullptr ? std::string{} : error->detail;
}

// Guards against a field that is lost between writer and reader, and 64-bit numbers that are rounded.
TEST(owner_table_json, round_trip) {
    EXPECT_EQ(std::get<owner_table>(decode_owner_table(encode_owner_table(sample()))), sample());
    EXPECT_EQ(std::get<owner_table>(decode_owner_table(encode_owner_table({}))), owner_table{});
}

// Guards against a table that is adopted although it is damaged, and errors without their place.
TEST(owner_table_json, reports_every_wrong_field) {
    EXPECT_THAT(error_of("{"), testing::HasSubstr("not valid JSON"));
    EXPECT_THAT(error_of("[]"), testing::HasSubstr("expected an object"));
    auto document = nlohmann::json::parse(encode_owner_table(sample()));
    document["partitions"][5]["epoch"] = -1;
    document["entries"][0]["entry"].erase("number");
    document["grantors"][1] = 7;
    const std::string errors = error_of(document.dump());
    EXPECT_THAT(errors, testing::HasSubstr("/partitions/5/epoch"));
    EXPECT_THAT(errors, testing::HasSubstr("/entries/0/entry/number: missing"));
    EXPECT_THAT(errors, testing::HasSubstr("/grantors/1"));
}

// Guards against a table that leaves partitions without an owner.
TEST(owner_table_json, rejects_a_wrong_number_of_partitions) {
    owner_table table = sample();
    table.partitions.pop_back();
    EXPECT_THAT(error_of(encode_owner_table(table)), testing::HasSubstr("expected 64 elements, found 63"));
}

} // namespace
} // namespace persimmonstile

#include "daemon/startup_requests.h"

#include <string>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

class startup_requests_test : public testing::Test {
protected:
    startup_requests requests_{{300ms, 3}};
    const time_point begin_{100s};

    bool hold(const std::string& path, std::uint64_t connection, time_point now) {
        http_request request;
        request.path = path;
        request.connection = connection;
        return requests_.hold(
            request, [](http_response) {}, now);
    }
};

// Requests must be returned in order of arrival, and only once.
TEST_F(startup_requests_test, hands_over_in_order_of_arrival) {
    EXPECT_TRUE(hold("/a", 1, begin_));
    EXPECT_TRUE(hold("/b", 2, begin_ + 10ms));
    const auto taken = requests_.take_all();
    ASSERT_EQ(taken.size(), 2U);
    EXPECT_EQ(taken[0].request.path, "/a");
    EXPECT_EQ(taken[1].request.path, "/b");
    EXPECT_TRUE(requests_.is_empty());
    EXPECT_TRUE(requests_.take_all().empty());
}

// Callers must not wait longer than the limit if no configuration arrives.
TEST_F(startup_requests_test, gives_up_those_that_waited_too_long) {
    hold("/a", 1, begin_);
    hold("/b", 2, begin_ + 200ms);
    EXPECT_TRUE(requests_.take_expired(begin_ + 299ms).empty());
    const auto expired = requests_.take_expired(begin_ + 300ms);
    ASSERT_EQ(expired.size(), 1U);
    EXPECT_EQ(expired[0].request.path, "/a");
    EXPECT_FALSE(requests_.is_empty());
}

// Requests of closed connections must be dropped, and the number of held requests must be bounded.
TEST_F(startup_requests_test, forgets_closed_connections_and_is_bounded) {
    EXPECT_TRUE(hold("/a", 1, begin_));
    EXPECT_TRUE(hold("/b", 2, begin_));
    EXPECT_TRUE(hold("/c", 1, begin_));
    EXPECT_FALSE(hold("/d", 3, begin_));
    requests_.connection_closed(1);
    const auto taken = requests_.take_all();
    ASSERT_EQ(taken.size(), 1U);
    EXPECT_EQ(taken[0].request.path, "/b");
}

} // namespace
} // namespace persimmonstile

#include "standins/order_backend.h"

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

using namespace std::chrono_literals;

class order_backend_test : public testing::Test {
protected:
    order_backend_test()
        : backend_{backend_profile{}} {
        backend_.set_work(run_.task, 100ms);
    }

    // Starts the run under a lease of 500 ms and lets it end.
    void run_to_end() {
        backend_order order;
        order.action = start_order{run_, {}, {}};
        order.lease_until_ms = 500;
        ASSERT_EQ(backend_.carry_out(order, time_point{0ms}).verdict, backend_verdict::accepted);
        backend_.advance(time_point{150ms});
        backend_.take_events();
    }

    // Events of a hold order that acknowledges the end.
    std::vector<order_backend::event> acknowledge(milliseconds at) {
        backend_order order;
        hold_order hold;
        hold.acknowledged_end = 1;
        hold.renews = false;
        order.action = hold;
        backend_.carry_out(order, time_point{at});
        return backend_.take_events();
    }

    run_ref run_{{"job", 0, 0, 0}, 1};
    order_backend backend_;
};

// Guards against checks that miss a task which starts again after its end was acknowledged.
TEST_F(order_backend_test, notes_an_end_that_is_acknowledged_under_the_lease) {
    run_to_end();
    const auto events = acknowledge(400ms);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].what, order_backend::event::kind::noted);
    EXPECT_EQ(events[0].final_state, run_state::done);
    EXPECT_TRUE(acknowledge(450ms).empty());
}

// Guards against checks that count an end whose lease ran out before the acknowledgement: an agent that was
// cut off has given the run up by then.
TEST_F(order_backend_test, notes_no_end_whose_lease_ran_out_before) {
    run_to_end();
    EXPECT_TRUE(acknowledge(600ms).empty());
}

TEST_F(order_backend_test, a_life_with_another_id_knows_nothing_and_does_not_drain) {
    run_to_end();
    backend_.set_draining(true);
    backend_.crash(time_point{300ms});
    backend_.set_identity("other", 7);
    const backend_announcement announcement = backend_.announce(time_point{300ms});
    EXPECT_EQ(announcement.profile.id, "other");
    EXPECT_EQ(announcement.profile.life, 7U);
    EXPECT_EQ(announcement.sequence, 1U);
    EXPECT_FALSE(announcement.profile.draining);
    EXPECT_FALSE(backend_.has_news(0));
}

} // namespace
} // namespace persimmonstile

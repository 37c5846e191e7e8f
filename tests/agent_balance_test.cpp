#include "coordination/balance/agent_requester.h"
#include "coordination/balance/agent_selector.h"
#include "coordination/balance/extra_entries.h"
#include "coordination/entry_subset.h"
#include "coordination/store_keys.h"
#include "entry_core_fixture.h"
#include "protocol/work_codec.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

std::map<std::string, link_number> peers_up_to(link_number last) {
    std::map<std::string, link_number> peers;
    for (link_number link = 1; link <= last; ++link)
        peers["peer" + std::to_string(link)] = link;
    return peers;
}

unmet_demand labelled_demand(bool is_unreachable) {
    return {"service", "label", {3000, 64, 0}, 4, false, is_unreachable};
}

// Guards against a job that never starts because the entries that its only backend server serves are never
// asked. 13 entries are those of review/7.
TEST(agent_requester, asks_all_entries_in_the_end) {
    for (const link_number peers : {12U, 54U, 300U}) {
        agent_requester requester{"entry:1", 1};
        std::set<link_number> asked;
        time_point now{std::chrono::seconds{100}};
        const time_point start = now;
        while (asked.size() < peers && now - start < std::chrono::seconds{60}) {
            for (const auto& [link, request] :
                 requester.take_requests({labelled_demand(true)}, peers_up_to(peers), now))
                asked.insert(link);
            now += milliseconds{10};
        }
        EXPECT_EQ(asked.size(), peers);
    }
}

// Guards against requests whose number grows with the number of waiting tasks, of demands or of entries.
TEST(agent_requester, bounds_the_requests_in_a_second) {
    agent_requester requester{"entry:1", 1};
    std::vector<unmet_demand> demands;
    for (std::int64_t kind = 1; kind <= 20; ++kind)
        demands.push_back({"service", "", {kind * 1000, 64, 0}, 1000, false, true});
    std::size_t requests = 0;
    time_point now{std::chrono::seconds{100}};
    constexpr int seconds = 10;
    for (int i = 0; i < seconds * 100; ++i, now += milliseconds{10})
        requests += requester.take_requests(demands, peers_up_to(2300), now).size();
    EXPECT_GT(requests, 0U);
    EXPECT_LE(static_cast<double>(requests),
              agent_requester::max_burst + seconds * agent_requester::requests_per_second);
}

// Guards against entries that ask at a constant rate while all agents of the deployment are busy, and against
// a pause that stays long after a request has yielded an agent.
TEST(agent_requester, doubles_the_pause_until_an_agent_connects) {
    agent_requester requester{"entry:1", 1};
    std::vector<time_point> times;
    time_point now{std::chrono::seconds{100}};
    const auto run_for = [&](milliseconds duration) {
        times.clear();
        for (const time_point end = now + duration; now < end; now += milliseconds{10}) {
            if (!requester.take_requests({labelled_demand(false)}, peers_up_to(50), now).empty())
                times.push_back(now);
        }
    };
    run_for(std::chrono::seconds{20});
    ASSERT_GE(times.size(), 4U);
    EXPECT_EQ(times[1] - times[0], agent_requester::min_pause);
    EXPECT_EQ(times[2] - times[1], 2 * agent_requester::min_pause);
    EXPECT_EQ(times.back() - *(times.end() - 2), agent_requester::max_pause);
    requester.agent_connected("service", {"other label"});
    requester.agent_connected("service", {"label"});
    run_for(std::chrono::seconds{5});
    ASSERT_GE(times.size(), 2U);
    EXPECT_EQ(times[1] - times[0], agent_requester::min_pause);
}

// Guards against requests without a waiting task, and against a demand that comes and goes and is asked for
// at each return.
TEST(agent_requester, is_silent_without_a_demand_and_keeps_its_pause) {
    agent_requester requester{"entry:1", 1};
    time_point now{std::chrono::seconds{100}};
    EXPECT_TRUE(requester.take_requests({}, peers_up_to(50), now).empty());
    EXPECT_EQ(requester.take_requests({labelled_demand(false)}, peers_up_to(50), now).size(),
              agent_requester::entries_per_request);
    now += milliseconds{10};
    EXPECT_TRUE(requester.take_requests({}, peers_up_to(50), now).empty());
    now += milliseconds{10};
    EXPECT_TRUE(requester.take_requests({labelled_demand(false)}, peers_up_to(50), now).empty());
}

// A receiver of requests with twelve agents, all idle unless a test changes that.
class agent_selector_test : public testing::Test {
protected:
    static constexpr std::size_t max_entries = 10;
    static constexpr milliseconds hold{4000};
    time_point now_{std::chrono::seconds{100}};
    agent_directory agents_;
    std::set<std::string> entries_;
    deployment_config config_;
    agent_selector selector_{max_entries, hold, 1};
    room_request request_{"entry0", "service", {3000, 64, 0}, "", 2};

    agent_selector_test() {
        for (int i = 0; i < 30; ++i)
            entries_.insert("entry" + std::to_string(i));
        for (link_number link = 1; link <= 12; ++link) {
            agent_view& agent = agents_.find_or_add("agent" + std::to_string(link));
            agents_.connect(agent, link);
            agent.is_introduced = true;
            agent.profile.accepts_runs = true;
            agent.profile.backend.service = "service";
            agent.profile.backend.capacity = {10000, 4096, 0};
            agent.reported_capacity.free = agent.profile.backend.capacity;
        }
    }

    std::vector<agent_number> select(const std::vector<unmet_demand>& own = {}) {
        return selector_.select(request_, agents_, own, entries_, config_, now_);
    }
};

// Guards against requests to agents that serve the sender already, which take the places of others.
TEST_F(agent_selector_test, selects_agents_that_do_not_serve_the_sender) {
    request_.wanted = 12;
    const std::vector<agent_number> selected = select();
    ASSERT_FALSE(selected.empty());
    for (const auto& [number, agent] : agents_.all()) {
        const bool serves_sender =
            choose_entries(agent.name, entries_, max_entries).contains(request_.entry_address);
        const bool is_selected = std::find(selected.begin(), selected.end(), number) != selected.end();
        EXPECT_NE(is_selected, serves_sender) << agent.name;
    }
}

// Guards against agents that are asked although they cannot help, and more agents than the sender wants.
TEST_F(agent_selector_test, selects_only_agents_with_capacity_and_label) {
    EXPECT_EQ(select().size(), request_.wanted);
    now_ += hold;
    request_.required_label = "label";
    EXPECT_TRUE(select().empty());
    for (auto& [number, agent] : agents_.all())
        agent.profile.backend.labels = {"label"};
    EXPECT_FALSE(select().empty());
    now_ += hold;
    for (auto& [number, agent] : agents_.all())
        agent.reported_capacity.free.cpu_millicores = 2000;
    EXPECT_TRUE(select().empty());
}

// Guards against a busy agent whose rest of free capacity gets an eleventh competitor, so that more runs are
// returned. The only agent with a label is asked nevertheless.
TEST_F(agent_selector_test, keeps_a_small_rest_of_capacity_unless_a_label_is_needed) {
    for (auto& [number, agent] : agents_.all()) {
        agent.profile.backend.labels = {"label"};
        agent.reported_capacity.free = {4000, 4000, 0};
    }
    EXPECT_TRUE(select().empty());
    request_.required_label = "label";
    EXPECT_FALSE(select().empty());
    now_ += hold;
    request_.required_label.clear();
    request_.needs = {1000, 64, 0};
    EXPECT_FALSE(select().empty());
}

// Guards against a receiver that hands over the capacity for which its own tasks wait, also while the free
// part of it is still too small for them.
TEST_F(agent_selector_test, keeps_agents_that_its_own_waiting_tasks_can_use) {
    EXPECT_TRUE(select({{"service", "", {9000, 64, 0}, 1}}).empty());
    EXPECT_FALSE(select({{"other service", "", {3000, 64, 0}, 1}}).empty());
    now_ += hold;
    EXPECT_FALSE(select({{"service", "label that no agent has", {3000, 64, 0}, 1}}).empty());
    now_ += hold;
    EXPECT_FALSE(select({{"service", "", {20000, 64, 0}, 1}}).empty());
}

// Guards against an agent that is asked again and again for the same entry.
TEST_F(agent_selector_test, asks_an_agent_once_while_a_request_holds) {
    request_.wanted = 12;
    const std::size_t first = select().size();
    EXPECT_GT(first, 0U);
    EXPECT_TRUE(select().empty());
    now_ += hold;
    EXPECT_EQ(select().size(), first);
}

// Guards against agents whose connections grow with the number of entries that need capacity, and against
// adoptions that wait because such entries take the places.
TEST(extra_entries, bounds_requests_for_capacity_and_no_adoption) {
    constexpr milliseconds duration{4000};
    extra_entries extra{duration, 2};
    time_point now{std::chrono::seconds{100}};
    EXPECT_TRUE(extra.add_for_capacity("a", now));
    EXPECT_TRUE(extra.add_for_capacity("b", now));
    EXPECT_FALSE(extra.add_for_capacity("c", now));
    EXPECT_TRUE(extra.add_for_adoption("d", now));
    EXPECT_TRUE(extra.add_for_adoption("e", now));
    std::set<std::string> served;
    extra.insert_into(served);
    EXPECT_EQ(served, (std::set<std::string>{"a", "b", "d", "e"}));
    now += duration;
    EXPECT_TRUE(extra.remove_expired(now));
    EXPECT_TRUE(extra.add_for_capacity("c", now));
}

// Guards against an entry that keeps its place by repeated requests while another one needs the agent.
TEST(extra_entries, does_not_renew_a_request_for_capacity) {
    constexpr milliseconds duration{4000};
    extra_entries extra{duration, 1};
    const time_point start{std::chrono::seconds{100}};
    EXPECT_TRUE(extra.add_for_capacity("a", start));
    EXPECT_FALSE(extra.add_for_capacity("a", start + duration / 2));
    EXPECT_TRUE(extra.remove_expired(start + duration));
    EXPECT_TRUE(extra.add_for_capacity("b", start + duration));
}

// An entry that borrows agents, in a deployment of 14 entries. The other entries are only links and records.
class borrowing_entry_test : public entry_core_test {
protected:
    static constexpr link_number first_peer_link = 100;
    static constexpr int peers = 13;
    // Has no room_request and would close its link if it got one.
    static constexpr int older_peer = 5;

    static entry_limits limits_with(bool borrows_agents, bool borrows_when_full) {
        entry_limits limits;
        limits.borrows_agents = borrows_agents;
        limits.borrows_when_full = borrows_when_full;
        return limits;
    }

    explicit borrowing_entry_test(bool borrows_agents = true, bool borrows_when_full = true)
        : entry_core_test{limits_with(borrows_agents, borrows_when_full)} {}

    void start() {
        for (int i = 0; i < peers; ++i) {
            const std::string name = "peer" + std::to_string(i);
            entry_record record;
            record.session = {name, 1};
            record.peer_address = name + ":1";
            store_.put(entry_key(name), record);
            entry_.link_opened(first_peer_link + static_cast<link_number>(i), false, now_);
            entry_.received(first_peer_link + static_cast<link_number>(i),
                            peer_hello{name, {name, 1}, i != older_peer}, now_, wall_);
        }
        prepare();
        connect_agent();
        messages_.clear();
    }

    job_submission labelled_job() {
        job_submission request = job("a", false);
        request.plan.steps[0].required_label = "label";
        request.answer_by = now_ + std::chrono::seconds{60};
        return request;
    }

    std::set<link_number> asked_peers(const std::string& label = "label") {
        std::set<link_number> asked;
        for (link_number link = first_peer_link; link < first_peer_link + peers; ++link) {
            for (const room_request& request : take_messages<room_request>(link)) {
                EXPECT_EQ(request.entry_address, self().peer_address);
                EXPECT_EQ(request.required_label, label);
                asked.insert(link);
            }
        }
        return asked;
    }
};

class default_entry_test : public borrowing_entry_test {
protected:
    default_entry_test()
        : borrowing_entry_test{false} {}
};

class unreachable_only_entry_test : public borrowing_entry_test {
protected:
    unreachable_only_entry_test()
        : borrowing_entry_test{true, false} {}
};

// Guards against requests that cost a small entry more than they gain, for tasks that its own agents will
// run.
TEST_F(unreachable_only_entry_test, asks_for_tasks_that_no_agent_can_run_and_not_for_lack_of_capacity) {
    start();
    submit(job("b", false, 40));
    advance_time(milliseconds{500});
    EXPECT_TRUE(asked_peers("").empty());
    submit(labelled_job());
    EXPECT_FALSE(asked_peers().empty());
}

// Guards against requests that are not sent although the setting asks for them.
TEST_F(borrowing_entry_test, asks_for_lack_of_capacity) {
    start();
    submit(job("b", false, 40));
    EXPECT_FALSE(asked_peers("").empty());
}

// Guards against review/7: the only backend server that fits a job serves other entries, and the job never
// starts. Guards also against a request to an older entry, which would close the link.
TEST_F(borrowing_entry_test, asks_every_entry_for_a_label_that_no_agent_has) {
    start();
    submit(labelled_job());
    std::set<link_number> asked = asked_peers();
    EXPECT_EQ(asked.size(), agent_requester::entries_per_request);
    for (int i = 0; i < 100; ++i) {
        advance_time(milliseconds{10});
        asked.merge(asked_peers());
    }
    EXPECT_EQ(asked.size(), static_cast<std::size_t>(peers - 1));
    EXPECT_FALSE(asked.contains(first_peer_link + older_peer));
}

// Guards against closing the link to an entry of a later version because of a new type of message, and
// against ignoring garbage.
TEST(work_codec, tells_messages_of_later_versions_from_garbage) {
    EXPECT_TRUE(is_work_message_of_later_version("\x92\x63\x91\x01"));
    EXPECT_FALSE(is_work_message_of_later_version(encode_work_message(room_request{})));
    EXPECT_FALSE(is_work_message_of_later_version("\x92\x0b\x01"));
    EXPECT_FALSE(is_work_message_of_later_version("\x92\x63"));
}

// Guards against a change of behavior for operators that have not set borrow_agents.
TEST_F(default_entry_test, asks_nobody_unless_it_is_enabled) {
    start();
    submit(labelled_job());
    advance_time(milliseconds{500});
    EXPECT_TRUE(asked_peers().empty());
    for (int i = 0; i < peers; ++i)
        entry_.received(first_peer_link,
                        room_request{"peer" + std::to_string(i) + ":1", "service", {1000, 64, 0}, "", 2},
                        now_, wall_);
    collect();
    EXPECT_TRUE(take_messages<connection_request>().empty());
}

// Guards against requests while an agent has free capacity, and against a receiver that does not forward.
TEST_F(borrowing_entry_test, asks_nobody_while_it_has_capacity_and_forwards_requests) {
    start();
    submit(job("b", false));
    EXPECT_TRUE(asked_peers().empty());
    std::size_t forwarded = 0;
    for (int i = 0; i < peers; ++i) {
        const std::string address = "peer" + std::to_string(i) + ":1";
        const std::vector<std::string> all = [&] {
            std::vector<std::string> names{self().peer_address};
            for (int k = 0; k < peers; ++k)
                names.push_back("peer" + std::to_string(k) + ":1");
            return names;
        }();
        entry_.received(first_peer_link, room_request{address, "service", {1000, 64, 0}, "", 2}, now_, wall_);
        collect();
        const std::vector<connection_request> requests = take_messages<connection_request>();
        const bool is_served = choose_entries("agent", {all.begin(), all.end()}, 10).contains(address);
        ASSERT_EQ(requests.size(), is_served ? 0U : 1U);
        if (is_served)
            continue;
        EXPECT_EQ(requests[0].entry_address, address);
        EXPECT_TRUE(requests[0].is_for_capacity);
        ++forwarded;
    }
    EXPECT_GT(forwarded, 0U);
}

} // namespace
} // namespace persimmonstile

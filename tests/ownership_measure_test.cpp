#include "tests/ownership_simulation.h"

#include <iostream>
#include <type_traits>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

// Estimated sizes in JSON, in bytes. A field takes its value and about field_overhead for name, quotes,
// colon and comma; a message takes its fields and the JSON-RPC envelope.
constexpr std::size_t field_overhead = 12;
constexpr std::size_t envelope_size = 60;

template <typename T> std::size_t json_size(const T& value) {
    if constexpr (std::is_same_v<T, bool>)
        return 5;
    else if constexpr (std::is_integral_v<T>)
        return std::to_string(value).size();
    else if constexpr (std::is_same_v<T, std::string>)
        return value.size() + 2;
    else if constexpr (requires { T::members(); }) {
        return std::apply(
            [&](auto... member) { return (2 + ... + (field_overhead + json_size(value.*member))); },
            T::members());
    } else {
        std::size_t size = 2;
        for (const auto& element : value)
            size += json_size(element) + 1;
        return size;
    }
}

std::size_t message_size(const control_message& message) {
    return envelope_size + std::visit([](const auto& m) { return json_size(m); }, message);
}

void print_distribution(const std::string& what, std::vector<nanoseconds> times) {
    std::sort(times.begin(), times.end());
    const auto quantile = [&](double fraction) {
        return times[static_cast<std::size_t>(fraction * static_cast<double>(times.size() - 1))] / 1ms;
    };
    std::cout << what << " ms: min " << quantile(0) << " p50 " << quantile(0.5) << " p90 " << quantile(0.9)
              << " p99 " << quantile(0.99) << " max " << quantile(1) << "\n";
}

// Guards against a takeover that exceeds the 10 s allowed after a failure. Prints the distribution of the
// time from the kill of an owner until other entries may act for all of its partitions.
TEST(ownership_measure, time_from_failure_of_an_owner_to_its_successors) {
    for (const std::size_t agents : {3U, 11U}) {
        std::vector<nanoseconds> times;
        for (std::uint64_t seed = 1; seed <= 200; ++seed) {
            simulation_options options;
            options.agents = agents;
            options.has_slow_messages = false;
            ownership_simulation simulation{options, seed};
            simulation.run_for(15s + seed * 7ms);
            ASSERT_TRUE(simulation.are_all_owned()) << seed;
            const nanoseconds killed_at = simulation.now();
            simulation.kill_entry(seed % 3);
            ASSERT_TRUE(simulation.run_until_owned(10s)) << seed;
            ASSERT_EQ(simulation.violation(), std::nullopt) << seed;
            times.push_back(simulation.now() - killed_at);
        }
        print_distribution(std::to_string(agents) + " grantors, 200 killed owners,", times);
    }
}

// Guards against control traffic that grows with time, and prints the traffic of grants for each agent. The
// design allows a daemon 2 KB/s.
TEST(ownership_measure, control_traffic_of_an_agent) {
    for (const std::size_t agents : {3U, 11U}) {
        for (const std::size_t entries : {2U, 3U}) {
            simulation_options options;
            options.agents = agents;
            options.entries = entries;
            options.has_slow_messages = false;
            ownership_simulation simulation{options, 1};
            simulation.run_for(15s);
            ASSERT_TRUE(simulation.are_all_owned());
            ownership_simulation::traffic total;
            simulation.count_traffic(total, message_size);
            constexpr std::uint64_t seconds = 180;
            simulation.run_for(std::chrono::seconds{seconds});
            const std::uint64_t agent_seconds = agents * seconds;
            std::cout << entries << " entries, " << agents << " agents: " << total.messages / agent_seconds
                      << " messages/s and " << total.bytes / agent_seconds << " bytes/s per agent\n";
            EXPECT_LE(total.messages, 2 * entries * agent_seconds * 4);
        }
    }
}

} // namespace
} // namespace persimmonstile

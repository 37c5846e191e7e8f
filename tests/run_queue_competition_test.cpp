#include "coordination/agent_core.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {
namespace {

constexpr resources run_needs{6400, 64, 0};
constexpr std::int64_t slots = 10;
constexpr milliseconds run_time{60};

// Entries that send runs to one agent at given rates, and its backend server. Steps of 1 ms; messages take
// no time. A run that is returned is not sent again.
class competition {
public:
    struct entry_result {
        int sent = 0;
        int started = 0;
        int returned = 0;
        // Returned runs that had waited in the queue for at least 5 ms.
        int returned_late = 0;
        // Runs that started after the time within which they had to.
        int started_late = 0;
    };

    competition(bool by_urgency, std::vector<double> runs_per_second, std::uint64_t seed)
        : rates_{std::move(runs_per_second)}
        , results_(rates_.size())
        , random_{seed}
        , agent_{incarnation{"agent", 1}, "zone", limits(by_urgency), now_} {
        for (link_number link = 1; link <= rates_.size(); ++link) {
            agent_.link_opened(link, now_);
            agent_.received(link, entry_welcome{owner(link), {}, {}, {}, 0}, now_);
        }
        backend_profile profile;
        profile.id = "backend";
        profile.life = 1000;
        profile.zone = "zone";
        profile.capacity = run_needs * slots;
        agent_.announced({profile, 1, clock_ms()}, now_);
        flush();
    }

    void run(milliseconds duration, milliseconds start_within) {
        run(duration, std::vector<milliseconds>(rates_.size(), start_within));
    }

    // start_within: of the runs of each entry.
    void run(milliseconds duration, const std::vector<milliseconds>& start_within) {
        const time_point end = now_ + duration;
        while (now_ < end) {
            now_ += milliseconds{1};
            end_runs();
            for (link_number link = 1; link <= rates_.size(); ++link) {
                agent_.received(link, owner_pong{now_.time_since_epoch().count(), true}, now_);
                if (std::bernoulli_distribution{rates_[link - 1] / 1000}(random_))
                    send_run(link, start_within[link - 1]);
            }
            agent_.tick(now_);
            flush();
        }
    }

    const entry_result& result(std::size_t entry) const { return results_[entry]; }

private:
    struct sent_run {
        std::size_t entry = 0;
        time_point sent{};
        milliseconds start_within{0};
    };

    static agent_limits limits(bool by_urgency) {
        agent_limits result;
        result.orders_runs_by_urgency = by_urgency;
        return result;
    }

    static incarnation owner(link_number link) { return {"entry" + std::to_string(link), link}; }

    std::int64_t clock_ms() const {
        return std::chrono::duration_cast<milliseconds>(now_.time_since_epoch()).count();
    }

    void send_run(link_number link, milliseconds start_within) {
        const std::size_t entry = link - 1;
        run_start_request message;
        message.owner = owner(link);
        message.job = "job" + std::to_string(++last_job_);
        message.is_durable = false;
        run_spec spec;
        spec.run = 1;
        spec.needs = run_needs;
        spec.expected_ms = run_time.count();
        spec.start_within_ms = start_within.count();
        message.runs.push_back(spec);
        sent_[{{message.job, 0, 0, 0}, 1}] = {entry, now_, start_within};
        ++results_[entry].sent;
        agent_.received(link, message, now_);
    }

    void end_runs() {
        for (auto run = running_.begin(); run != running_.end();) {
            if (now_ < run->second.second) {
                ++run;
                continue;
            }
            ended_.push_back({++last_end_, run->first, run_state::done, {}});
            run = running_.erase(run);
        }
    }

    // Carries out the orders and reads the reports until there are no more.
    void flush() {
        for (agent_output output = agent_.take_output(now_);
             !output.orders.empty() || !output.messages.empty(); output = agent_.take_output(now_)) {
            for (const auto& [link, message] : output.messages) {
                if (const auto* reports = std::get_if<run_reports>(&message))
                    read(*reports);
            }
            for (const backend_order& order : output.orders)
                carry_out(order);
        }
        if (waiting_hold_ && (!ended_.empty() || now_ >= hold_until_)) {
            const backend_order hold = *std::exchange(waiting_hold_, std::nullopt);
            answer_hold(hold);
            flush();
        }
    }

    void read(const run_reports& reports) {
        for (const run_report& report : reports.reports) {
            if (report.state != run_state::refused)
                continue;
            const sent_run& sent = sent_.at(report.run);
            ++results_[sent.entry].returned;
            if (now_ - sent.sent >= milliseconds{5})
                ++results_[sent.entry].returned_late;
        }
    }

    void carry_out(const backend_order& order) {
        if (const auto* hold = std::get_if<hold_order>(&order.action)) {
            std::erase_if(ended_,
                          [&](const listed_end& end) { return end.number <= hold->acknowledged_end; });
            if (hold->wait.count() > 0 && ended_.empty()) {
                waiting_hold_ = order;
                hold_until_ = now_ + hold->wait;
            } else {
                answer_hold(order);
            }
            return;
        }
        if (const auto* start = std::get_if<start_order>(&order.action)) {
            const sent_run& sent = sent_.at(start->run);
            ++results_[sent.entry].started;
            if (now_ - sent.sent > sent.start_within)
                ++results_[sent.entry].started_late;
            running_[start->run] = {now_, now_ + random_run_time()};
            EXPECT_LE(running_.size(), static_cast<std::size_t>(slots));
        }
        agent_.replied(answer(order), now_);
    }

    milliseconds random_run_time() {
        constexpr double spread = 0.4;
        const double factor =
            std::bernoulli_distribution{0.03}(random_)
                ? std::uniform_real_distribution<double>{1, 7}(random_)
                : std::lognormal_distribution<double>{-spread * spread / 2, spread}(random_);
        return milliseconds{std::max<std::int64_t>(1, std::llround(factor * run_time.count()))};
    }

    backend_reply answer(const backend_order& order) const {
        backend_reply reply;
        reply.id = order.id;
        reply.verdict = backend_verdict::accepted;
        reply.clock_ms = clock_ms();
        reply.life = 1000;
        return reply;
    }

    void answer_hold(const backend_order& order) {
        backend_reply reply = answer(order);
        for (const auto& [run, times] : running_) {
            const auto percent =
                static_cast<std::uint32_t>((now_ - times.first) * 100 / (times.second - times.first));
            reply.running.push_back({run, {}, percent});
        }
        reply.ended = ended_;
        agent_.replied(reply, now_);
    }

    time_point now_{std::chrono::seconds{100}};
    std::vector<double> rates_;
    std::vector<entry_result> results_;
    std::mt19937_64 random_;
    agent_core agent_;
    int last_job_ = 0;
    std::uint64_t last_end_ = 0;
    std::map<run_ref, sent_run> sent_;
    // Start and end of each run.
    std::map<run_ref, std::pair<time_point, time_point>> running_;
    std::vector<listed_end> ended_;
    std::optional<backend_order> waiting_hold_;
    time_point hold_until_{};
};

constexpr milliseconds duration{20000};
// Of the shortest jobs: 96 ms less the time until they are placed.
constexpr milliseconds time_left{90};
constexpr std::uint64_t seed = 7;

double started_share(const competition::entry_result& result) {
    return static_cast<double>(result.started) / result.sent;
}

// Guards against an entry that gets less than its share because another one sends more runs. The capacity is
// 160 runs per second, and the small entry sends a third of its share.
TEST(run_queue_competition, an_entry_below_its_share_gets_nearly_all_its_runs_started) {
    competition arrival{false, {300, 25}, seed};
    arrival.run(duration, time_left);
    competition urgency{true, {300, 25}, seed};
    urgency.run(duration, time_left);
    EXPECT_LT(started_share(arrival.result(1)), 0.5);
    EXPECT_GT(started_share(urgency.result(1)), 0.85);
    // What the small entry gets is not lost for the other one beyond that.
    EXPECT_GE(urgency.result(0).started + urgency.result(1).started,
              (arrival.result(0).started + arrival.result(1).started) * 98 / 100);
}

// Guards against urgent runs that wait behind runs that are late already. The entry with the urgent runs
// sends more than its share.
TEST(run_queue_competition, urgent_runs_start_before_late_ones) {
    competition urgency{true, {80, 120}, seed};
    urgency.run(duration, {milliseconds{-1}, time_left});
    EXPECT_GT(started_share(urgency.result(1)), 0.95);
    EXPECT_LT(started_share(urgency.result(0)), started_share(urgency.result(1)));
    EXPECT_EQ(urgency.result(1).started_late, 0);
}

// Guards against runs that are held in the queue although they will be returned, and against capacity that
// stays idle because runs are returned that would have got it.
TEST(run_queue_competition, returns_most_runs_at_once_and_starts_as_many) {
    for (const double load : {0.8, 1.0, 1.25}) {
        const std::vector<double> rates{load * 112, load * 48};
        competition arrival{false, rates, seed};
        arrival.run(duration, time_left);
        competition urgency{true, rates, seed};
        urgency.run(duration, time_left);
        int started_before = 0;
        int started = 0;
        int returned = 0;
        int returned_late = 0;
        for (const std::size_t entry : {0U, 1U}) {
            started_before += arrival.result(entry).started;
            started += urgency.result(entry).started;
            returned += urgency.result(entry).returned;
            returned_late += urgency.result(entry).returned_late;
            EXPECT_EQ(urgency.result(entry).started_late, 0);
        }
        EXPECT_GE(started, started_before * 99 / 100) << load;
        EXPECT_LE(returned_late * 2, returned) << load;
    }
}

} // namespace
} // namespace persimmonstile

#pragma once

#include "coordination/entry_core.h"
#include "standins/kv_model.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

namespace persimmonstile {

// Drives one entry_core directly, with a store model that answers every call at once unless a test holds the
// call.
class entry_core_test : public testing::Test {
protected:
    static constexpr link_number agent_link = 11;
    static constexpr std::int64_t task_millicores = 3000;

    explicit entry_core_test(const entry_limits& limits = {})
        : limits_{limits} {}

    const entry_limits limits_;
    const incarnation process_{"entry", 5};
    time_point now_{std::chrono::seconds{100}};
    wall_time wall_{std::chrono::hours{24 * 365 * 50}};
    kv_model store_;
    std::uint64_t last_session_ = 100;
    entry_core entry_{process_, self(), limits_, "op/", 1, [this] {
                          return ++last_session_;
                      }};
    std::vector<store_request> store_requests_;
    std::vector<std::pair<link_number, work_message>> messages_;
    std::vector<caller_reply> replies_;
    std::vector<decision> decisions_;
    caller_token last_token_ = 0;
    std::uint64_t received_starts_ = 0;

    static entry_record self() {
        entry_record result;
        result.session.name = "entry";
        result.peer_address = "entry:1";
        result.zone = "zone";
        return result;
    }

    void collect() {
        entry_output output = entry_.take_output(now_);
        std::move(output.store_calls.begin(), output.store_calls.end(), std::back_inserter(store_requests_));
        std::move(output.messages.begin(), output.messages.end(), std::back_inserter(messages_));
        std::move(output.replies.begin(), output.replies.end(), std::back_inserter(replies_));
        std::move(output.decisions.begin(), output.decisions.end(), std::back_inserter(decisions_));
    }

    // Returns the inputs of the latest decision with this text, or nothing if there was none.
    std::map<std::string, decision::value> inputs_of(std::string_view what) const {
        const auto found = std::find_if(decisions_.rbegin(), decisions_.rend(),
                                        [&](const decision& made) { return made.what == what; });
        if (found == decisions_.rend())
            return {};
        return {found->inputs.begin(), found->inputs.end()};
    }

    // Answers calls to the store until only watches and calls for which is_held is true remain open.
    void serve_store(const std::function<bool(const store_call&)>& is_held = [](const store_call&) {
        return false;
    }) {
        collect();
        for (bool has_answered = true; has_answered;) {
            has_answered = false;
            const std::vector<store_request> calls = std::exchange(store_requests_, {});
            for (const store_request& request : calls) {
                const std::optional<store_reply> reply =
                    is_held(request.call) ? std::nullopt : store_.call(request.call, now_);
                if (!reply) {
                    store_requests_.push_back(request);
                    continue;
                }
                has_answered = true;
                entry_.store_replied(request.id, *reply, now_, wall_);
                collect();
            }
        }
    }

    void advance_time(milliseconds time) {
        now_ += time;
        wall_ += time;
        entry_.tick(now_, wall_);
        collect();
    }

    void prepare(const std::function<bool(const store_call&)>& is_held = [](const store_call&) {
        return false;
    }) {
        store_.put("op/config", std::string{"configured"});
        serve_store(is_held);
        auto config = std::make_shared<deployment_config>();
        config->version = 1;
        queue_policy queue;
        queue.name = "queue";
        queue.service = "service";
        queue.max_attempts = 2;
        queue.max_stretch = 1.6;
        queue.slack = milliseconds{60};
        config->queues.push_back(queue);
        entry_.take_config_change();
        entry_.set_config(config, now_);
        serve_store(is_held);
    }

    void connect_agent(link_number link = agent_link, const std::string& name = "agent") {
        introduce_agent(link, name, 1);
        advance_time(milliseconds{1});
        serve_store();
    }

    // Process process_number of the agent connects and lists no runs. The store answers nothing meanwhile.
    void introduce_agent(link_number link, const std::string& name, std::uint64_t process_number) {
        entry_.link_opened(link, false, now_);
        agent_profile profile;
        profile.agent = {name, process_number};
        profile.zone = "zone";
        profile.accepts_runs = true;
        profile.backend.id = "backend-" + name;
        profile.backend.life = 1000;
        profile.backend.service = "service";
        profile.backend.zone = "zone";
        profile.backend.capacity = {10000, 4096, 0};
        profile.reported_capacity.free = profile.backend.capacity;
        entry_.received(link, profile, now_, wall_);
        entry_.received(link, view_ping{}, now_, wall_);
        entry_.received(link, run_inventory{process_, {}, 0}, now_, wall_);
        entry_.received(link, run_inventory{entry_.session(), {}, 0}, now_, wall_);
    }

    job_submission job(const job_id& id, bool is_durable, std::uint32_t tasks = 2) {
        job_submission request;
        request.token = ++last_token_;
        request.job = id;
        request.queue = "queue";
        job_step step;
        step.task_count = tasks;
        step.task_needs = {task_millicores, 64, 0};
        step.estimate_ms = 100;
        request.plan.steps.push_back(step);
        request.plan.is_durable = is_durable;
        request.answer_by = now_ + milliseconds{2000};
        return request;
    }

    caller_token submit(const job_submission& request) {
        entry_.submit(request, now_, wall_);
        collect();
        return request.token;
    }

    std::optional<caller_reply> reply_to(caller_token token) const {
        for (const caller_reply& reply : replies_) {
            if (reply.token == token)
                return reply;
        }
        return std::nullopt;
    }

    template <typename Message> std::vector<Message> take_messages(link_number link = agent_link) {
        std::vector<Message> taken;
        std::erase_if(messages_, [&](const auto& entry) {
            const auto* message = std::get_if<Message>(&entry.second);
            if (message == nullptr || entry.first != link)
                return false;
            taken.push_back(*message);
            return true;
        });
        return taken;
    }

    std::vector<run_ref> take_starts(link_number link = agent_link) {
        std::vector<run_ref> runs;
        for (const run_start_request& message : take_messages<run_start_request>(link)) {
            ++received_starts_;
            for (const run_spec& start : message.runs)
                runs.push_back({{message.job, start.occurrence, start.step, start.index}, start.run});
        }
        return runs;
    }

    static run_report report_of(const run_ref& run, run_state state) {
        run_report report;
        report.run = run;
        report.state = state;
        report.run_us = 100000;
        return report;
    }

    void report(const run_report& reported, link_number link = agent_link) {
        agent_free_capacity reported_capacity;
        reported_capacity.free = {10000, 4096, 0};
        reported_capacity.received_starts = received_starts_;
        entry_.received(link, run_reports{{reported}, reported_capacity}, now_, wall_);
        collect();
    }
};

} // namespace persimmonstile

#include "review/harness-3/world.h"

#include <csignal>
#include <filesystem>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile::review {

namespace {

volatile std::sig_atomic_t is_asked_to_end = 0;

using nlohmann::json;

// Third numbers of the loopback addresses.
constexpr int store_group = 1;
constexpr int entry_group = 2;
constexpr int agent_group = 3;
constexpr int executor_group = 4;

constexpr int store_port = 8169;
constexpr int front_port = 8161;
constexpr int ready_port = 8167;
constexpr int control_port = 8166;
constexpr int executor_port = 8165;
constexpr int peer_port = 7720;

// 127.x.0.0 with x from 16 on are free on a usual machine.
constexpr int first_network = 16;
constexpr int network_count = 200;

constexpr std::int64_t executor_millicores = 32000;
constexpr std::int64_t executor_memory_mb = 131072;
constexpr std::int64_t task_millicores = 3100;
constexpr std::int64_t task_memory_mb = 64;

// The interval at which the stand-in of an executor reports itself.
constexpr milliseconds report_interval{1500};

constexpr milliseconds poll_interval{2};
constexpr milliseconds start_limit{20000};

milliseconds work_in(const std::string& payload, task_index) {
    return milliseconds{std::max<long>(1, std::strtol(payload.c_str(), nullptr, 10))};
}

} // namespace

void end_case() {
    is_asked_to_end = 1;
}

world::world(const case_options& options, int entries, int agents)
    : options_{options}
    , begun_{clock_.now()}
    , record_{options.record_path}
    , network_{first_network + static_cast<int>(getpid() % network_count)} {
    std::filesystem::create_directories(options_.work);
    make_store();
    config_.version = 1;
    queue_policy queue;
    queue.name = "pickup-book";
    queue.host = "pickup-book.example";
    queue.path_prefix = "/pickup-book/";
    queue.service = "dispatch";
    queue.max_attempts = 3;
    queue.max_stretch = 1.6;
    queue.slack = milliseconds{60};
    config_.queues.push_back(queue);
    store_->model().put(config_record_key(), config_record(config_));
    store_->changed();
    for (int i = 0; i < entries; ++i)
        make_entry(i);
    for (int i = 0; i < agents; ++i)
        make_agent(i, entries);
}

// Takes the first network that no other run uses.
void world::make_store() {
    for (int tries = 1; !store_; ++tries) {
        try {
            store_ = std::make_unique<kv_server>(context_, address(store_group, 1, store_port), clock_, 1);
        } catch (const std::system_error&) {
            if (tries == network_count)
                throw;
            network_ = first_network + (network_ - first_network + 1) % network_count;
        }
    }
}

std::string world::address(int group, int number, int port) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(group) + '.' + std::to_string(number) +
           ':' + std::to_string(port);
}

std::string world::write_settings(const std::string& name, const std::string& text) const {
    std::string path = options_.work + '/' + name + ".json";
    std::ofstream{path} << text;
    return path;
}

// The settings are those of the template of the role, with the bounds of the deployment hangerloop-guj.
void world::make_entry(int number) {
    node daemon;
    daemon.name = "edge-" + std::to_string(number);
    daemon.front = address(entry_group, number + 1, front_port);
    daemon.ready = address(entry_group, number + 1, ready_port);
    json seeds = json::array();
    seeds.push_back(address(entry_group, 1, control_port));
    const json settings{{"role", "entry"},
                        {"deployment", "hangerloop"},
                        {"name", daemon.name},
                        {"zone", "surat"},
                        {"http_address", daemon.front},
                        {"ready_address", daemon.ready},
                        {"peer_address", address(entry_group, number + 1, peer_port)},
                        {"store_endpoints", {"http://" + address(store_group, 1, store_port)}},
                        {"seeds", seeds},
                        {"longest_run_lease_ms", 1000},
                        {"caller_resend_ms", 1300},
                        {"config_bound_ms", 2000},
                        {"remote_data_factor", 1.5},
                        {"retention_s", 120},
                        {"grace_s", 6},
                        {"placement", "forecast"},
                        {"borrow_agents", "unreachable"},
                        {"peer_port", peer_port}};
    daemon.log = options_.work + '/' + daemon.name + ".log";
    daemon.command = {options_.program, "--settings", write_settings(daemon.name, settings.dump(2))};
    entries_.push_back(std::move(daemon));
}

void world::make_agent(int number, int entries) {
    node daemon;
    daemon.name = "side-" + std::to_string(number);
    const std::string control = address(agent_group, number + 1, control_port);
    const std::string executor_address = address(executor_group, number + 1, executor_port);
    json seeds = json::array();
    for (int i = 0; i < entries; ++i)
        seeds.push_back(address(entry_group, i + 1, control_port));
    const json settings{{"role", "agent"},
                        {"deployment", "hangerloop"},
                        {"name", daemon.name},
                        {"zone", "surat"},
                        {"http_address", control},
                        {"backend_address", executor_address},
                        {"store_endpoints", {"http://" + address(store_group, 1, store_port)}},
                        {"seeds", seeds},
                        {"longest_run_lease_ms", 1000},
                        {"caller_resend_ms", 1300},
                        {"grace_s", 6},
                        {"run_queue", "urgency"},
                        {"peer_port", peer_port}};
    daemon.log = options_.work + '/' + daemon.name + ".log";
    daemon.command = {options_.program, "--settings", write_settings(daemon.name, settings.dump(2))};
    order_server::options server;
    server.address = executor_address;
    server.agent_address = control;
    server.profile.id = executor_name(number);
    server.profile.life = static_cast<std::uint64_t>(unix_time_ms(clock_.wall_now()));
    server.profile.service = "dispatch";
    server.profile.zone = "surat";
    server.profile.capacity = {executor_millicores, executor_memory_mb, 0};
    server.profile.labels = {"a", "r1-" + std::to_string(number)};
    first_reports_.push_back(clock_.now());
    executors_.push_back(std::make_unique<order_server>(
        context_, server, clock_, static_cast<std::uint64_t>(number) + 1, work_in,
        [this](const backend_profile& executor, const order_backend::event& event, bool is_late) {
            note(executor, event, is_late);
        }));
    agents_.push_back(std::move(daemon));
}

void world::record(const std::string& line) {
    const auto at = std::chrono::duration_cast<milliseconds>(clock_.now() - begun_).count();
    record_ << at << " ms: " << line << std::endl;
}

void world::note(const backend_profile& executor, const order_backend::event& event, bool is_late) {
    const run_ref& run = event.run;
    const std::string name = run.task.job + '.' + std::to_string(run.task.occurrence) + '.' +
                             std::to_string(run.task.step) + '.' + std::to_string(run.task.index) + " run " +
                             std::to_string(run.run);
    if (event.what == order_backend::event::kind::started) {
        runs_.push_back({executor.id, run, event.at, time_point::max(), run_state::running});
        record(executor.id + " starts " + name + (is_late ? " (order carried out late)" : ""));
    } else if (event.what == order_backend::event::kind::ended) {
        for (run_interval& known : runs_) {
            if (known.executor == executor.id && known.run == run && known.ended == time_point::max()) {
                known.ended = event.at;
                known.how = event.final_state;
            }
        }
        record(executor.id + " ends " + name + ": " + std::string{to_string(event.final_state)});
    } else {
        record(executor.id + " has the end of " + name + " acknowledged");
    }
}

void world::run_for(milliseconds time) {
    run_until([] { return false; }, time);
}

bool world::run_until(const std::function<bool()>& condition, milliseconds limit) {
    const time_point end = clock_.now() + limit;
    while (!condition()) {
        if (is_asked_to_end != 0)
            throw std::runtime_error{"asked to end"};
        if (clock_.now() >= end)
            return false;
        context_.run_one_for(poll_interval);
    }
    return true;
}

void world::start(node& daemon) {
    record(daemon.name + " is started");
    daemon.process = std::make_unique<soak::child_process>(daemon.command, daemon.log);
}

void world::signal(node& daemon, int number) {
    if (daemon.process)
        daemon.process->signal(number);
}

bool world::begin() {
    for (std::vector<node>* daemons : {&entries_, &agents_}) {
        for (node& daemon : *daemons)
            start(daemon);
    }
    // Two jobs in a row are completed at each entry, so that all of them know all agents.
    const time_point end = clock_.now() + start_limit;
    std::uint64_t number = 0;
    for (int entry_number = 0; entry_number < static_cast<int>(entries_.size()); ++entry_number) {
        for (int completed = 0; completed < 2;) {
            if (clock_.now() >= end)
                return false;
            std::string job = "00000000" + std::to_string(10000000 + ++number);
            const auto answer =
                submit(entry_number, job, plan_of(8, milliseconds{20}, false), milliseconds{1500});
            run_until([&] { return answer->has_arrived; }, milliseconds{2000});
            if (state_in(answer->answer) == job_state::completed)
                ++completed;
            else
                run_for(milliseconds{200});
        }
    }
    run_for(milliseconds{3000});
    record("the deployment serves");
    return true;
}

job_plan world::plan_of(std::uint32_t tasks, milliseconds work, bool is_durable) {
    job_plan plan;
    plan.payload = std::to_string(work.count());
    plan.is_durable = is_durable;
    job_step step;
    step.task_count = tasks;
    step.task_needs = {task_millicores, task_memory_mb, 0};
    step.estimate_ms = work.count();
    plan.steps.push_back(step);
    return plan;
}

std::shared_ptr<client_answer> world::send(const std::string& what, http_client_request request) {
    record("client sends " + what);
    auto result = std::make_shared<client_answer>();
    clients_.push_back(std::make_unique<http_client>(context_, 1));
    clients_.back()->send(request, [this, result, what](const http_answer& answer) {
        result->has_arrived = true;
        result->answer = answer;
        result->at = clock_.now();
        record("client gets " +
               (answer.status != 0 ? std::to_string(answer.status) + ' ' + answer.body
                                   : "no answer (" + answer.error + ")") +
               " to " + what);
    });
    return result;
}

std::shared_ptr<client_answer> world::submit(int number, const job_id& job, const job_plan& plan,
                                             milliseconds patience) {
    return send("POST " + job + " to " + entry(number).name,
                submit_request(entry(number).front, config_.queues.front(), job, plan, patience));
}

std::shared_ptr<client_answer> world::ask(int number, const job_id& job, milliseconds patience) {
    return send("GET " + job + " to " + entry(number).name,
                state_request(entry(number).front, config_.queues.front(), job, patience));
}

std::shared_ptr<client_answer> world::cancel(int number, const job_id& job, milliseconds patience) {
    return send("DELETE " + job + " to " + entry(number).name,
                cancel_request(entry(number).front, config_.queues.front(), job, patience));
}

milliseconds world::until_report(int executor) const {
    const auto since = std::chrono::duration_cast<milliseconds>(
        clock_.now() - first_reports_[static_cast<std::size_t>(executor)]);
    return report_interval - since % report_interval;
}

std::vector<run_interval> world::runs_of(const job_id& job) const {
    std::vector<run_interval> result;
    for (const run_interval& run : runs_) {
        if (run.run.task.job == job)
            result.push_back(run);
    }
    return result;
}

std::vector<std::string> world::overlaps(const job_id& job) const {
    std::vector<std::string> result;
    const std::vector<run_interval> runs = runs_of(job);
    for (std::size_t i = 0; i < runs.size(); ++i) {
        for (std::size_t k = i + 1; k < runs.size(); ++k) {
            const time_point from = std::max(runs[i].begun, runs[k].begun);
            const time_point to = std::min({runs[i].ended, runs[k].ended, clock_.now()});
            if (!(runs[i].run.task == runs[k].run.task) || from >= to)
                continue;
            const auto length = std::chrono::duration_cast<milliseconds>(to - from).count();
            result.push_back("task " + std::to_string(runs[i].run.task.index) + " of " + job + ": run " +
                             std::to_string(runs[i].run.run) + " at " + runs[i].executor + " and run " +
                             std::to_string(runs[k].run.run) + " at " + runs[k].executor +
                             " are in progress together for " + std::to_string(length) + " ms");
        }
    }
    return result;
}

} // namespace persimmonstile::review

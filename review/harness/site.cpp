#include "site.h"

#include "platform/order_codec.h"
#include "protocol/record_codec.h"
#include "standins/caller_wire.h"
#include "state/deployment_config.h"

#include <algorithm>
#include <filesystem>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile::review {

namespace {

using nlohmann::json;

// Third numbers of the loopback addresses.
constexpr int store_group = 1;
constexpr int entry_group = 2;
constexpr int side_group = 3;
constexpr int executor_group = 4;
constexpr int entry_proxy_group = 5;
constexpr int store_proxy_group = 6;
constexpr int side_store_group = 7;

constexpr int front_port = 8161;
constexpr int executor_port = 8165;
constexpr int control_port = 8166;
constexpr int ready_port = 8167;
constexpr int store_port = 8169;
constexpr int peer_port = 7720;
constexpr int metrics_port = 9464;

constexpr int first_network = 16;
constexpr int network_count = 200;

// Bounds of a small deployment.
constexpr milliseconds usual_store_delay{4};
constexpr milliseconds resend_pause{1300};
constexpr milliseconds submit_limit{8000};
constexpr milliseconds ask_pause{200};
constexpr std::size_t client_connections = 64;

constexpr const char* queue_host = "work.example";
constexpr const char* queue_prefix = "/tasks/";

std::string kind_text(const run_event& event) {
    if (event.what == run_event::kind::started)
        return "started";
    const std::string result{to_string(event.result)};
    return (event.what == run_event::kind::ended ? "ended " : "end noted ") + result;
}

} // namespace

std::string task_text(const task_ref& task) {
    return platform::task_name(task);
}

std::string job_body(int count, int work_ms, const std::string& more_of_step,
                     const std::string& more_of_job) {
    std::ostringstream body;
    body << R"({"Spec":")" << work_ms << R"(","Steps":[{"Count":)" << count
         << R"(,"Cpu":3100,"MemMb":64,"EstRuntimeMs":)" << work_ms << more_of_step << "}]" << more_of_job
         << '}';
    return body.str();
}

std::string short_job_body(int count, int work_ms) {
    std::ostringstream body;
    body << R"({"Spec":")" << work_ms << R"(","BestEffort":true,"Steps":[{"Count":)" << count
         << R"(,"Cpu":500,"MemMb":64,"EstRuntimeMs":)" << work_ms << "}]}";
    return body.str();
}

site::site(asio::io_context& context, const site_options& options)
    : context_{context}
    , options_{options}
    , begun_{clock_.now()}
    , record_{options.record}
    , network_{first_network + static_cast<int>(getpid() % network_count)}
    , client_{context, client_connections} {
    std::filesystem::create_directories(options_.work);
    // Takes the first network that no other run uses.
    for (int tries = 1; !store_; ++tries) {
        try {
            store_ = std::make_unique<kv_server>(context_, address(store_group, 1, store_port), clock_, 1);
        } catch (const std::system_error&) {
            if (tries == network_count)
                throw;
            network_ = first_network + (network_ - first_network + 1) % network_count;
        }
    }
    gate_ = std::make_unique<store_gate>(context_, address(store_group, 2, store_port),
                                         address(store_group, 1, store_port));
    set_store_delay(usual_store_delay);
}

site::~site() {
    for (std::vector<daemon_process>* daemons : {&entries_, &sides_}) {
        for (daemon_process& daemon : *daemons)
            daemon.process.reset();
    }
}

std::string site::address(int group, std::size_t number, int port) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(group) + '.' + std::to_string(number) +
           ':' + std::to_string(port);
}

std::string site::write_settings(const std::string& name, const std::string& text) const {
    std::string path = options_.work + '/' + name + ".json";
    std::ofstream{path} << text;
    return path;
}

void site::set_store_delay(milliseconds delay) {
    kv_faults faults;
    faults.delay = delay;
    store_->set_faults(faults);
}

void site::start_entries(int count) {
    const std::vector<std::string> zones{"sul-poa", "sul-cwb", "sul-fln"};
    for (std::size_t number = 1; number <= static_cast<std::size_t>(count); ++number) {
        daemon_process daemon;
        daemon.name = "edge-" + std::to_string(number);
        daemon.front_address = address(entry_group, number, front_port);
        const std::string store = address(store_proxy_group, number, store_port);
        const std::string peers = address(entry_proxy_group, number, peer_port);
        daemon.to_store = std::make_unique<link_proxy>(context_, store, address(store_group, 2, store_port));
        daemon.to_peer =
            std::make_unique<link_proxy>(context_, peers, address(entry_group, number, peer_port));
        const json settings{{"role", "entry"},
                            {"deployment", "hangerloop"},
                            {"name", daemon.name},
                            {"zone", zones[(number - 1) % zones.size()]},
                            {"http_address", daemon.front_address},
                            {"ready_address", address(entry_group, number, ready_port)},
                            {"peer_address", address(entry_group, number, peer_port)},
                            {"advertised_peer_address", peers},
                            {"metrics_address", address(entry_group, number, metrics_port)},
                            {"store_endpoints", {"http://" + store}},
                            {"longest_run_lease_ms", 1000},
                            {"caller_resend_ms", 1300},
                            {"config_bound_ms", 2000},
                            {"remote_data_factor", 1.5},
                            {"retention_s", 120},
                            {"grace_s", 6},
                            {"peer_port", peer_port}};
        daemon.log_path = options_.work + '/' + daemon.name + ".log";
        daemon.command = {options_.programs + "/persimmonstiled", "--settings",
                          write_settings(daemon.name, settings.dump(2))};
        entries_.push_back(std::move(daemon));
        restart(entries_.back());
    }
}

void site::start_sides(const std::vector<side_options>& sides, executor::planner plan) {
    const std::vector<std::string> zones{"sul-poa", "sul-cwb", "sul-fln"};
    plan_ = std::move(plan);
    json seeds = json::array();
    for (std::size_t number = 1; number <= entries_.size(); ++number)
        seeds.push_back(address(entry_proxy_group, number, control_port));
    for (const side_options& side : sides) {
        const std::size_t number = sides_.size() + 1;
        daemon_process daemon;
        daemon.name = "side-" + std::to_string(number);
        const std::string zone = zones[(number - 1) % zones.size()];
        const std::string control = address(side_group, number, control_port);
        const std::string orders = address(executor_group, number, executor_port);
        const std::string store = address(side_store_group, number, store_port);
        daemon.to_store = std::make_unique<link_proxy>(context_, store, address(store_group, 2, store_port));
        const json settings{{"role", "agent"},
                            {"deployment", "hangerloop"},
                            {"name", daemon.name},
                            {"zone", zone},
                            {"http_address", control},
                            {"metrics_address", address(side_group, number, metrics_port)},
                            {"backend_address", orders},
                            {"store_endpoints", {"http://" + store}},
                            {"seeds", seeds},
                            {"longest_run_lease_ms", 1000},
                            {"caller_resend_ms", 1300},
                            {"grace_s", 6},
                            {"peer_port", peer_port}};
        daemon.log_path = options_.work + '/' + daemon.name + ".log";
        daemon.command = {options_.programs + "/persimmonstiled", "--settings",
                          write_settings(daemon.name, settings.dump(2))};
        sides_.push_back(std::move(daemon));
        restart(sides_.back());
        backend_profile profile;
        profile.id = "i-" + std::to_string(number);
        profile.service = "dispatch";
        profile.zone = zone;
        profile.capacity = {side.cpu, 65536, 0};
        profile.labels = side.labels;
        executors_.push_back(std::make_unique<executor>(
            context_, clock_, orders, control, profile,
            [this](const std::string& id, const start_order& start) { return plan_(id, start); },
            [this](const run_event& event) { handle_event(event); }));
    }
}

void site::write_config(std::uint32_t attempts) {
    deployment_config config;
    config.version = ++config_version_;
    queue_policy queue;
    queue.name = "work";
    queue.host = queue_host;
    queue.path_prefix = queue_prefix;
    queue.service = "dispatch";
    queue.max_attempts = attempts;
    queue.max_stretch = 1.6;
    queue.slack = milliseconds{60};
    config.queues.push_back(queue);
    store_->model().put(config_record_key(), config_record(config));
    store_->changed();
}

bool site::wait_until_serving() {
    for (std::size_t number = 1; number <= entries_.size(); ++number) {
        const std::string job = "00000000000000a" + std::to_string(number);
        if (!submit(number, job, job_body(1, 50)))
            return false;
        const time_point end = clock_.now() + submit_limit;
        while (state_of(job) != "completed") {
            if (clock_.now() >= end)
                return false;
            run_for(ask_pause);
        }
    }
    note("the deployment serves");
    return true;
}

void site::signal(daemon_process& daemon, int number) {
    note("signal " + std::to_string(number) + " to " + daemon.name);
    if (daemon.process)
        daemon.process->signal(number);
}

void site::restart(daemon_process& daemon) {
    note("start " + daemon.name);
    daemon.process = std::make_unique<soak::child_process>(daemon.command, daemon.log_path);
}

bool site::has_ended(daemon_process& daemon) {
    return !daemon.process || daemon.process->has_ended();
}

std::shared_ptr<client_answer> site::send(std::size_t entry, const std::string& method,
                                          const std::string& path, const std::string& body,
                                          milliseconds deadline) {
    http_client_request request;
    request.method = method;
    request.url = "http://" + entries_.at(entry - 1).front_address + queue_prefix + path;
    request.headers = {std::string{"Host: "} + queue_host, "Content-Type: application/json",
                       "Deadline-Ms: " + std::to_string(deadline.count())};
    request.body = body;
    request.timeout = deadline;
    auto answer = std::make_shared<client_answer>();
    const std::string what = "client: " + method + ' ' + path + " at edge-" + std::to_string(entry);
    note(what + (body.empty() ? "" : ' ' + body));
    client_.send(request, [this, answer, what](const http_answer& received) {
        answer->is_done = true;
        answer->status = received.status;
        answer->body = received.body;
        note(what + " -> " +
             (received.status == 0 ? received.error : std::to_string(received.status) + ' ' + received.body));
    });
    return answer;
}

client_answer site::call(std::size_t entry, const std::string& method, const std::string& path,
                         const std::string& body, milliseconds deadline) {
    const auto answer = send(entry, method, path, body, deadline);
    run_until([&] { return answer->is_done; }, deadline + milliseconds{1000});
    return *answer;
}

bool site::submit(std::size_t entry, const std::string& job, const std::string& body) {
    const time_point end = clock_.now() + submit_limit;
    while (clock_.now() < end) {
        const client_answer answer = call(entry, "POST", job, body, milliseconds{1500});
        if (answer.status >= 200 && answer.status < 300)
            return true;
        run_for(resend_pause);
    }
    return false;
}

std::string site::state_of(const std::string& job) {
    for (std::size_t number = 1; number <= entries_.size(); ++number) {
        if (has_ended(entries_[number - 1]))
            continue;
        const client_answer answer = call(number, "GET", job, {}, milliseconds{1500});
        const json body = json::parse(answer.body, nullptr, false);
        if (answer.status == 200 && body.is_object() && body.contains("State"))
            return body["State"].get<std::string>();
    }
    return {};
}

void site::run_for(milliseconds time) {
    run_until([] { return false; }, time);
}

bool site::run_until(const std::function<bool()>& condition, milliseconds limit) {
    const time_point end = clock_.now() + limit;
    while (!condition()) {
        if (clock_.now() >= end)
            return false;
        if (is_asked_to_end_ && is_asked_to_end_())
            throw std::runtime_error{"asked to end"};
        context_.run_one_for(milliseconds{2});
    }
    return true;
}

std::vector<std::string> site::running(const std::string& task) const {
    std::vector<std::string> places;
    for (const auto& each : executors_) {
        for (const run_ref& run : each->running()) {
            if (task_text(run.task) == task)
                places.push_back(each->profile().id);
        }
    }
    return places;
}

std::optional<stored_record> site::stored(const std::string& key) const {
    const auto& items = store_->model().items();
    const auto found = items.find(key);
    if (found == items.end())
        return std::nullopt;
    const auto* bytes = std::get_if<std::string>(&found->second.value);
    return bytes != nullptr ? decode_record<stored_record>(*bytes) : std::nullopt;
}

std::vector<std::string> site::stored_keys(const std::string& prefix) const {
    std::vector<std::string> keys;
    for (const auto& [key, item] : store_->model().items()) {
        if (key.starts_with(prefix))
            keys.push_back(key);
    }
    return keys;
}

void site::handle_event(const run_event& event) {
    events_.push_back(event);
    note("executor " + event.executor + ": " + task_text(event.run.task) + " run " +
         std::to_string(event.run.run) + ' ' + kind_text(event));
    if (on_event_)
        on_event_(event);
}

std::int64_t site::elapsed_ms() const {
    return std::chrono::duration_cast<milliseconds>(clock_.now() - begun_).count();
}

void site::note(const std::string& text) {
    record_ << std::setw(7) << elapsed_ms() << " ms  " << text << std::endl;
}

} // namespace persimmonstile::review

#include "cli/local_deployment.h"

#include "cli/http_call.h"
#include "coordination/key_value_store.h"

#include <condition_variable>
#include <mutex>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr const char* cell = "local";
constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::chrono::milliseconds fastest_task{1};

std::string zone_name(std::size_t index) {
    return "zone-" + std::to_string(index + 1);
}

etcd_store_settings client_settings(const store_standin& store) {
    etcd_store_settings settings;
    settings.endpoints = {store.url()};
    return settings;
}

fleet_declarations first_declarations(const local_options& options) {
    fleet_declarations declarations;
    for (std::size_t i = 0; i < options.zones; ++i)
        declarations.zones.insert(zone_name(i));
    declarations.services.emplace(options.service, fastest_task);
    declarations.teams.insert(options.team);
    return declarations;
}

std::string get_body(const std::string& url) {
    http_call call;
    call.url = url;
    const auto answer = perform(call);
    const auto* received = std::get_if<call_answer>(&answer);
    return received == nullptr || received->status != 200 ? std::string{} : received->body;
}

// True if every entry owns partitions and their sum is complete.
bool owns_everything(const std::vector<std::string>& entry_urls) {
    std::size_t sum = 0;
    for (const std::string& url : entry_urls) {
        const nlohmann::json status = nlohmann::json::parse(get_body(url + "/v1/status"), nullptr, false);
        if (!status.is_object() || !status.value("in_force", false) || status.value("partitions", 0) == 0)
            return false;
        sum += status.value("partitions", std::size_t{0});
    }
    return sum == partition_count;
}

} // namespace

bool wait_until(std::chrono::milliseconds limit, const std::function<bool()>& condition) {
    std::mutex mutex;
    std::condition_variable never;
    std::unique_lock lock{mutex};
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        never.wait_for(lock, poll_interval);
    }
    return true;
}

local_deployment::local_deployment(local_options options, const clock_source& clock)
    : options_{std::move(options)}
    , clock_{clock}
    , store_{{}, clock}
    , client_{client_settings(store_), clock, 1}
    , entries_(options_.entries)
    , agents_(options_.agents) {
    apply(first_declarations(options_));
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        entries_[i].settings = entry_settings(i);
        start_entry(i);
    }
    for (std::size_t i = 0; i < agents_.size(); ++i) {
        agents_[i].settings = agent_settings(i);
        start_agent(i);
        backend_settings backend;
        backend.name = "backend-" + std::to_string(i + 1);
        backend.agent_url = "http://" + agents_[i].settings.http_address;
        backend.service = options_.service;
        backend.slots = options_.slots;
        backend.speed = options_.speed(i);
        agents_[i].backend = std::make_unique<backend_standin>(backend);
    }
}

local_deployment::~local_deployment() {
    for (agent_slot& slot : agents_)
        slot.daemon.reset();
    for (entry_slot& slot : entries_)
        slot.daemon.reset();
}

daemon_settings local_deployment::entry_settings(std::size_t index) const {
    daemon_settings settings;
    settings.role = daemon_role::entry;
    settings.name = "entry-" + std::to_string(index + 1);
    settings.zone = zone_name(index % options_.zones);
    if (options_.first_port != 0)
        settings.http_address = "127.0.0.1:" + std::to_string(options_.first_port + index);
    settings.store_endpoints = {store_.url()};
    settings.cell = cell;
    options_.adjust(settings);
    return settings;
}

daemon_settings local_deployment::agent_settings(std::size_t index) const {
    daemon_settings settings;
    settings.role = daemon_role::agent;
    settings.name = "agent-" + std::to_string(index + 1);
    settings.zone = zone_name(index % options_.zones);
    settings.rack = "rack-" + std::to_string(index / 3 + 1);
    settings.cell = cell;
    for (const entry_slot& entry : entries_)
        settings.peers.push_back(entry.settings.peer_address);
    options_.adjust(settings);
    return settings;
}

void local_deployment::start_entry(std::size_t index) {
    entry_slot& slot = entries_.at(index);
    slot.daemon = std::make_unique<entry_daemon>(slot.settings, clock_);
    // A restart takes the same addresses, as a replaced instance behind a fixed address would.
    slot.settings.http_address = slot.daemon->http_address();
    slot.settings.peer_address = slot.daemon->peer_address();
}

void local_deployment::start_agent(std::size_t index) {
    agent_slot& slot = agents_.at(index);
    slot.daemon = std::make_unique<agent_daemon>(slot.settings, clock_);
    slot.settings.http_address = slot.daemon->http_address();
}

void local_deployment::kill_entry(std::size_t index) {
    entries_.at(index).daemon.reset();
}

void local_deployment::kill_agent(std::size_t index) {
    agents_.at(index).daemon.reset();
}

bool local_deployment::stop_entry(std::size_t index, std::chrono::seconds limit) {
    entry_daemon& daemon = *entries_.at(index).daemon;
    daemon.begin_shutdown();
    const bool drained = wait_until(limit, [&] { return daemon.is_drained(); });
    entries_.at(index).daemon.reset();
    return drained;
}

bool local_deployment::stop_agent(std::size_t index, std::chrono::seconds limit) {
    agent_daemon& daemon = *agents_.at(index).daemon;
    daemon.begin_shutdown();
    const bool drained = wait_until(limit, [&] { return daemon.is_drained(); });
    agents_.at(index).daemon.reset();
    return drained;
}

bool local_deployment::wait_until_ready(std::chrono::seconds limit) {
    std::vector<std::string> running;
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (entries_[i].daemon)
            running.push_back(entry_url(i));
    }
    const auto is_agent_ready = [](const agent_slot& slot) {
        return !slot.daemon || !get_body("http://" + slot.daemon->http_address() + "/readyz").empty();
    };
    return wait_until(limit, [&] {
        for (const agent_slot& slot : agents_) {
            if (!is_agent_ready(slot) || !slot.backend->is_announcement_accepted())
                return false;
        }
        return owns_everything(running);
    });
}

std::string local_deployment::entry_url(std::size_t index) const {
    return "http://" + entries_.at(index).settings.http_address;
}

bool local_deployment::apply(const fleet_declarations& declarations) {
    change_metadata metadata;
    metadata.author = "local";
    metadata.reason = "change of the local deployment";
    metadata.time = clock_.wall_now();
    metadata.writer = "local";
    metadata.operation_id = std::to_string(document_.revision + 1);
    fleet_document next = next_document(document_, declarations, metadata);
    const auto written = client_.compare_and_swap(config_key(cell), encode_fleet_document(next), config_mod_);
    const auto* revision = std::get_if<store_written>(&written);
    if (revision == nullptr)
        return false;
    config_mod_ = revision->mod_revision;
    document_ = std::move(next);
    return true;
}

fleet_declarations local_deployment::declarations() const {
    return document_.declarations;
}

std::size_t local_deployment::total_starts() const {
    std::size_t sum = 0;
    for (const agent_slot& slot : agents_)
        sum += slot.backend->starts().total;
    return sum;
}

std::size_t local_deployment::double_starts() const {
    std::set<std::string> seen;
    std::size_t doubles = 0;
    for (const agent_slot& slot : agents_) {
        for (const task_start& start : slot.backend->start_log()) {
            if (!seen.insert(start.task).second)
                ++doubles;
        }
    }
    return doubles;
}

} // namespace persimmonstile

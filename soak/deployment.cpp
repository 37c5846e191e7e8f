#include "soak/deployment.h"

#include "standins/caller_wire.h"
#include "transport/logging.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace persimmonstile::soak {

namespace {

using nlohmann::json;

// Third numbers of the loopback addresses.
constexpr int store_group = 1;
constexpr int entry_group = 2;
constexpr int agent_group = 3;
constexpr int backend_group = 4;
constexpr int entry_proxy_group = 5;
constexpr int store_proxy_group = 6;
constexpr int backend_proxy_group = 7;

constexpr int front_port = 8161;
constexpr int ready_port = 8167;
constexpr int control_port = 8166;
constexpr int peer_port = 7720;
constexpr int metrics_port = 9464;
constexpr int store_port = 8169;
constexpr int backend_port = 8165;

// Backend servers differ in room and speed, as those of the users do.
constexpr std::int64_t small_millicores = 32000;
constexpr std::int64_t large_millicores = 48000;
constexpr std::int64_t memory_mb = 131072;
constexpr double fast_slowness = 0.6;
constexpr double slow_slowness = 1.4;

// 127.x.0.0 with x from 16 on are free on a usual machine.
constexpr int first_network = 16;
constexpr int network_count = 200;

// Added to the number of the signal that ended a process.
constexpr int signal_base = 128;

std::size_t zone_of(int number) {
    return static_cast<std::size_t>(number) % 3;
}

} // namespace

deployment::deployment(asio::io_context& context, const soak_options& options, const clock_source& clock,
                       order_server::work_reader work, order_server::event_handler on_event)
    : context_{context}
    , options_{options}
    , clock_{clock}
    , work_{std::move(work)}
    , on_event_{std::move(on_event)}
    , network_{first_network + static_cast<int>(getpid() % network_count)} {
    std::filesystem::create_directories(options_.work);
    make_store();
    make_config();
    for (int i = 1; i <= options_.entries; ++i)
        make_entry(i);
    for (int i = 1; i <= options_.backends; ++i)
        make_agent(i);
}

// Takes the first network that no other run uses.
void deployment::make_store() {
    for (int tries = 1; !store_; ++tries) {
        try {
            store_ = std::make_unique<kv_server>(context_, address(store_group, 1, store_port), clock_,
                                                 options_.seed);
        } catch (const std::system_error&) {
            if (tries == network_count)
                throw;
            network_ = first_network + (network_ - first_network + 1) % network_count;
        }
    }
}

std::string deployment::address(int group, int number, int port) const {
    return "127." + std::to_string(network_) + '.' + std::to_string(group) + '.' + std::to_string(number) +
           ':' + std::to_string(port);
}

std::string deployment::write_settings(const std::string& name, const std::string& text) const {
    std::string path = options_.work + '/' + name + ".json";
    std::ofstream{path} << text;
    return path;
}

void deployment::make_config() {
    config_.version = 1;
    const auto add = [&](const std::string& name, std::uint32_t priority) {
        queue_policy queue;
        queue.name = name;
        queue.host = name + ".example";
        queue.path_prefix = '/' + name + '/';
        queue.service = "dispatch";
        queue.max_attempts = 3;
        queue.priority = priority;
        queue.max_stretch = 1.6;
        queue.slack = milliseconds{60};
        config_.queues.push_back(queue);
    };
    add("short", 0);
    add("long", 2);
    add("common", 1);
    change_config(config_);
}

void deployment::change_config(deployment_config config) {
    config_ = std::move(config);
    store_->model().put(config_record_key(), config_record(config_));
    store_->changed();
}

void deployment::set_zone_out(const std::string& zone, bool is_out) {
    if (is_out)
        store_->model().put(zone_out_key(zone), std::string{"{}"});
    else
        store_->model().remove(zone_out_key(zone));
    store_->changed();
}

void deployment::make_entry(int number) {
    daemon_node node;
    node.name = "entry-" + std::to_string(number);
    node.zone = zones_[zone_of(number)];
    node.front_address = address(entry_group, number, front_port);
    node.ready_address = address(entry_group, number, ready_port);
    node.metrics_address = address(entry_group, number, metrics_port);
    const std::string store = address(store_proxy_group, number, store_port);
    const std::string peers = address(entry_proxy_group, number, peer_port);
    node.to_store = std::make_unique<fault_proxy>(context_, store, address(store_group, 1, store_port));
    node.to_peer = std::make_unique<fault_proxy>(context_, peers, address(entry_group, number, peer_port));
    const json settings{{"role", "entry"},
                        {"deployment", "hangerloop"},
                        {"name", node.name},
                        {"zone", node.zone},
                        {"http_address", node.front_address},
                        {"ready_address", node.ready_address},
                        {"peer_address", address(entry_group, number, peer_port)},
                        {"advertised_peer_address", peers},
                        {"metrics_address", node.metrics_address},
                        {"store_endpoints", {"http://" + store}},
                        {"peer_port", peer_port},
                        {"log_level", options_.log_level}};
    node.log_path = options_.work + '/' + node.name + ".log";
    node.command = {options_.programs + "/persimmonstiled", "--settings",
                    write_settings(node.name, settings.dump(2))};
    start(node);
    entries_.push_back(std::move(node));
}

void deployment::make_agent(int number) {
    daemon_node node;
    node.name = "agent-" + std::to_string(number);
    node.zone = zones_[zone_of(number)];
    node.metrics_address = address(agent_group, number, metrics_port);
    const std::string store = address(store_proxy_group, 100 + number, store_port);
    const std::string orders = address(backend_proxy_group, number, backend_port);
    const std::string own_backend = address(backend_group, number, backend_port);
    const std::string control = address(agent_group, number, control_port);
    node.to_store = std::make_unique<fault_proxy>(context_, store, address(store_group, 1, store_port));
    node.to_backend = std::make_unique<fault_proxy>(context_, orders, own_backend);
    json seeds = json::array();
    for (int entry = 1; entry <= options_.entries; ++entry)
        seeds.push_back(address(entry_proxy_group, entry, control_port));
    const json settings{{"role", "agent"},
                        {"deployment", "hangerloop"},
                        {"name", node.name},
                        {"zone", node.zone},
                        {"http_address", control},
                        {"backend_address", orders},
                        {"metrics_address", node.metrics_address},
                        {"store_endpoints", {"http://" + store}},
                        {"seeds", seeds},
                        {"peer_port", peer_port},
                        {"log_level", options_.log_level}};
    node.log_path = options_.work + '/' + node.name + ".log";
    node.command = {options_.programs + "/persimmonstiled", "--settings",
                    write_settings(node.name, settings.dump(2))};
    start(node);
    order_server::options server;
    server.address = own_backend;
    server.agent_address = control;
    server.profile.id = "backend-" + std::to_string(number);
    server.profile.life = static_cast<std::uint64_t>(unix_time_ms(clock_.wall_now()));
    server.profile.service = "dispatch";
    server.profile.zone = node.zone;
    const bool is_large = number % 3 == 0;
    server.profile.capacity = {is_large ? large_millicores : small_millicores, memory_mb, 0};
    server.profile.labels = {is_large ? "b" : "a", "r1-" + std::to_string(number / 3)};
    server.slowness = is_large ? fast_slowness : slow_slowness;
    backends_.push_back(std::make_unique<order_server>(
        context_, server, clock_, options_.seed + static_cast<std::uint64_t>(number), work_, on_event_));
    agents_.push_back(std::move(node));
}

void deployment::start(daemon_node& node) {
    node.process = std::make_unique<child_process>(node.command, node.log_path);
    node.is_frozen = false;
    node.is_asked_to_end = false;
}

int deployment::restart_ended() {
    int own_ends = 0;
    for (std::vector<daemon_node>* nodes : {&entries_, &agents_}) {
        for (daemon_node& node : *nodes) {
            if (!node.process || !node.process->has_ended())
                continue;
            const int code = node.process->exit_code();
            // SIGTERM may come before a process has set its handler up.
            const bool is_orderly = node.is_asked_to_end && (code == 0 || code == signal_base + SIGTERM);
            if (code != signal_base + SIGKILL && !is_orderly) {
                ++own_ends;
                log_event(log_level::error, "processes", "process has ended by itself",
                          {{"name", node.name}, {"exit_code", code}});
            }
            start(node);
        }
    }
    return own_ends;
}

microseconds deployment::processor_time(const std::vector<daemon_node>& nodes) {
    microseconds time{0};
    for (const daemon_node& node : nodes)
        time += node.process ? node.process->processor_time() : microseconds{0};
    return time;
}

std::size_t deployment::process_count() const {
    return entries_.size() + agents_.size();
}

std::size_t deployment::resident_bytes() const {
    std::size_t bytes = 0;
    for (const std::vector<daemon_node>* nodes : {&entries_, &agents_}) {
        for (const daemon_node& node : *nodes)
            bytes += node.process ? node.process->resident_bytes() : 0;
    }
    return bytes;
}

} // namespace persimmonstile::soak

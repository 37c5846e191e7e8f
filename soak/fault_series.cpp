#include "soak/fault_series.h"

#include "transport/logging.h"

#include <array>
#include <csignal>
#include <memory>
#include <utility>

namespace persimmonstile::soak {

namespace {

constexpr const char* component = "faults";

// Faults last from a blink to longer than the leases of owners, backend servers and sessions.
constexpr milliseconds shortest_fault{150};
constexpr milliseconds longest_fault{4500};
// A store outage may be longer than its leases.
constexpr milliseconds longest_outage{6000};
constexpr milliseconds longest_delay{300};

// A process that was asked to end must have ended after this time, or it is killed, as the platform does.
constexpr milliseconds grace{6000};

// Planned work is undone after this time, which is longer than the bounds of its promises.
constexpr milliseconds planned_length{9000};

// Stray reports arrive this often, for a time that is longer than a lease.
constexpr milliseconds shortest_report_gap{2400};
constexpr milliseconds longest_report_gap{2850};
constexpr milliseconds shortest_stray{2000};
constexpr milliseconds longest_stray{9000};
// How far apart times of birth may be when the time of day has been set.
constexpr milliseconds shortest_step{1};
constexpr milliseconds longest_step{3600000};

constexpr double lost_orders = 0.3;
constexpr double lost_writes = 0.3;
constexpr double failing_runs = 0.5;

} // namespace

fault_series::fault_series(asio::io_context& context, const soak_options& options, const clock_source& clock,
                           deployment& world, promise_check& check)
    : context_{context}
    , options_{options}
    , clock_{clock}
    , world_{world}
    , check_{check}
    , random_{options.seed ^ 0x5eedULL}
    , next_{context} {}

std::size_t fault_series::pick(std::size_t below) {
    return std::uniform_int_distribution<std::size_t>{0, below - 1}(random_);
}

milliseconds fault_series::time_between(milliseconds shortest, milliseconds longest) {
    return milliseconds{
        std::uniform_int_distribution<std::int64_t>{shortest.count(), longest.count()}(random_)};
}

void fault_series::after(milliseconds delay, action then) {
    auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([timer, then = std::move(then)](asio::error_code error) {
        if (!error)
            then();
    });
}

void fault_series::record(const std::string& kind, const std::string& subject) {
    ++counts_[kind];
    log_event(log_level::info, component, "fault begins", {{"kind", kind}, {"subject", subject}});
}

void fault_series::begin(const std::string& kind, milliseconds length, const action& harm,
                         const action& mend) {
    ++open_faults_;
    check_.fault_begun();
    harm();
    after(length, [this, kind, mend] {
        mend();
        --open_faults_;
        check_.fault_ended(clock_.now());
        log_event(log_level::info, component, "fault ends", {{"kind", kind}});
    });
}

void fault_series::storm(milliseconds length) {
    schedule_next(clock_.now() + length);
}

void fault_series::schedule_next(time_point until) {
    const double pause = std::exponential_distribution<double>{options_.faults_per_second}(random_);
    next_.expires_after(
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>{pause}));
    next_.async_wait([this, until](asio::error_code error) {
        if (error || clock_.now() >= until)
            return;
        begin_one();
        schedule_next(until);
    });
}

void fault_series::begin_one() {
    constexpr std::array kinds{
        &fault_series::harm_process,        &fault_series::harm_process, &fault_series::harm_link,
        &fault_series::harm_link,           &fault_series::harm_store,   &fault_series::harm_backend,
        &fault_series::harm_backend,        &fault_series::harm_many,    &fault_series::disturb_registration,
        &fault_series::disturb_registration};
    (this->*kinds[pick(kinds.size())])();
}

daemon_node& fault_series::any_node() {
    // Entries are few, and matter more.
    std::vector<daemon_node>& nodes = pick(2) == 0 ? world_.entries() : world_.agents();
    return nodes[pick(nodes.size())];
}

void fault_series::harm_process() {
    daemon_node& node = any_node();
    const milliseconds length = time_between(shortest_fault, longest_fault);
    const auto wake = [&node] {
        if (node.process)
            node.process->signal(SIGCONT);
        node.is_frozen = false;
    };
    switch (pick(5)) {
    case 0:
        record("kill", node.name);
        begin(
            "kill", shortest_fault,
            [&] {
                if (node.process)
                    node.process->signal(SIGKILL);
            },
            [] {});
        return;
    case 1:
        record("power loss", node.name);
        begin(
            "power loss", length, [&] { node.process.reset(); },
            [&node] {
                if (!node.process)
                    deployment::start(node);
            });
        return;
    case 2:
        record("planned stop", node.name);
        begin(
            "planned stop", grace,
            [&] {
                node.is_asked_to_end = true;
                if (node.process)
                    node.process->signal(SIGTERM);
            },
            [&node] {
                if (node.process && node.is_asked_to_end)
                    node.process->signal(SIGKILL);
            });
        return;
    default:
        record("freeze", node.name);
        begin(
            "freeze", length,
            [&] {
                node.is_frozen = true;
                if (node.process)
                    node.process->signal(SIGSTOP);
            },
            wake);
        return;
    }
}

void fault_series::harm_link() {
    daemon_node& node = any_node();
    std::vector<fault_proxy*> ways;
    for (fault_proxy* way : {node.to_store.get(), node.to_peer.get(), node.to_backend.get()}) {
        if (way != nullptr)
            ways.push_back(way);
    }
    fault_proxy& way = *ways[pick(ways.size())];
    const milliseconds length = time_between(shortest_fault, longest_fault);
    const auto heal = [&way] {
        way.heal();
    };
    switch (pick(6)) {
    case 0:
        record("reset", node.name);
        begin(
            "reset", shortest_fault, [&] { way.reset_open(); }, [] {});
        return;
    case 1:
        record("silence", node.name);
        begin(
            "silence", length, [&] { way.silence_open(); }, [] {});
        return;
    case 2:
        record("delay", node.name);
        begin(
            "delay", length, [&] { way.set_delay(time_between(milliseconds{5}, longest_delay)); }, heal);
        return;
    case 3:
        record("refused connections", node.name);
        begin(
            "refused connections", length,
            [&] {
                way.set_refusing(true);
                way.reset_open();
            },
            heal);
        return;
    case 4: {
        const auto direction =
            pick(2) == 0 ? fault_proxy::direction::to_server : fault_proxy::direction::to_client;
        record("cut one way", node.name);
        begin(
            "cut one way", length, [&] { way.set_cut(direction, true); }, heal);
        return;
    }
    default:
        record("cut", node.name);
        begin(
            "cut", length,
            [&] {
                way.set_cut(fault_proxy::direction::to_server, true);
                way.set_cut(fault_proxy::direction::to_client, true);
            },
            heal);
        return;
    }
}

void fault_series::harm_store() {
    const milliseconds length = time_between(shortest_fault, longest_outage);
    kv_faults faults;
    std::string kind;
    switch (pick(6)) {
    case 0:
        kind = "store busy";
        faults.is_busy = true;
        break;
    case 1:
        kind = "store slow";
        faults.delay = time_between(milliseconds{20}, longest_delay);
        break;
    case 2:
        kind = "store loses answers";
        faults.unanswered = lost_writes;
        break;
    case 3:
        kind = "store writes late";
        faults.late = lost_writes;
        break;
    case 4:
        kind = "store forgets history";
        world_.store().model().compact();
        break;
    default:
        kind = "leases revoked";
        world_.store().model().revoke_leases();
        world_.store().changed();
        break;
    }
    record(kind, "store");
    begin(
        kind, length,
        [&] {
            ++store_faults_;
            world_.store().set_faults(faults);
        },
        [this] {
            if (--store_faults_ == 0)
                world_.store().set_faults({});
        });
}

void fault_series::harm_backend() {
    const std::size_t index = pick(world_.backend_count());
    order_server& server = world_.backend(index);
    const std::string name = server.backend().profile().id;
    const milliseconds length = time_between(shortest_fault, longest_fault);
    order_faults faults;
    std::string kind;
    switch (pick(7)) {
    case 0:
        kind = "late orders";
        faults.late_orders = lost_orders;
        break;
    case 1:
        kind = "failing tasks";
        faults.failing = failing_runs;
        break;
    case 2:
        kind = "stalled tasks";
        faults.is_hanging = true;
        break;
    case 3:
        kind = "refused starts";
        faults.is_refusing = true;
        break;
    default:
        end_backend(index, length);
        return;
    }
    record(kind, name);
    begin(
        kind, length, [&] { server.set_faults(faults); }, [&server] { server.set_faults({}); });
}

void fault_series::end_backend(std::size_t index, milliseconds length) {
    order_server& server = world_.backend(index);
    const backend_profile former = server.backend().profile();
    former_[index] = former;
    std::string kind;
    switch (pick(3)) {
    case 0:
        kind = "backend crash";
        server.crash(length);
        break;
    case 1:
        kind = "backend crash, new id";
        server.crash(length, next_id(index), next_life(former.life));
        break;
    default:
        kind = "backend replaced";
        server.replace(next_id(index), next_life(former.life));
        if (pick(2) == 0)
            send_stray_reports(server, former);
        break;
    }
    record(kind, former.id);
    begin(
        kind, length, [&] { world_.agents()[index].to_backend->reset_open(); }, [] {});
}

// Messages to an agent that are late or not of the backend server at its address. They harm nothing, so all
// promises hold beside them.
void fault_series::disturb_registration() {
    const std::size_t index = pick(world_.backend_count());
    order_server& server = world_.backend(index);
    backend_profile sender = server.backend().profile();
    const auto shift = static_cast<std::uint64_t>(time_between(shortest_step, longest_step).count());
    const std::uint64_t other_life = pick(2) == 0 ? sender.life - shift : sender.life + shift;
    switch (pick(4)) {
    case 0:
        record("stray leave", sender.id);
        server.send_leave(sender.id);
        return;
    case 1:
        record("late reports", sender.id);
        if (const auto former = former_.find(index); former != former_.end()) {
            sender = former->second;
        } else {
            sender.id = next_id(index);
            sender.life = other_life;
        }
        break;
    case 2:
        record("reports of another machine", sender.id);
        sender = world_.backend((index + 1) % world_.backend_count()).backend().profile();
        sender.life = pick(2) == 0 ? sender.life : other_life;
        break;
    default:
        record("reports of another writer", sender.id);
        sender.id = next_id(index);
        sender.life = other_life;
        sender.service = "unknown";
        break;
    }
    send_stray_reports(server, sender);
}

void fault_series::send_stray_reports(order_server& server, const backend_profile& sender) {
    ++open_faults_;
    log_event(log_level::info, component, "stray reports begin",
              {{"sender", sender.id}, {"present", server.backend().profile().id}});
    const milliseconds gap = time_between(shortest_report_gap, longest_report_gap);
    const time_point until = clock_.now() + time_between(shortest_stray, longest_stray);
    const auto clock_ms = static_cast<std::int64_t>(1 + pick(1000000));
    repeat_report(server, {sender, 1 + pick(1000), clock_ms}, gap, until);
}

void fault_series::repeat_report(order_server& server, backend_announcement report, milliseconds gap,
                                 time_point until) {
    if (clock_.now() >= until) {
        --open_faults_;
        return;
    }
    server.send_report(report);
    ++report.sequence;
    report.clock_ms += gap.count();
    after(gap, [this, &server, report = std::move(report), gap, until] {
        repeat_report(server, report, gap, until);
    });
}

std::string fault_series::next_id(std::size_t index) {
    return "backend-" + std::to_string(index + 1) + '-' + std::to_string(++last_id_);
}

// The time of birth of a new life. The time of day may have been set back meanwhile.
std::uint64_t fault_series::next_life(std::uint64_t former) {
    if (pick(3) == 0)
        return former - static_cast<std::uint64_t>(time_between(shortest_step, longest_step).count());
    return static_cast<std::uint64_t>(unix_time_ms(clock_.wall_now()));
}

// The harder cases: much of the deployment at once, or one after the other.
void fault_series::harm_many() {
    const auto kill_all = [](std::vector<daemon_node>& nodes) {
        for (daemon_node& node : nodes) {
            if (node.process)
                node.process->signal(SIGKILL);
        }
    };
    switch (pick(5)) {
    case 0:
        record("all entries killed", "entries");
        begin(
            "all entries killed", shortest_fault, [&] { kill_all(world_.entries()); }, [] {});
        return;
    case 1:
        record("all killed", "everything");
        begin(
            "all killed", shortest_fault,
            [&] {
                kill_all(world_.entries());
                kill_all(world_.agents());
            },
            [] {});
        return;
    case 2: {
        const std::string zone = world_.zones()[pick(world_.zones().size())];
        record("zone cut off", zone);
        const auto each_way = [this, zone](const std::function<void(fault_proxy&)>& apply) {
            for (std::vector<daemon_node>* nodes : {&world_.entries(), &world_.agents()}) {
                for (daemon_node& node : *nodes) {
                    for (fault_proxy* way : {node.to_store.get(), node.to_peer.get()}) {
                        if (way != nullptr && node.zone == zone)
                            apply(*way);
                    }
                }
            }
        };
        begin(
            "zone cut off", time_between(shortest_fault, longest_fault),
            [&] {
                each_way([](fault_proxy& way) {
                    way.set_cut(fault_proxy::direction::to_server, true);
                    way.set_cut(fault_proxy::direction::to_client, true);
                });
            },
            [each_way] { each_way([](fault_proxy& way) { way.heal(); }); });
        return;
    }
    case 3:
        planned_stop(world_.entries());
        return;
    default:
        planned_stop(world_.agents());
        return;
    }
}

// SIGTERM to one after the other, without waiting for the end of the former.
void fault_series::planned_stop(std::vector<daemon_node>& nodes) {
    constexpr milliseconds gap{700};
    record("rolling stop", nodes.front().name);
    milliseconds delay{0};
    for (daemon_node& node : nodes) {
        after(delay, [&node] {
            node.is_asked_to_end = true;
            if (node.process)
                node.process->signal(SIGTERM);
        });
        delay += gap;
    }
    begin(
        "rolling stop", delay + grace, [] {},
        [&nodes] {
            for (daemon_node& node : nodes) {
                if (node.process && node.is_asked_to_end)
                    node.process->signal(SIGKILL);
            }
        });
}

void fault_series::plan_work() {
    switch (pick(3)) {
    case 0: {
        order_server& server = world_.backend(pick(world_.backend_count()));
        const std::string name = server.backend().profile().id;
        record("planned drain", name);
        server.set_draining(true);
        after(planned_length, [this, &server, name] {
            check_.drain_ended(name);
            server.set_draining(false);
        });
        return;
    }
    case 1: {
        const std::string zone = world_.zones()[pick(world_.zones().size())];
        record("zone out", zone);
        world_.set_zone_out(zone, true);
        check_.zone_out(zone, clock_.now());
        after(planned_length, [this, zone] {
            check_.zone_in(zone);
            world_.set_zone_out(zone, false);
        });
        return;
    }
    default: {
        record("configuration change", "store");
        deployment_config config = world_.config();
        config.version += 1 + pick(4);
        world_.change_config(config);
        return;
    }
    }
}

} // namespace persimmonstile::soak

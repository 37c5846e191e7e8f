// RESTinio 0.6.16 calls functions of Asio that this definition removes.
#undef ASIO_NO_DEPRECATED

#include "standins/backend_standin.h"

#include "transport/system_clock_source.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <system_error>
#include <thread>
#include <unordered_set>
#include <utility>

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;
using run_time = std::chrono::duration<double, std::milli>;

constexpr double slow_factor = 20.0;

// Delay of the first and again of the second answer under twice_late. A second answer reaches a connection
// that already carries the next task.
constexpr std::chrono::milliseconds late_delay{200};

// An answer that finds no partner to be exchanged with for this long is sent as it is.
constexpr std::chrono::milliseconds swap_timeout{1000};

// RESTinio closes connections after these times. Tasks may hang for as long as a test wants.
constexpr std::chrono::hours connection_time_limit{1};

constexpr std::size_t read_buffer_bytes = std::size_t{16} * 1024;
constexpr std::string_view control_prefix = "/control/";
constexpr std::string_view json_type = "application/json";

class connection_listener;

struct server_traits : restinio::default_single_thread_traits_t {
    using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;
    using connection_state_listener_t = connection_listener;
};

// Reports closed connections.
class connection_listener {
public:
    explicit connection_listener(std::function<void(restinio::connection_id_t)> on_close)
        : on_close_(std::move(on_close)) {}

    void state_changed(const restinio::connection_state::notice_t& notice) {
        const auto cause = notice.cause();
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(cause)) {
            on_close_(notice.connection_id());
        }
    }

private:
    std::function<void(restinio::connection_id_t)> on_close_;
};

// A task from its arrival to its answer.
struct running_task {
    restinio::request_handle_t request;
    std::string id;
    backend_fault fault = backend_fault::none;
};

struct held_answer {
    running_task task;
    std::uint64_t number = 0;
};

std::string answer_body(const std::string& task, const std::string& request_body) {
    const bool is_json = json::accept(request_body);
    const std::string body = is_json ? request_body : json(request_body).dump();
    return R"({"task":)" + json(task).dump() + R"(,"body":)" + body + "}";
}

// Another task of the same job, or the same text with a suffix if the id has no index.
std::string other_task_id(const std::string& task) {
    const std::size_t slash = task.rfind('/');
    if (slash == std::string::npos) {
        return task + "/other";
    }
    return task.substr(0, slash) + (task.substr(slash) == "/0" ? "/1" : "/0");
}

std::optional<run_time> run_time_in(const std::string& body) {
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const auto found = parsed.find("run_ms");
    if (found == parsed.end() || !found->is_number()) {
        return std::nullopt;
    }
    return run_time{std::max(0.0, found->get<double>())};
}

restinio::request_handling_status_t respond(const restinio::request_handle_t& request,
                                            restinio::http_status_line_t status, std::string body) {
    return request->create_response(std::move(status))
        .append_header(restinio::http_field::content_type, std::string{json_type})
        .set_body(std::move(body))
        .done();
}

std::string raw_answer(const std::string& task, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTask-Id: " + task +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<backend_announced_state> parse_announced_state(const std::string& name) {
    if (name == "serving") {
        return backend_announced_state::serving;
    }
    if (name == "leaving") {
        return backend_announced_state::leaving;
    }
    if (name == "silent") {
        return backend_announced_state::silent;
    }
    return std::nullopt;
}

} // namespace

// The HTTP server. Members without lock_ in their description are used by the server's thread only.
class backend_standin::server {
public:
    explicit server(const backend_settings& settings)
        : settings_(settings)
        , ledger_(settings.name, settings.start_log)
        , fault_(settings.fault)
        , work_(asio::make_work_guard(context_))
        , http_(restinio::external_io_context(context_), [this](auto& options) { configure(options); }) {
        if (settings.speed <= 0 || settings.slots == 0) {
            throw std::runtime_error("speed and slots of a backend server must be positive");
        }
        http_.open_sync();
        thread_ = std::thread{[this] {
            context_.run();
        }};
        if (!settings.agent_url.empty()) {
            announcer_.emplace(
                settings.agent_url,
                backend_announcement{settings.service, task_url(), settings.slots, settings.connections});
        }
    }

    ~server() {
        announcer_.reset();
        asio::post(context_, [this] {
            http_.close_sync();
            context_.stop();
        });
        thread_.join();
    }

    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const { return port_; }
    std::string task_url() const { return "http://127.0.0.1:" + std::to_string(port_) + "/tasks"; }
    const start_ledger& ledger() const { return ledger_; }

    void set_fault(backend_fault fault, std::uint64_t count) {
        const std::lock_guard guard{lock_};
        fault_ = fault;
        fault_tasks_left_ = count;
        fault_is_limited_ = count > 0;
    }

    void set_announced_state(backend_announced_state state) {
        if (announcer_) {
            announcer_->set_state(state);
        }
    }

    bool is_announcement_accepted() const { return announcer_ && announcer_->is_accepted(); }

    backend_counts counts() const {
        const std::lock_guard guard{lock_};
        return counts_;
    }

private:
    template <typename Options> void configure(Options& options) {
        options.address("127.0.0.1")
            .port(settings_.port)
            .buffer_size(read_buffer_bytes)
            .read_next_http_message_timelimit(connection_time_limit)
            .handle_request_timeout(connection_time_limit)
            .socket_options_setter([](auto& socket) { socket.set_option(asio::ip::tcp::no_delay{true}); })
            .acceptor_options_setter(
                [](auto& acceptor) { acceptor.set_option(asio::ip::tcp::acceptor::reuse_address{true}); })
            .acceptor_post_bind_hook(
                [this](asio::ip::tcp::acceptor& acceptor) { port_ = acceptor.local_endpoint().port(); })
            .connection_state_listener(std::make_shared<connection_listener>(
                [this](restinio::connection_id_t id) { task_connections_.erase(id); }))
            .request_handler([this](const restinio::request_handle_t& request) { return handle(request); });
    }

    restinio::request_handling_status_t handle(const restinio::request_handle_t& request) {
        const std::string target{request->header().request_target()};
        if (target.compare(0, control_prefix.size(), control_prefix) == 0) {
            return handle_control(request, target.substr(control_prefix.size()));
        }
        if (request->header().method() != restinio::http_method_post()) {
            return respond(request, restinio::status_method_not_allowed(), R"({"title":"use POST"})");
        }
        accept_task(request);
        return restinio::request_accepted();
    }

    // Takes in a task: declines it, starts it, or lets it wait for a slot.
    void accept_task(const restinio::request_handle_t& request) {
        running_task task;
        task.request = request;
        task.id = request->header().get_field_or("Task-Id", "");
        task.fault = next_fault();
        count_connection(request->connection_id());
        if (task.fault == backend_fault::decline) {
            decline(task);
            return;
        }
        const std::lock_guard guard{lock_};
        ++counts_.in_progress;
        if (running_ >= settings_.slots) {
            ++counts_.over_slots;
            waiting_.push_back(std::move(task));
            return;
        }
        start(std::move(task));
    }

    backend_fault next_fault() {
        const std::lock_guard guard{lock_};
        const backend_fault current = fault_;
        if (fault_is_limited_ && --fault_tasks_left_ == 0) {
            fault_ = backend_fault::none;
            fault_is_limited_ = false;
        }
        return current;
    }

    void count_connection(restinio::connection_id_t id) {
        task_connections_.insert(id);
        const std::lock_guard guard{lock_};
        counts_.peak_connections =
            std::max<std::uint64_t>(counts_.peak_connections, task_connections_.size());
        if (task_connections_.size() > settings_.connections) {
            ++counts_.over_connections;
        }
    }

    void decline(const running_task& task) {
        {
            const std::lock_guard guard{lock_};
            ++counts_.declined;
        }
        task.request->create_response(restinio::status_service_unavailable())
            .append_header("Task-Id", task.id)
            .append_header("Task-Not-Started", "true")
            .done();
    }

    // Requires lock_ and a free slot.
    void start(running_task task) {
        ++running_;
        counts_.peak_running = std::max<std::uint64_t>(counts_.peak_running, running_);
        ledger_.record(task.id, clock_.now());
        if (task.fault == backend_fault::hang) {
            ++counts_.hung;
            --counts_.in_progress;
            hung_.push_back(std::move(task));
            return;
        }
        const std::chrono::nanoseconds duration = duration_of(task);
        if (duration.count() == 0) {
            // Posted, because finishing takes lock_ too.
            asio::post(context_, [this, task = std::move(task)]() mutable { finish(std::move(task)); });
            return;
        }
        after(duration, [this, task = std::move(task)]() mutable { finish(std::move(task)); });
    }

    std::chrono::nanoseconds duration_of(const running_task& task) const {
        if (task.fault == backend_fault::fail) {
            return std::chrono::nanoseconds{0};
        }
        run_time duration{0};
        if (settings_.fixed_run_time) {
            duration = *settings_.fixed_run_time;
        } else {
            duration = run_time_in(task.request->body()).value_or(run_time{0});
        }
        const double factor = task.fault == backend_fault::slow ? slow_factor : 1.0;
        return std::chrono::duration_cast<std::chrono::nanoseconds>(duration * factor / settings_.speed);
    }

    template <typename Action> void after(std::chrono::nanoseconds delay, Action action) {
        const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
        timer->async_wait([timer, action = std::move(action)](const std::error_code& error) mutable {
            if (!error) {
                action();
            }
        });
    }

    // Frees the slot of a task whose run time is over and answers as its fault demands.
    void finish(running_task task) {
        release_slot();
        switch (task.fault) {
        case backend_fault::fail:
            count_finished();
            respond(task.request, restinio::status_internal_server_error(), R"({"title":"task failed"})");
            return;
        case backend_fault::wrong_task_id:
            answer_as(task, other_task_id(task.id));
            return;
        case backend_fault::swap:
            swap_answer(std::move(task));
            return;
        case backend_fault::twice_late:
            after(late_delay, [this, task = std::move(task)] { answer_twice(task); });
            return;
        default:
            answer_as(task, task.id);
            return;
        }
    }

    void release_slot() {
        const std::lock_guard guard{lock_};
        --running_;
        if (!waiting_.empty()) {
            running_task next = std::move(waiting_.front());
            waiting_.pop_front();
            start(std::move(next));
        }
    }

    void count_finished() {
        const std::lock_guard guard{lock_};
        ++counts_.finished;
        --counts_.in_progress;
    }

    // Sends the task's own body under the given id.
    void answer_as(const running_task& task, const std::string& id) {
        send_answer(task.request, id, answer_body(id, task.request->body()));
    }

    // Counts first, so that a caller that has its answer finds it in the counts.
    void send_answer(const restinio::request_handle_t& request, const std::string& id, std::string body) {
        count_finished();
        request->create_response()
            .append_header(restinio::http_field::content_type, std::string{json_type})
            .append_header("Task-Id", id)
            .set_body(std::move(body))
            .done();
    }

    void swap_answer(running_task task) {
        if (held_) {
            const running_task first = std::move(held_->task);
            held_.reset();
            send_answer(first.request, task.id, answer_body(task.id, task.request->body()));
            send_answer(task.request, first.id, answer_body(first.id, first.request->body()));
            return;
        }
        const std::uint64_t number = ++held_number_;
        held_ = held_answer{std::move(task), number};
        after(swap_timeout, [this, number] {
            if (held_ && held_->number == number) {
                const running_task alone = std::move(held_->task);
                held_.reset();
                answer_as(alone, alone.id);
            }
        });
    }

    void answer_twice(const running_task& task) {
        const std::string body = answer_body(task.id, task.request->body());
        auto response = std::make_shared<restinio::response_builder_t<restinio::user_controlled_output_t>>(
            task.request->create_response<restinio::user_controlled_output_t>());
        response->append_header(restinio::http_field::content_type, std::string{json_type});
        response->append_header("Task-Id", task.id);
        response->set_content_length(body.size());
        response->append_body(body);
        response->flush();
        after(late_delay, [this, response, second = raw_answer(task.id, body)] {
            response->append_body(second);
            count_finished();
            response->done();
        });
    }

    restinio::request_handling_status_t handle_control(const restinio::request_handle_t& request,
                                                       const std::string& name) {
        if (name == "starts") {
            return respond(request, restinio::status_ok(), starts_report().dump());
        }
        if (name == "log") {
            return respond(request, restinio::status_ok(), log_report().dump());
        }
        const json body = json::parse(request->body(), nullptr, false);
        if (name == "fault" && body.is_object()) {
            return control_fault(request, body);
        }
        if (name == "announce" && body.is_object()) {
            return control_announce(request, body);
        }
        return respond(request, restinio::status_bad_request(),
                       R"({"title":"unknown control call or no JSON object in the body"})");
    }

    json starts_report() const {
        const start_counts starts = ledger_.counts();
        const backend_counts numbers = counts();
        return json{{"total", starts.total},
                    {"distinct", starts.distinct},
                    {"doubles", starts.doubles},
                    {"finished", numbers.finished},
                    {"declined", numbers.declined},
                    {"hung", numbers.hung},
                    {"over_slots", numbers.over_slots},
                    {"over_connections", numbers.over_connections},
                    {"in_progress", numbers.in_progress},
                    {"peak_running", numbers.peak_running},
                    {"peak_connections", numbers.peak_connections},
                    {"announcements", announcer_ ? announcer_->accepted() : 0}};
    }

    json log_report() const {
        json list = json::array();
        for (const task_start& start : ledger_.starts()) {
            list.push_back({{"task", start.task}, {"at_ns", start.at.time_since_epoch().count()}});
        }
        return list;
    }

    restinio::request_handling_status_t control_fault(const restinio::request_handle_t& request,
                                                      const json& body) {
        const auto fault = parse_backend_fault(body.value("fault", ""));
        if (!fault) {
            return respond(request, restinio::status_bad_request(), R"({"title":"unknown fault"})");
        }
        set_fault(*fault, body.value("count", std::uint64_t{0}));
        return respond(request, restinio::status_ok(), json{{"fault", to_string(*fault)}}.dump());
    }

    restinio::request_handling_status_t control_announce(const restinio::request_handle_t& request,
                                                         const json& body) {
        const auto state = parse_announced_state(body.value("state", ""));
        if (!state) {
            return respond(request, restinio::status_bad_request(), R"({"title":"unknown state"})");
        }
        set_announced_state(*state);
        return respond(request, restinio::status_ok(), "{}");
    }

    const backend_settings settings_;
    system_clock_source clock_;
    start_ledger ledger_;
    std::uint16_t port_ = 0;

    // Under lock_: counts_, fault_ with its limit, running_ and waiting_.
    mutable std::mutex lock_;
    backend_counts counts_;
    backend_fault fault_ = backend_fault::none;
    std::uint64_t fault_tasks_left_ = 0;
    bool fault_is_limited_ = false;
    std::uint64_t running_ = 0;

    std::unordered_set<restinio::connection_id_t> task_connections_;
    std::uint64_t held_number_ = 0;

    asio::io_context context_;
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    restinio::http_server_t<server_traits> http_;
    // Requests keep their connection alive, which must end before context_.
    std::deque<running_task> waiting_;
    std::vector<running_task> hung_;
    std::optional<held_answer> held_;
    std::thread thread_;
    std::optional<backend_announcer> announcer_;
};

backend_standin::backend_standin(const backend_settings& settings)
    : server_(std::make_unique<server>(settings)) {}

backend_standin::~backend_standin() = default;

std::uint16_t backend_standin::port() const {
    return server_->port();
}

std::string backend_standin::task_url() const {
    return server_->task_url();
}

void backend_standin::set_fault(backend_fault fault, std::uint64_t count) {
    server_->set_fault(fault, count);
}

void backend_standin::set_announced_state(backend_announced_state state) {
    server_->set_announced_state(state);
}

bool backend_standin::is_announcement_accepted() const {
    return server_->is_announcement_accepted();
}

start_counts backend_standin::starts() const {
    return server_->ledger().counts();
}

std::vector<task_start> backend_standin::start_log() const {
    return server_->ledger().starts();
}

backend_counts backend_standin::counts() const {
    return server_->counts();
}

} // namespace persimmonstile

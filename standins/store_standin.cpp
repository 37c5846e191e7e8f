#include "standins/store_standin.h"

#include "protocol/base64.h"
#include "standins/rate_limiter.h"
#include "standins/store_model.h"
#include "state/clock_source.h"

#include <charconv>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

#include <nlohmann/json.hpp>
#include <restinio/all.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds lease_check_interval{100};
// RESTinio closes requests that stay unanswered for this long. A watch stays open much longer than any test.
constexpr std::chrono::hours longest_request{24};
constexpr std::size_t max_request_bytes = std::size_t{4} * 1024 * 1024;

// Codes of the gateway's error bodies (those of gRPC).
constexpr int code_invalid_argument = 3;
constexpr int code_not_found = 5;
constexpr int code_resource_exhausted = 8;
constexpr int code_unavailable = 14;

struct answer {
    restinio::http_status_line_t status = restinio::status_ok();
    json body;
};

// A request that cannot be served; answered with its status.
struct request_error {
    answer reply;
};

answer error_answer(restinio::http_status_line_t status, int code, const std::string& message) {
    return {std::move(status), json{{"error", message}, {"code", code}, {"message", message}}};
}

request_error invalid(const std::string& message) {
    return {error_answer(restinio::status_bad_request(), code_invalid_argument, message)};
}

std::string base64_field(const json& object, const char* name) {
    const std::string text = object.value(name, std::string{});
    if (auto bytes = decode_base64(text))
        return *std::move(bytes);
    throw invalid(std::string{"illegal base64 data in "} + name);
}

// The gateway accepts 64-bit numbers as strings and as numbers.
std::int64_t number_field(const json& object, const char* name) {
    const auto found = object.find(name);
    if (found == object.end())
        return 0;
    if (found->is_number_integer())
        return found->get<std::int64_t>();
    std::int64_t value = 0;
    const std::string text = found->is_string() ? found->get<std::string>() : std::string{"?"};
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        throw invalid(std::string{"illegal number in "} + name);
    return value;
}

json header_json(std::uint64_t revision) {
    return {
        {"cluster_id", "1"}, {"member_id", "1"}, {"revision", std::to_string(revision)}, {"raft_term", "1"}};
}

json pair_json(const std::string& key, const store_model::record& record) {
    json pair = {{"key", encode_base64(key)},
                 {"create_revision", std::to_string(record.create_revision)},
                 {"mod_revision", std::to_string(record.mod_revision)},
                 {"version", std::to_string(record.version)},
                 {"value", encode_base64(record.value)}};
    if (record.lease != 0)
        pair["lease"] = std::to_string(record.lease);
    return pair;
}

json range_json(const std::string& key, const std::optional<store_model::record>& record,
                std::uint64_t revision) {
    json body = {{"header", header_json(revision)}};
    if (record) {
        body["kvs"] = json::array({pair_json(key, *record)});
        body["count"] = "1";
    }
    return body;
}

// The gateway leaves out the type of a put because it is the zero value.
json event_json(const store_model::event& event) {
    if (event.after)
        return {{"kv", pair_json(event.key, *event.after)}};
    return {{"type", "DELETE"},
            {"kv", {{"key", encode_base64(event.key)}, {"mod_revision", std::to_string(event.revision)}}}};
}

std::string watch_line(const json& result) {
    return json{{"result", result}}.dump() + "\n";
}

std::string events_line(const std::vector<store_model::event>& events, std::uint64_t revision) {
    json list = json::array();
    for (const store_model::event& event : events)
        list.push_back(event_json(event));
    return watch_line({{"header", header_json(revision)}, {"events", std::move(list)}});
}

store_faults faults_from(const json& body) {
    store_faults faults;
    faults.delay = std::chrono::milliseconds{body.value("delay_ms", 0)};
    faults.lose_answers = body.value("lose_answers", 0U);
    faults.stale_reads = body.value("stale_reads", 0U);
    const std::string outage = body.value("outage", std::string{"no"});
    if (outage == "refuse")
        faults.outage = store_outage::refuse;
    else if (outage == "silent")
        faults.outage = store_outage::silent;
    else if (outage != "no")
        throw invalid("outage must be no, refuse or silent");
    return faults;
}

json counts_json(const store_counts& counts) {
    return {{"ranges", counts.ranges},
            {"puts", counts.puts},
            {"txns", counts.txns},
            {"watches", counts.watches},
            {"lease_grants", counts.lease_grants},
            {"lease_keepalives", counts.lease_keepalives},
            {"over_limit", counts.over_limit},
            {"during_outage", counts.during_outage},
            {"pending_watches", counts.pending_watches}};
}

void send(const restinio::request_handle_t& request, answer reply) {
    request->create_response(std::move(reply.status))
        .append_header(restinio::http_field::content_type, "application/json")
        .set_body(reply.body.dump())
        .done();
}

// Announces a longer body than it sends and closes the connection.
void cut_off(const restinio::request_handle_t& request) {
    request->create_response<restinio::user_controlled_output_t>(restinio::status_ok())
        .set_content_length(1)
        .connection_close()
        .done();
}

// Reports closed connections, so that the watches on them end.
class close_listener {
public:
    explicit close_listener(std::function<void(restinio::connection_id_t)> on_close)
        : on_close_{std::move(on_close)} {}

    void state_changed(const restinio::connection_state::notice_t& notice) {
        if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause()))
            on_close_(notice.connection_id());
    }

private:
    std::function<void(restinio::connection_id_t)> on_close_;
};

} // namespace

class store_standin::server {
public:
    server(store_standin_options options, const clock_source& clock);
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    std::uint16_t port() const { return port_; }
    void set_faults(const store_faults& faults);
    store_counts counts() const;
    void lapse_all_leases();

private:
    struct traits : public restinio::default_traits_t {
        using connection_state_listener_t = close_listener;
    };

    using watch_response = restinio::response_builder_t<restinio::chunked_output_t>;

    struct pending_watch {
        std::string key;
        watch_response response;
    };

    void start(std::uint16_t port);
    restinio::request_handling_status_t accept(const restinio::request_handle_t& request);
    void handle(const restinio::request_handle_t& request);
    void handle_or_throw(const restinio::request_handle_t& request, const std::string& path);
    void handle_store_call(const restinio::request_handle_t& request, const std::string& path);
    bool is_control(const std::string& path) const { return path.starts_with("/control/"); }
    answer control(const std::string& path, const std::string& text);

    void count(const std::string& path);
    void admit_read();
    void admit_write();
    void check_value(const std::string& value) const;

    json range(const json& request);
    json put(const json& request);
    json txn(const json& request);
    json apply_operation(const json& operation);
    bool compare_holds(const json& compare) const;
    json lease_grant(const json& request);
    json lease_keepalive(const json& request);
    void watch(const restinio::request_handle_t& request, const json& body);

    void notify(const std::vector<store_model::event>& events);
    void end_leases(const std::vector<std::int64_t>& leases);
    void schedule_lease_check();
    void forget_watches(restinio::connection_id_t connection);
    void release_held_requests();

    // Connections refer to the context until they are destroyed, so it is declared first.
    asio::io_context context_;
    asio::steady_timer lease_timer_{context_};
    const clock_source& clock_;
    std::uint16_t port_ = 0;

    mutable std::mutex mutex_;
    store_faults faults_;
    store_limits limits_;
    rate_limiter reads_;
    rate_limiter writes_;
    store_counts counts_;
    store_model model_;
    std::multimap<restinio::connection_id_t, pending_watch> watches_;
    std::vector<restinio::request_handle_t> held_;
    // Set by a write whose response is to be lost.
    bool lose_this_answer_ = false;

    restinio::running_server_handle_t<traits> http_;
};

store_standin::server::server(store_standin_options options, const clock_source& clock)
    : clock_{clock}
    , faults_{options.faults}
    , limits_{options.limits}
    , reads_{options.limits.reads_per_second}
    , writes_{options.limits.writes_per_second} {
    start(options.port);
}

store_standin::server::~server() {
    http_->stop();
    http_->wait();
    watches_.clear();
    held_.clear();
}

void store_standin::server::start(std::uint16_t port) {
    const auto remember_port = [this](asio::ip::tcp::acceptor& acceptor) {
        port_ = acceptor.local_endpoint().port();
    };
    const auto on_close = [this](restinio::connection_id_t connection) {
        forget_watches(connection);
    };
    schedule_lease_check();
    http_ = restinio::run_async<traits>(
        restinio::external_io_context(context_),
        restinio::server_settings_t<traits>{}
            .address("127.0.0.1")
            .port(port)
            .acceptor_post_bind_hook(remember_port)
            .connection_state_listener(std::make_shared<close_listener>(on_close))
            // A watch sends small chunks, which would otherwise wait up to 40 ms for an acknowledgement.
            .socket_options_setter([](auto& options) { options.set_option(asio::ip::tcp::no_delay{true}); })
            .handle_request_timeout(longest_request)
            .write_http_response_timelimit(longest_request)
            .read_next_http_message_timelimit(longest_request)
            .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(max_request_bytes))
            // With one request at a time RESTinio does not read while a watch is open, and so would not
            // notice that its client closed the connection.
            .max_pipelined_requests(2)
            .request_handler([this](const restinio::request_handle_t& request) { return accept(request); }),
        1);
}

void store_standin::server::set_faults(const store_faults& faults) {
    const std::scoped_lock lock{mutex_};
    faults_ = faults;
    release_held_requests();
}

store_counts store_standin::server::counts() const {
    const std::scoped_lock lock{mutex_};
    store_counts result = counts_;
    result.pending_watches = watches_.size();
    return result;
}

void store_standin::server::lapse_all_leases() {
    const std::scoped_lock lock{mutex_};
    end_leases(model_.leases());
}

restinio::request_handling_status_t store_standin::server::accept(const restinio::request_handle_t& request) {
    milliseconds delay{0};
    {
        const std::scoped_lock lock{mutex_};
        if (!is_control(std::string{request->header().path()}))
            delay = faults_.delay;
    }
    if (delay == milliseconds::zero()) {
        handle(request);
        return restinio::request_accepted();
    }
    const auto timer = std::make_shared<asio::steady_timer>(context_, delay);
    timer->async_wait([this, timer, request](const asio::error_code& error) {
        if (!error)
            handle(request);
    });
    return restinio::request_accepted();
}

void store_standin::server::handle(const restinio::request_handle_t& request) {
    const std::scoped_lock lock{mutex_};
    try {
        handle_or_throw(request, std::string{request->header().path()});
    } catch (request_error& error) {
        send(request, std::move(error.reply));
    } catch (const json::exception& error) {
        send(request, invalid(error.what()).reply);
    }
}

void store_standin::server::handle_or_throw(const restinio::request_handle_t& request,
                                            const std::string& path) {
    if (is_control(path)) {
        send(request, control(path, request->body()));
        return;
    }
    count(path);
    if (faults_.outage == store_outage::silent) {
        ++counts_.during_outage;
        held_.push_back(request);
        return;
    }
    if (faults_.outage == store_outage::refuse) {
        ++counts_.during_outage;
        throw request_error{
            error_answer(restinio::status_service_unavailable(), code_unavailable, "etcdserver: no leader")};
    }
    handle_store_call(request, path);
}

void store_standin::server::handle_store_call(const restinio::request_handle_t& request,
                                              const std::string& path) {
    const json body = json::parse(request->body());
    json result;
    lose_this_answer_ = false;
    if (path == "/v3/watch") {
        watch(request, body);
        return;
    }
    if (path == "/v3/kv/range")
        result = range(body);
    else if (path == "/v3/kv/put")
        result = put(body);
    else if (path == "/v3/kv/txn")
        result = txn(body);
    else if (path == "/v3/lease/grant")
        result = lease_grant(body);
    else if (path == "/v3/lease/keepalive")
        result = lease_keepalive(body);
    else
        throw request_error{error_answer(restinio::status_not_found(), code_not_found, "Not Found")};
    if (lose_this_answer_)
        cut_off(request);
    else
        send(request, {restinio::status_ok(), std::move(result)});
}

answer store_standin::server::control(const std::string& path, const std::string& text) {
    const json body = text.empty() ? json::object() : json::parse(text);
    if (path == "/control/faults") {
        faults_ = faults_from(body);
        release_held_requests();
        return {restinio::status_ok(), json::object()};
    }
    if (path == "/control/lapse_lease") {
        const std::int64_t lease = number_field(body, "ID");
        end_leases(lease == 0 ? model_.leases() : std::vector<std::int64_t>{lease});
        return {restinio::status_ok(), json::object()};
    }
    if (path == "/control/counts") {
        store_counts counts = counts_;
        counts.pending_watches = watches_.size();
        return {restinio::status_ok(), counts_json(counts)};
    }
    throw request_error{error_answer(restinio::status_not_found(), code_not_found, "Not Found")};
}

void store_standin::server::count(const std::string& path) {
    if (path == "/v3/kv/range")
        ++counts_.ranges;
    else if (path == "/v3/kv/put")
        ++counts_.puts;
    else if (path == "/v3/kv/txn")
        ++counts_.txns;
    else if (path == "/v3/watch")
        ++counts_.watches;
    else if (path == "/v3/lease/grant")
        ++counts_.lease_grants;
    else if (path == "/v3/lease/keepalive")
        ++counts_.lease_keepalives;
}

void store_standin::server::admit_read() {
    if (reads_.admit(clock_.now(), static_cast<double>(watches_.size())))
        return;
    ++counts_.over_limit;
    throw request_error{error_answer(restinio::status_too_many_requests(), code_resource_exhausted,
                                     "etcdserver: too many requests")};
}

void store_standin::server::admit_write() {
    if (writes_.admit(clock_.now()))
        return;
    ++counts_.over_limit;
    throw request_error{error_answer(restinio::status_too_many_requests(), code_resource_exhausted,
                                     "etcdserver: too many requests")};
}

void store_standin::server::check_value(const std::string& value) const {
    if (value.size() > limits_.max_value_bytes)
        throw invalid("etcdserver: request is too large");
}

json store_standin::server::range(const json& request) {
    admit_read();
    const std::string key = base64_field(request, "key");
    if (faults_.stale_reads == 0)
        return range_json(key, model_.find(key), model_.revision());
    --faults_.stale_reads;
    const auto previous = model_.find_previous(key);
    return range_json(key, previous, previous ? previous->mod_revision : 1);
}

json store_standin::server::put(const json& request) {
    admit_write();
    json result = apply_operation({{"request_put", request}});
    return std::move(result["response_put"]);
}

json store_standin::server::txn(const json& request) {
    admit_write();
    bool succeeded = true;
    for (const json& compare : request.value("compare", json::array()))
        succeeded = succeeded && compare_holds(compare);
    json responses = json::array();
    for (const json& operation : request.value(succeeded ? "success" : "failure", json::array()))
        responses.push_back(apply_operation(operation));
    json result = {{"header", header_json(model_.revision())}, {"responses", std::move(responses)}};
    if (succeeded)
        result["succeeded"] = true;
    return result;
}

bool store_standin::server::compare_holds(const json& compare) const {
    if (compare.value("target", "") != "MOD" || compare.value("result", "EQUAL") != "EQUAL")
        throw invalid("only comparisons of MOD for EQUAL are supported");
    const auto record = model_.find(base64_field(compare, "key"));
    const std::uint64_t revision = record ? record->mod_revision : 0;
    return revision == static_cast<std::uint64_t>(number_field(compare, "mod_revision"));
}

json store_standin::server::apply_operation(const json& operation) {
    if (operation.contains("request_range")) {
        const std::string key = base64_field(operation["request_range"], "key");
        return {{"response_range", range_json(key, model_.find(key), model_.revision())}};
    }
    const json& request = operation.at("request_put");
    const std::string value = base64_field(request, "value");
    const std::int64_t lease = number_field(request, "lease");
    check_value(value);
    if (lease != 0 && !model_.has_lease(lease))
        throw request_error{error_answer(restinio::status_not_found(), code_not_found,
                                         "etcdserver: requested lease not found")};
    notify({model_.put(base64_field(request, "key"), value, lease)});
    if (faults_.lose_answers > 0) {
        --faults_.lose_answers;
        lose_this_answer_ = true;
    }
    return {{"response_put", {{"header", header_json(model_.revision())}}}};
}

json store_standin::server::lease_grant(const json& request) {
    admit_write();
    const std::chrono::seconds time_to_live{number_field(request, "TTL")};
    const std::int64_t lease = model_.grant_lease(time_to_live, clock_.now());
    return {{"header", header_json(model_.revision())},
            {"ID", std::to_string(lease)},
            {"TTL", std::to_string(time_to_live.count())}};
}

json store_standin::server::lease_keepalive(const json& request) {
    admit_write();
    const std::int64_t lease = number_field(request, "ID");
    const std::chrono::seconds time_to_live = model_.renew_lease(lease, clock_.now());
    json result = {{"header", header_json(model_.revision())}, {"ID", std::to_string(lease)}};
    if (time_to_live > std::chrono::seconds::zero())
        result["TTL"] = std::to_string(time_to_live.count());
    return {{"result", std::move(result)}};
}

void store_standin::server::watch(const restinio::request_handle_t& request, const json& body) {
    admit_read();
    const json& create = body.at("create_request");
    const std::string key = base64_field(create, "key");
    const auto start = static_cast<std::uint64_t>(number_field(create, "start_revision"));
    pending_watch opened{key, request->create_response<restinio::chunked_output_t>()};
    opened.response.append_header(restinio::http_field::content_type, "application/json");
    json created = {{"header", header_json(model_.revision())}, {"created", true}};
    opened.response.append_chunk(watch_line(created));
    const auto missed = start == 0 ? std::vector<store_model::event>{} : model_.events_since(key, start);
    if (!missed) {
        opened.response.append_chunk(
            watch_line({{"header", header_json(model_.revision())},
                        {"canceled", true},
                        {"compact_revision", std::to_string(model_.compacted_revision())}}));
        opened.response.done();
        return;
    }
    if (!missed->empty())
        opened.response.append_chunk(events_line(*missed, model_.revision()));
    opened.response.flush();
    watches_.emplace(request->connection_id(), std::move(opened));
}

void store_standin::server::notify(const std::vector<store_model::event>& events) {
    for (const store_model::event& event : events) {
        for (auto& [connection, watch] : watches_) {
            if (watch.key != event.key)
                continue;
            watch.response.append_chunk(events_line({event}, model_.revision()));
            watch.response.flush();
        }
    }
}

void store_standin::server::end_leases(const std::vector<std::int64_t>& leases) {
    for (const std::int64_t lease : leases)
        notify(model_.end_lease(lease));
}

void store_standin::server::schedule_lease_check() {
    lease_timer_.expires_after(lease_check_interval);
    lease_timer_.async_wait([this](const asio::error_code& error) {
        if (error)
            return;
        {
            const std::scoped_lock lock{mutex_};
            end_leases(model_.expired_leases(clock_.now()));
        }
        schedule_lease_check();
    });
}

void store_standin::server::forget_watches(restinio::connection_id_t connection) {
    const std::scoped_lock lock{mutex_};
    watches_.erase(connection);
}

// Requests that arrived during a silent outage stay without an answer when it ends.
void store_standin::server::release_held_requests() {
    if (faults_.outage == store_outage::silent)
        return;
    for (const restinio::request_handle_t& request : held_)
        cut_off(request);
    held_.clear();
}

store_standin::store_standin(store_standin_options options, const clock_source& clock)
    : server_{std::make_unique<server>(options, clock)} {}

store_standin::~store_standin() = default;

std::uint16_t store_standin::port() const {
    return server_->port();
}

std::string store_standin::url() const {
    return "http://127.0.0.1:" + std::to_string(port());
}

void store_standin::set_faults(const store_faults& faults) {
    server_->set_faults(faults);
}

store_counts store_standin::counts() const {
    return server_->counts();
}

void store_standin::lapse_all_leases() {
    server_->lapse_all_leases();
}

} // namespace persimmonstile

#include "transport/backend_client.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <string_view>
#include <utility>

#include <curl/curl.h>
#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

constexpr std::string_view task_id_header = "task-id:";
constexpr std::string_view not_started_header = "task-not-started:";
constexpr long connect_timeout_ms = 500;
constexpr int poll_timeout_ms = 1000;
// Keepalive probes find a connection that a device in between has dropped within a few seconds, instead of at
// the task's deadline.
constexpr long keepalive_seconds = 1;
constexpr std::size_t max_answer_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t max_idle_transfers = 128;
// libcurl measures timeouts in whole milliseconds and may end a transfer up to one of them early.
constexpr std::chrono::milliseconds timeout_resolution{1};

std::string task_id_of(const backend_call& call) {
    return call.job + "/" + std::to_string(call.index);
}

bool starts_with_ignoring_case(std::string_view text, std::string_view lower_prefix) {
    if (text.size() < lower_prefix.size())
        return false;
    for (std::size_t i = 0; i < lower_prefix.size(); ++i) {
        const char c = text[i];
        const char lower = c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
        if (lower != lower_prefix[i])
            return false;
    }
    return true;
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\r' || text.back() == '\n'))
        text.remove_suffix(1);
    return text;
}

// libcurl rewinds the body when it repeats a request on a fresh connection because a reused one was closed
// without an answer. The backend server may have run the first copy, so the repetition must fail.
int refuse_rewind(void*, curl_off_t, int) {
    return CURL_SEEKFUNC_FAIL;
}

} // namespace

// One call with its libcurl handle. Handles are reused, which keeps their connections' settings.
class backend_client::transfer {
public:
    transfer()
        : handle_{curl_easy_init()} {
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_POST, 1L);
        set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        set(CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
        set(CURLOPT_TCP_NODELAY, 1L);
        set(CURLOPT_TCP_KEEPALIVE, 1L);
        set(CURLOPT_TCP_KEEPIDLE, keepalive_seconds);
        set(CURLOPT_TCP_KEEPINTVL, keepalive_seconds);
        set(CURLOPT_READFUNCTION, &transfer::read);
        set(CURLOPT_READDATA, this);
        set(CURLOPT_SEEKFUNCTION, &refuse_rewind);
        set(CURLOPT_WRITEFUNCTION, &transfer::write);
        set(CURLOPT_WRITEDATA, this);
        set(CURLOPT_HEADERFUNCTION, &transfer::header);
        set(CURLOPT_HEADERDATA, this);
        set(CURLOPT_PROXY, "");
    }
    ~transfer() {
        curl_easy_cleanup(handle_);
        curl_slist_free_all(headers_);
    }
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    void prepare(backend_call call, std::chrono::milliseconds timeout) {
        call_ = std::move(call);
        sent_ = 0;
        answer_.clear();
        answered_task_.clear();
        declined_ = false;
        curl_slist_free_all(headers_);
        headers_ = nullptr;
        add_header("Content-Type: application/json");
        add_header("Expect:");
        add_header("Task-Id: " + task_id_of(call_));
        add_header("traceparent: " + call_.traceparent);
        if (!call_.method.empty())
            add_header("Request-Method: " + call_.method);
        set(CURLOPT_HTTPHEADER, headers_);
        set(CURLOPT_URL, call_.url.c_str());
        set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(call_.body.size()));
        set(CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, timeout.count())));
    }

    CURL* handle() const { return handle_; }
    const backend_call& call() const { return call_; }
    const std::string& answer() const { return answer_; }
    const std::string& answered_task() const { return answered_task_; }
    bool declined() const { return declined_; }
    bool body_was_sent() const { return sent_ > 0; }

    long status() const {
        long status = 0;
        curl_easy_getinfo(handle_, CURLINFO_RESPONSE_CODE, &status);
        return status;
    }

private:
    template <typename T> void set(CURLoption option, T value) { curl_easy_setopt(handle_, option, value); }

    void add_header(const std::string& line) { headers_ = curl_slist_append(headers_, line.c_str()); }

    static std::size_t read(char* buffer, std::size_t size, std::size_t count, void* self) {
        auto* that = static_cast<transfer*>(self);
        const std::size_t length = std::min(size * count, that->call_.body.size() - that->sent_);
        std::copy_n(that->call_.body.data() + that->sent_, length, buffer);
        that->sent_ += length;
        return length;
    }

    static std::size_t write(const char* data, std::size_t size, std::size_t count, void* self) {
        auto* that = static_cast<transfer*>(self);
        if (that->answer_.size() + size * count > max_answer_bytes)
            return 0;
        that->answer_.append(data, size * count);
        return size * count;
    }

    static std::size_t header(const char* data, std::size_t size, std::size_t count, void* self) {
        auto* that = static_cast<transfer*>(self);
        const std::string_view line{data, size * count};
        if (starts_with_ignoring_case(line, task_id_header))
            that->answered_task_ = std::string{trimmed(line.substr(task_id_header.size()))};
        else if (starts_with_ignoring_case(line, not_started_header))
            that->declined_ = trimmed(line.substr(not_started_header.size())) == "true";
        return size * count;
    }

    CURL* handle_;
    curl_slist* headers_ = nullptr;
    backend_call call_;
    std::size_t sent_ = 0;
    std::string answer_;
    std::string answered_task_;
    bool declined_ = false;
};

backend_client::backend_client(const clock_source& clock, result_handler on_result)
    : clock_{clock}
    , on_result_{std::move(on_result)}
    , multi_{curl_multi_init()}
    , thread_{[this] {
        run();
    }} {}

backend_client::~backend_client() {
    stop();
}

void backend_client::stop() {
    if (stopping_.exchange(true))
        return;
    curl_multi_wakeup(multi_);
    thread_.join();
    for (const auto& [handle, owner] : active_)
        curl_multi_remove_handle(multi_, handle);
    active_.clear();
    idle_.clear();
    curl_multi_cleanup(multi_);
}

void backend_client::start(std::vector<backend_call> calls) {
    if (calls.empty())
        return;
    {
        const std::lock_guard lock{mutex_};
        queued_.insert(queued_.end(), std::make_move_iterator(calls.begin()),
                       std::make_move_iterator(calls.end()));
    }
    curl_multi_wakeup(multi_);
}

void backend_client::set_connection_limit(std::uint32_t connections) {
    const std::lock_guard lock{mutex_};
    limit_changed_ = limit_changed_ || connections != connection_limit_;
    connection_limit_ = connections;
}

void backend_client::run() {
    while (!stopping_) {
        start_queued();
        int running = 0;
        curl_multi_perform(multi_, &running);
        finish_ended();
        curl_multi_poll(multi_, nullptr, 0, poll_timeout_ms, nullptr);
    }
}

void backend_client::start_queued() {
    std::vector<backend_call> calls;
    {
        const std::lock_guard lock{mutex_};
        calls.swap(queued_);
        if (std::exchange(limit_changed_, false)) {
            curl_multi_setopt(multi_, CURLMOPT_MAX_HOST_CONNECTIONS, static_cast<long>(connection_limit_));
            curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(connection_limit_));
        }
    }
    for (backend_call& call : calls) {
        std::unique_ptr<transfer> next = make_transfer(std::move(call));
        CURL* handle = next->handle();
        active_.emplace(handle, std::move(next));
        curl_multi_add_handle(multi_, handle);
    }
}

std::unique_ptr<backend_client::transfer> backend_client::make_transfer(backend_call call) {
    std::unique_ptr<transfer> next;
    if (idle_.empty()) {
        next = std::make_unique<transfer>();
    } else {
        next = std::move(idle_.back());
        idle_.pop_back();
    }
    const auto timeout =
        std::chrono::ceil<std::chrono::milliseconds>(call.give_up - clock_.now()) + timeout_resolution;
    next->prepare(std::move(call), timeout);
    return next;
}

void backend_client::finish_ended() {
    std::vector<ended_call> results;
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
        if (message->msg != CURLMSG_DONE)
            continue;
        CURL* handle = message->easy_handle;
        const int code = message->data.result;
        curl_multi_remove_handle(multi_, handle);
        const auto found = active_.find(handle);
        std::unique_ptr<transfer> ended = std::move(found->second);
        active_.erase(found);
        results.push_back({ended->call(), result_of(*ended, code)});
        if (idle_.size() < max_idle_transfers)
            idle_.push_back(std::move(ended));
    }
    if (!results.empty())
        on_result_(results);
}

backend_result backend_client::result_of(const transfer& ended, int curl_code) {
    // Without a byte of the body the backend server cannot have started the task.
    if (curl_code != CURLE_OK && !ended.body_was_sent())
        return {backend_result_kind::declined, curl_easy_strerror(static_cast<CURLcode>(curl_code))};
    if (curl_code != CURLE_OK)
        return {backend_result_kind::lost, curl_easy_strerror(static_cast<CURLcode>(curl_code))};
    const long status = ended.status();
    const bool success = status >= 200 && status < 300;
    const bool same_task = ended.answered_task() == task_id_of(ended.call());
    if (!same_task && (success || !ended.answered_task().empty())) {
        ++foreign_answers_;
        return {backend_result_kind::lost, "the answer names task '" + ended.answered_task() + "'"};
    }
    if (status == 503 && ended.declined())
        return {backend_result_kind::declined, "declined by the backend server"};
    if (!success)
        return {backend_result_kind::error, "HTTP status " + std::to_string(status) + ": " + ended.answer()};
    if (!nlohmann::json::accept(ended.answer()))
        return {backend_result_kind::error, "the answer is not JSON"};
    return {backend_result_kind::answered, ended.answer()};
}

} // namespace persimmonstile

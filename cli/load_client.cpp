#include "cli/load_client.h"

#include "cli/load_answer.h"
#include "cli/uuid_v7.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <unordered_map>

#include <curl/curl.h>

namespace persimmonstile {

namespace {

using steady = std::chrono::steady_clock;

constexpr long status_not_ended = 202;
constexpr std::chrono::milliseconds longest_poll{100};
constexpr std::chrono::milliseconds call_margin{5000};

using easy_handle = std::unique_ptr<CURL, decltype(&curl_easy_cleanup)>;
using multi_handle = std::unique_ptr<CURLM, decltype(&curl_multi_cleanup)>;
using header_list = std::unique_ptr<curl_slist, decltype(&curl_slist_free_all)>;

// One call on its way, with a handle that is used again for later calls.
struct transfer {
    easy_handle easy{curl_easy_init(), &curl_easy_cleanup};
    std::size_t index = 0;
    std::string id;
    std::string url;
    std::string body;
    std::string answer;
};

std::size_t append_answer(char* data, std::size_t size, std::size_t count, void* target) {
    static_cast<transfer*>(target)->answer.append(data, size * count);
    return size * count;
}

// Keeps the open calls of one run.
class load_run {
public:
    load_run(const workload& load, const std::vector<planned_call>& calls,
             const load_client_settings& settings)
        : load_(load)
        , calls_(calls)
        , settings_(settings)
        , results_(calls.size()) {
        if (!multi_ || !headers_) {
            throw std::runtime_error("curl cannot be started");
        }
        curl_slist_append(headers_.get(), "Expect:");
        curl_multi_setopt(multi_.get(), CURLMOPT_MAX_TOTAL_CONNECTIONS, settings.connections);
        // Idle connections stay open up to the same number; otherwise curl closes and reopens them.
        curl_multi_setopt(multi_.get(), CURLMOPT_MAXCONNECTS, settings.connections);
    }

    ~load_run() {
        for (const auto& [easy, open] : open_) {
            curl_multi_remove_handle(multi_.get(), easy);
        }
    }

    load_run(const load_run&) = delete;
    load_run& operator=(const load_run&) = delete;

    std::vector<call_result> run() {
        start_ = steady::now();
        const std::chrono::nanoseconds last =
            calls_.empty() ? std::chrono::nanoseconds{0} : calls_.back().send_at;
        while (is_unfinished() && elapsed() <= last + settings_.drain) {
            send_due();
            int running = 0;
            curl_multi_perform(multi_.get(), &running);
            collect();
            report_progress();
            if (is_unfinished()) {
                curl_multi_poll(multi_.get(), nullptr, 0, poll_timeout(), nullptr);
            }
        }
        end_open_calls();
        return std::move(results_);
    }

private:
    std::chrono::nanoseconds elapsed() const { return steady::now() - start_; }

    bool is_unfinished() const { return progress_.sent < calls_.size() || !open_.empty(); }

    int poll_timeout() const {
        if (progress_.sent >= calls_.size()) {
            return static_cast<int>(longest_poll.count());
        }
        const auto until_next =
            std::chrono::duration_cast<std::chrono::milliseconds>(calls_[progress_.sent].send_at - elapsed());
        return static_cast<int>(std::clamp(until_next, std::chrono::milliseconds{0}, longest_poll).count());
    }

    void send_due() {
        while (progress_.sent < calls_.size() && calls_[progress_.sent].send_at <= elapsed()) {
            send(progress_.sent);
            ++progress_.sent;
        }
    }

    void send(std::size_t index) {
        std::unique_ptr<transfer> call = take_idle();
        const bool is_job = load_.kinds[calls_[index].kind].method.empty();
        call->index = index;
        call->id = make_uuid_v7(std::chrono::system_clock::now());
        call->url = settings_.entries[index % settings_.entries.size()] +
                    (is_job ? "/v1/jobs/" : "/v1/requests/") + call->id +
                    "?wait_ms=" + std::to_string(settings_.wait_per_call.count());
        call->body = call_body(load_, calls_[index], call->id);
        CURL* easy = call->easy.get();
        curl_easy_setopt(easy, CURLOPT_URL, call->url.c_str());
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call->body.size()));
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body.c_str());
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, "PUT");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_.get());
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &append_answer);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, call.get());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
                         static_cast<long>((settings_.wait_per_call + call_margin).count()));
        open(std::move(call));
    }

    std::unique_ptr<transfer> take_idle() {
        if (idle_.empty()) {
            return std::make_unique<transfer>();
        }
        std::unique_ptr<transfer> call = std::move(idle_.back());
        idle_.pop_back();
        return call;
    }

    void open(std::unique_ptr<transfer> call) {
        call->answer.clear();
        CURL* easy = call->easy.get();
        open_.emplace(easy, std::move(call));
        curl_multi_add_handle(multi_.get(), easy);
    }

    void collect() {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi_.get(), &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL* easy = message->easy_handle;
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(multi_.get(), easy);
            auto node = open_.extract(easy);
            finish(std::move(node.mapped()), code);
        }
    }

    void finish(std::unique_ptr<transfer> call, CURLcode code) {
        long status = 0;
        curl_easy_getinfo(call->easy.get(), CURLINFO_RESPONSE_CODE, &status);
        if (code == CURLE_OK && status == status_not_ended) {
            // The same id and body again: the entry goes on waiting for the same job.
            open(std::move(call));
            return;
        }
        call_result result;
        if (code == CURLE_OK) {
            result = judge_answer(calls_[call->index], call->id, status, call->answer);
        } else {
            result.detail = curl_easy_strerror(code);
        }
        record(call->index, std::move(result));
        idle_.push_back(std::move(call));
    }

    void record(std::size_t index, call_result result) {
        result.ended_at = elapsed();
        result.response = result.ended_at - calls_[index].send_at;
        progress_.complete += result.end == call_end::complete ? 1U : 0U;
        progress_.refused += result.end == call_end::refused ? 1U : 0U;
        progress_.failed += result.end != call_end::complete && result.end != call_end::refused ? 1U : 0U;
        results_[index] = std::move(result);
    }

    void end_open_calls() {
        for (const auto& [easy, call] : open_) {
            call_result result;
            result.detail = "not ended when the run ended";
            record(call->index, std::move(result));
        }
        report_progress();
    }

    void report_progress() {
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(elapsed());
        if (now == progress_.elapsed || !settings_.on_progress) {
            return;
        }
        progress_.elapsed = now;
        progress_.open = open_.size();
        settings_.on_progress(progress_);
    }

    const workload& load_;
    const std::vector<planned_call>& calls_;
    const load_client_settings& settings_;
    std::vector<call_result> results_;
    load_progress progress_;
    steady::time_point start_;
    header_list headers_{curl_slist_append(nullptr, "Content-Type: application/json"), &curl_slist_free_all};
    multi_handle multi_{curl_multi_init(), &curl_multi_cleanup};
    std::unordered_map<CURL*, std::unique_ptr<transfer>> open_;
    std::vector<std::unique_ptr<transfer>> idle_;
};

} // namespace

std::vector<call_result> run_calls(const workload& load, const std::vector<planned_call>& calls,
                                   const load_client_settings& settings) {
    return load_run{load, calls, settings}.run();
}

} // namespace persimmonstile

#include "transport/http_client.h"

#include <algorithm>
#include <cstdint>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include <asio.hpp>
#include <curl/curl.h>

namespace persimmonstile {

namespace {

// Larger than the base64 form of the largest page of the store.
constexpr std::size_t max_answer_bytes = std::size_t{8} * 1024 * 1024;
constexpr std::size_t max_idle_transfers = 64;

// Errors at which certainly no byte of the request left this process.
bool is_before_sending(CURLcode code) {
    return code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST ||
           code == CURLE_URL_MALFORMAT || code == CURLE_UNSUPPORTED_PROTOCOL;
}

// The request must not be repeated on another connection by the library: the server may have carried it out.
int refuse_rewind(void*, curl_off_t, int) {
    return CURL_SEEKFUNC_FAIL;
}

void initialize_library_once() {
    // curl_global_init is not safe to run twice at the same time.
    [[maybe_unused]] static const CURLcode done = curl_global_init(CURL_GLOBAL_DEFAULT);
}

// One request with its libcurl handle. Handles are reused.
class transfer {
public:
    transfer()
        : easy_{curl_easy_init()} {
        if (easy_ == nullptr)
            throw std::runtime_error{"libcurl could not create a handle"};
    }
    ~transfer() {
        curl_easy_cleanup(easy_);
        curl_slist_free_all(headers_);
    }
    transfer(const transfer&) = delete;
    transfer& operator=(const transfer&) = delete;

    void prepare(const http_client_request& request, http_client::handler on_answer) {
        curl_easy_reset(easy_);
        on_answer_ = std::move(on_answer);
        body_ = request.body;
        sent_ = 0;
        answer_ = {};
        curl_slist_free_all(headers_);
        headers_ = nullptr;
        for (const std::string& line : request.headers)
            headers_ = curl_slist_append(headers_, line.c_str());
        // Without this, libcurl waits up to 1 s for "100 Continue" before it sends a large body.
        headers_ = curl_slist_append(headers_, "Expect:");
        set(CURLOPT_HTTPHEADER, headers_);
        set(CURLOPT_URL, request.url.c_str());
        set(CURLOPT_NOSIGNAL, 1L);
        set(CURLOPT_PROXY, "");
        set(CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
        set(CURLOPT_TCP_NODELAY, 1L);
        set(CURLOPT_TIMEOUT_MS, static_cast<long>(std::max<std::int64_t>(1, request.timeout.count())));
        set(CURLOPT_CONNECTTIMEOUT_MS,
            static_cast<long>(std::min(request.timeout, request.connect_timeout).count()));
        set(CURLOPT_WRITEFUNCTION, &transfer::write);
        set(CURLOPT_WRITEDATA, this);
        if (request.method != "GET") {
            set(CURLOPT_POST, 1L);
            set(CURLOPT_CUSTOMREQUEST, request.method.c_str());
            set(CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(body_.size()));
            set(CURLOPT_READFUNCTION, &transfer::read);
            set(CURLOPT_READDATA, this);
            set(CURLOPT_SEEKFUNCTION, &refuse_rewind);
        }
    }

    http_answer finish(CURLcode code) {
        long request_bytes = 0;
        curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &request_bytes);
        answer_.sent = !is_before_sending(code) && request_bytes > 0;
        answer_.timed_out = code == CURLE_OPERATION_TIMEDOUT;
        if (code == CURLE_OK)
            curl_easy_getinfo(easy_, CURLINFO_RESPONSE_CODE, &answer_.status);
        else
            answer_.error = curl_easy_strerror(code);
        return std::move(answer_);
    }

    CURL* handle() const { return easy_; }
    http_client::handler take_handler() { return std::exchange(on_answer_, {}); }

private:
    template <typename T> void set(CURLoption option, T value) { curl_easy_setopt(easy_, option, value); }

    static std::size_t read(char* buffer, std::size_t size, std::size_t count, void* self) {
        auto* that = static_cast<transfer*>(self);
        const std::size_t length = std::min(size * count, that->body_.size() - that->sent_);
        std::copy_n(that->body_.data() + that->sent_, length, buffer);
        that->sent_ += length;
        return length;
    }

    static std::size_t write(const char* data, std::size_t size, std::size_t count, void* self) {
        auto* that = static_cast<transfer*>(self);
        if (that->answer_.body.size() + size * count > max_answer_bytes)
            return 0;
        that->answer_.body.append(data, size * count);
        return size * count;
    }

    CURL* easy_;
    curl_slist* headers_ = nullptr;
    http_client::handler on_answer_;
    std::string body_;
    std::size_t sent_ = 0;
    http_answer answer_;
};

} // namespace

class http_client::implementation : public std::enable_shared_from_this<implementation> {
public:
    implementation(asio::io_context& context, std::size_t connections)
        : context_{context}
        , timer_{context} {
        initialize_library_once();
        multi_ = curl_multi_init();
        curl_multi_setopt(multi_, CURLMOPT_SOCKETFUNCTION, &implementation::socket_changed);
        curl_multi_setopt(multi_, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_TIMERFUNCTION, &implementation::timer_changed);
        curl_multi_setopt(multi_, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(multi_, CURLMOPT_MAX_TOTAL_CONNECTIONS, static_cast<long>(connections));
        curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    ~implementation() {
        for (const auto& [handle, owner] : active_)
            curl_multi_remove_handle(multi_, handle);
        curl_multi_cleanup(multi_);
        for (auto& [socket, watched] : sockets_)
            watched->descriptor.release();
    }

    void close() {
        is_closed_ = true;
        timer_.cancel();
        for (auto& [socket, watched] : sockets_)
            watched->descriptor.cancel();
    }

    void send(const http_client_request& request, handler on_answer) {
        std::unique_ptr<transfer> next;
        if (idle_.empty()) {
            next = std::make_unique<transfer>();
        } else {
            next = std::move(idle_.back());
            idle_.pop_back();
        }
        next->prepare(request, std::move(on_answer));
        CURL* handle = next->handle();
        active_.emplace(handle, std::move(next));
        curl_multi_add_handle(multi_, handle);
    }

    std::size_t open_requests() const { return active_.size(); }

private:
    // A connection of libcurl that Asio waits for. libcurl opens and closes it.
    struct watched_socket {
        watched_socket(asio::io_context& context, curl_socket_t socket)
            : descriptor{context, socket} {}
        asio::posix::stream_descriptor descriptor;
        int wanted = 0;
        bool waits_to_read = false;
        bool waits_to_write = false;
    };

    static int socket_changed(CURL*, curl_socket_t socket, int what, void* self, void*) {
        static_cast<implementation*>(self)->watch(socket, what);
        return 0;
    }

    static int timer_changed(CURLM*, long timeout_ms, void* self) {
        static_cast<implementation*>(self)->set_timer(timeout_ms);
        return 0;
    }

    void watch(curl_socket_t socket, int what) {
        const auto found = sockets_.find(socket);
        if (what == CURL_POLL_REMOVE) {
            if (found == sockets_.end())
                return;
            found->second->descriptor.release();
            sockets_.erase(found);
            return;
        }
        std::shared_ptr<watched_socket> watched;
        if (found == sockets_.end()) {
            watched = std::make_shared<watched_socket>(context_, socket);
            sockets_.emplace(socket, watched);
        } else {
            watched = found->second;
        }
        watched->wanted = what;
        wait(socket, watched);
    }

    void wait(curl_socket_t socket, const std::shared_ptr<watched_socket>& watched) {
        if ((watched->wanted & CURL_POLL_IN) != 0 && !watched->waits_to_read) {
            watched->waits_to_read = true;
            watched->descriptor.async_wait(
                asio::posix::stream_descriptor::wait_read,
                [self = shared_from_this(), socket, watched](asio::error_code error) {
                    watched->waits_to_read = false;
                    self->ready(socket, watched, error, CURL_CSELECT_IN);
                });
        }
        if ((watched->wanted & CURL_POLL_OUT) != 0 && !watched->waits_to_write) {
            watched->waits_to_write = true;
            watched->descriptor.async_wait(
                asio::posix::stream_descriptor::wait_write,
                [self = shared_from_this(), socket, watched](asio::error_code error) {
                    watched->waits_to_write = false;
                    self->ready(socket, watched, error, CURL_CSELECT_OUT);
                });
        }
    }

    void ready(curl_socket_t socket, const std::shared_ptr<watched_socket>& watched, asio::error_code error,
               int events) {
        if (is_closed_)
            return;
        const auto found = sockets_.find(socket);
        // The connection was closed, and its number may belong to another one by now.
        if (found == sockets_.end() || found->second != watched)
            return;
        if (error == asio::error::operation_aborted)
            return;
        int running = 0;
        curl_multi_socket_action(multi_, socket, error ? CURL_CSELECT_ERR : events, &running);
        finish_ended();
        const auto still = sockets_.find(socket);
        if (still != sockets_.end() && still->second == watched)
            wait(socket, watched);
    }

    void set_timer(long timeout_ms) {
        if (timeout_ms < 0) {
            timer_.cancel();
            return;
        }
        timer_.expires_after(std::chrono::milliseconds{timeout_ms});
        timer_.async_wait([self = shared_from_this()](asio::error_code error) {
            if (error || self->is_closed_)
                return;
            // A busy process may find the answer and the end of its time together; the answer goes first.
            asio::post(self->context_, [self] { self->check_times(); });
        });
    }

    void check_times() {
        if (is_closed_)
            return;
        int running = 0;
        curl_multi_socket_action(multi_, CURL_SOCKET_TIMEOUT, 0, &running);
        finish_ended();
    }

    void finish_ended() {
        int left = 0;
        while (const CURLMsg* message = curl_multi_info_read(multi_, &left)) {
            if (message->msg != CURLMSG_DONE)
                continue;
            CURL* handle = message->easy_handle;
            const CURLcode code = message->data.result;
            curl_multi_remove_handle(multi_, handle);
            const auto found = active_.find(handle);
            std::unique_ptr<transfer> ended = std::move(found->second);
            active_.erase(found);
            http_answer answer = ended->finish(code);
            const handler on_answer = ended->take_handler();
            if (idle_.size() < max_idle_transfers)
                idle_.push_back(std::move(ended));
            on_answer(std::move(answer));
        }
    }

    asio::io_context& context_;
    asio::steady_timer timer_;
    CURLM* multi_ = nullptr;
    bool is_closed_ = false;
    std::unordered_map<CURL*, std::unique_ptr<transfer>> active_;
    std::vector<std::unique_ptr<transfer>> idle_;
    std::unordered_map<curl_socket_t, std::shared_ptr<watched_socket>> sockets_;
};

http_client::http_client(asio::io_context& context, std::size_t connections)
    : implementation_{std::make_shared<implementation>(context, connections)} {}

http_client::~http_client() {
    implementation_->close();
}

void http_client::send(const http_client_request& request, handler on_answer) {
    implementation_->send(request, std::move(on_answer));
}

std::size_t http_client::open_requests() const {
    return implementation_->open_requests();
}

} // namespace persimmonstile

#pragma once

#include "coordination/job_actions.h"
#include "daemon/job_engine.h"
#include "state/clock_source.h"
#include "state/forward_job.h"
#include "state/forward_lookup.h"
#include "state/job_reply.h"
#include "state/job_spec.h"
#include "state/owner_table.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace persimmonstile {

// The operation that a caller requests on a job.
enum class caller_request_kind : std::uint8_t { submit, lookup, cancel };

// A caller's request, which is routed to the owner of the job.
struct caller_request {
    caller_request_kind kind = caller_request_kind::submit;
    job_id job;
    // Set for submissions only.
    std::shared_ptr<const job_spec> spec;
    std::string traceparent;
    // The caller gets job_pending after this time. If unset, there is no limit.
    std::optional<std::chrono::milliseconds> wait;
};

// Routes the requests of this entry's callers to the owners of the jobs and returns the owners' answers. A
// request is sent again if its owner changes or cannot be reached. Job ids make requests idempotent, so this
// is safe.
class request_router {
public:
    using reply_handler = std::function<void(const job_reply&)>;
    // Sends a message to another entry; false if it is not connected.
    using forward_function = std::function<bool(const incarnation& owner, const task_message& message)>;

    request_router(const clock_source& clock, incarnation self, forward_function forward);

    // Must be called before any request arrives. The engine's answers must be passed to this object.
    void set_engine(job_engine& engine) { engine_ = &engine; }

    // Handles a request from a caller of this entry. on_reply is called exactly once.
    void start_request(caller_request request, reply_handler on_reply);
    // Handles a request that another entry forwarded to this one.
    void process_forwarded_request(const incarnation& origin, const forward_job& message);
    void process_forwarded_request(const incarnation& origin, const forward_lookup& message);

    // Handles the engine's answer to the request with answer.token.
    void process_engine_answer(const caller_answer& answer);
    // Handles another entry's answer to a forwarded request. The answer is ignored unless that entry is the
    // last one that the request was sent to: a deposed owner may refuse a job that its successor is running.
    void process_owner_answer(const incarnation& owner, const job_result& result);

    void set_table(const owner_table& table);
    void entry_disconnected(const incarnation& entry);

    // Retries unsent requests and answers callers whose wait has expired.
    // Must be called at least every 50 ms.
    void tick();

    std::size_t waiting_callers() const;

private:
    // Where a request is being processed.
    enum class request_location : std::uint8_t { unsent, own_engine, other_entry };

    // A caller of another entry (origin), which identifies the request by its own token.
    struct remote_caller {
        incarnation origin;
        caller_token token = 0;
    };

    struct pending {
        caller_request request;
        std::variant<reply_handler, remote_caller> caller;
        request_location location = request_location::unsent;
        incarnation sent_to;
        bool was_sent = false;
        // The caller's wait is over, and the owner has been asked whether it accepted the job.
        bool is_confirming = false;
        time_point asked;
        time_point unsent_since;
    };

    caller_token add(caller_request request, std::variant<reply_handler, remote_caller> caller);
    void route(caller_token token);
    void submit_to_own_engine(caller_token token, const caller_request& request);
    bool send_to(const incarnation& owner, caller_token token, const caller_request& request);
    void finish(caller_token token, const job_reply& reply);
    void mark_unsent(caller_token token);
    static bool needs_confirmation(const pending& waiting, time_point now);
    std::optional<job_reply> expired_reply(const pending& waiting, time_point now) const;

    const clock_source& clock_;
    incarnation self_;
    forward_function forward_;
    job_engine* engine_ = nullptr;
    mutable std::mutex mutex_;
    caller_token next_token_ = 1;
    std::unordered_map<caller_token, pending> pending_;
    std::vector<partition_owner> owners_;
};

} // namespace persimmonstile

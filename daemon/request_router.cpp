#include "daemon/request_router.h"

#include <utility>

namespace persimmonstile {

namespace {

// A takeover takes about 3 s. A request that finds no owner for this long fails.
constexpr std::chrono::milliseconds max_unsent_time{8000};
constexpr std::chrono::milliseconds unsent_retry_hint{2000};

// The owner answers by the deadline. If no answer has come this much later, the owner is assumed to have
// failed without a successor.
constexpr std::chrono::milliseconds owner_answer_margin{8000};
constexpr std::chrono::milliseconds max_default_deadline{120000};

job_outcome no_owner_refusal() {
    job_failed failed;
    failed.reason = failure_reason::not_run;
    failed.detail = "no entry owns this job id at present";
    failed.retry_after_ms = unsent_retry_hint.count();
    return failed;
}

job_outcome lost_owner_failure() {
    job_failed failed;
    failed.reason = failure_reason::outcome_unknown;
    failed.detail = "the owner of this job id did not answer";
    return failed;
}

} // namespace

request_router::request_router(const clock_source& clock, incarnation self, forward_function forward)
    : clock_{clock}
    , self_{std::move(self)}
    , forward_{std::move(forward)} {}

void request_router::start_request(caller_request request, reply_handler on_reply) {
    route(add(std::move(request), std::move(on_reply)));
}

void request_router::process_forwarded_request(const incarnation& origin, const forward_job& message) {
    caller_request request;
    request.kind = caller_request_kind::submit;
    request.job = message.job;
    request.spec = std::make_shared<const job_spec>(message.spec);
    request.traceparent = message.traceparent;
    submit_to_own_engine(add(request, remote_caller{origin, message.token}), request);
}

void request_router::process_forwarded_request(const incarnation& origin, const forward_lookup& message) {
    caller_request request;
    request.kind = message.cancel ? caller_request_kind::cancel : caller_request_kind::lookup;
    request.job = message.job;
    submit_to_own_engine(add(request, remote_caller{origin, message.token}), request);
}

caller_token request_router::add(caller_request request, std::variant<reply_handler, remote_caller> caller) {
    const std::lock_guard lock{mutex_};
    const caller_token token = next_token_++;
    pending& added = pending_[token];
    added.request = std::move(request);
    added.caller = std::move(caller);
    added.asked = clock_.now();
    added.unsent_since = added.asked;
    return token;
}

void request_router::route(caller_token token) {
    caller_request request;
    incarnation owner;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(token);
        if (found == pending_.end() || found->second.location != request_location::unsent || owners_.empty())
            return;
        owner = owners_.at(partition_of(found->second.request.job)).owner;
        if (owner == self_ && !engine_->has_lease())
            return;
        found->second.location =
            owner == self_ ? request_location::own_engine : request_location::other_entry;
        found->second.sent_to = owner;
        request = found->second.request;
    }
    if (owner == self_)
        submit_to_own_engine(token, request);
    else if (!send_to(owner, token, request))
        mark_unsent(token);
}

void request_router::submit_to_own_engine(caller_token token, const caller_request& request) {
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(token);
        if (found == pending_.end())
            return;
        found->second.location = request_location::own_engine;
    }
    switch (request.kind) {
    case caller_request_kind::submit: {
        validated_submission submitted;
        submitted.job = request.job;
        submitted.spec = request.spec;
        submitted.traceparent = request.traceparent;
        submitted.token = token;
        engine_->submit(std::move(submitted));
        break;
    }
    case caller_request_kind::lookup:
    case caller_request_kind::cancel:
        engine_->lookup({token, request.job, request.kind == caller_request_kind::cancel});
        break;
    }
}

bool request_router::send_to(const incarnation& owner, caller_token token, const caller_request& request) {
    bool is_sent = false;
    if (request.kind == caller_request_kind::submit)
        is_sent = forward_(owner, forward_job{token, request.job, *request.spec, request.traceparent});
    else
        is_sent =
            forward_(owner, forward_lookup{token, request.job, request.kind == caller_request_kind::cancel});
    if (!is_sent)
        return false;
    const std::lock_guard lock{mutex_};
    const auto found = pending_.find(token);
    if (found != pending_.end())
        found->second.was_sent = true;
    return true;
}

void request_router::mark_unsent(caller_token token) {
    const std::lock_guard lock{mutex_};
    const auto found = pending_.find(token);
    if (found == pending_.end())
        return;
    if (found->second.location != request_location::unsent)
        found->second.unsent_since = clock_.now();
    found->second.location = request_location::unsent;
    found->second.is_confirming = false;
}

void request_router::process_engine_answer(const caller_answer& answer) {
    const bool is_rejected = std::holds_alternative<job_wrong_owner>(answer.reply);
    bool is_local = false;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(answer.token);
        if (found == pending_.end())
            return;
        // The request has since been forwarded to another owner. Only that owner's answer is used.
        if (found->second.location != request_location::own_engine)
            return;
        is_local = std::holds_alternative<reply_handler>(found->second.caller);
        // The engine may have accepted the job before it lost the partition.
        found->second.was_sent = true;
    }
    if (is_rejected && is_local)
        mark_unsent(answer.token);
    else
        finish(answer.token, answer.reply);
}

void request_router::process_owner_answer(const incarnation& owner, const job_result& result) {
    bool is_submission = false;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(result.token);
        const bool is_expected = found != pending_.end() &&
                                 found->second.location == request_location::other_entry &&
                                 found->second.sent_to == owner;
        if (!is_expected)
            return;
        is_submission = found->second.request.kind == caller_request_kind::submit;
    }
    // An owner that does not know a submitted job has lost it, so the job is submitted again.
    const bool is_unknown_job = is_submission && std::holds_alternative<job_not_found>(result.reply);
    if (is_unknown_job || std::holds_alternative<job_wrong_owner>(result.reply))
        mark_unsent(result.token);
    else
        finish(result.token, result.reply);
}

void request_router::finish(caller_token token, const job_reply& reply) {
    pending ended;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(token);
        if (found == pending_.end())
            return;
        ended = std::move(found->second);
        pending_.erase(found);
    }
    if (const auto* on_reply = std::get_if<reply_handler>(&ended.caller)) {
        (*on_reply)(reply);
        return;
    }
    const auto& remote = std::get<remote_caller>(ended.caller);
    forward_(remote.origin, job_result{remote.token, ended.request.job, reply});
}

void request_router::set_table(const owner_table& table) {
    std::vector<caller_token> reassigned_requests;
    {
        const std::lock_guard lock{mutex_};
        owners_ = table.partitions;
        for (const auto& [token, waiting] : pending_) {
            if (owners_.empty() || waiting.location != request_location::other_entry)
                continue;
            if (owners_.at(partition_of(waiting.request.job)).owner != waiting.sent_to)
                reassigned_requests.push_back(token);
        }
    }
    for (const caller_token token : reassigned_requests)
        mark_unsent(token);
}

void request_router::entry_disconnected(const incarnation& entry) {
    std::vector<caller_token> disconnected_requests;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [token, waiting] : pending_) {
            if (waiting.location == request_location::other_entry && waiting.sent_to == entry)
                disconnected_requests.push_back(token);
        }
    }
    for (const caller_token token : disconnected_requests)
        mark_unsent(token);
}

void request_router::tick() {
    struct expired_request {
        caller_token token = 0;
        job_id job;
        request_location location = request_location::unsent;
        job_reply reply;
    };
    struct confirmation {
        incarnation owner;
        forward_lookup lookup;
    };
    std::vector<caller_token> unsent;
    std::vector<confirmation> unconfirmed;
    std::vector<expired_request> expired;
    const time_point now = clock_.now();
    {
        const std::lock_guard lock{mutex_};
        for (auto& [token, waiting] : pending_) {
            std::optional<job_reply> reply = expired_reply(waiting, now);
            if (reply)
                expired.push_back({token, waiting.request.job, waiting.location, std::move(*reply)});
            else if (waiting.location == request_location::unsent)
                unsent.push_back(token);
            else if (needs_confirmation(waiting, now)) {
                waiting.is_confirming = true;
                unconfirmed.push_back({waiting.sent_to, {token, waiting.request.job, false}});
            }
        }
    }
    // The caller may be told that the job is pending only after the owner confirms that it accepted the job,
    // because the owner may be about to refuse it.
    for (const confirmation& asked : unconfirmed)
        forward_(asked.owner, asked.lookup);
    for (const expired_request& ended : expired) {
        if (ended.location == request_location::own_engine)
            engine_->forget_caller(ended.job, ended.token);
        finish(ended.token, ended.reply);
    }
    for (const caller_token token : unsent)
        route(token);
}

bool request_router::needs_confirmation(const pending& waiting, time_point now) {
    return std::holds_alternative<reply_handler>(waiting.caller) &&
           waiting.location == request_location::other_entry && !waiting.is_confirming &&
           waiting.request.wait && now >= waiting.asked + *waiting.request.wait;
}

std::optional<job_reply> request_router::expired_reply(const pending& waiting, time_point now) const {
    if (std::holds_alternative<remote_caller>(waiting.caller))
        return std::nullopt;
    const bool is_wait_over = waiting.request.wait && now >= waiting.asked + *waiting.request.wait;
    if (is_wait_over && waiting.location == request_location::own_engine)
        return job_pending{};
    const bool unsent = waiting.location == request_location::unsent;
    if (unsent && now >= waiting.unsent_since + max_unsent_time)
        return waiting.was_sent ? lost_owner_failure() : no_owner_refusal();
    if (waiting.request.kind != caller_request_kind::submit)
        return std::nullopt;
    const auto deadline =
        waiting.request.spec->deadline_ms > 0 ? waiting.request.spec->deadline() : max_default_deadline;
    if (waiting.location == request_location::other_entry &&
        now >= waiting.asked + deadline + owner_answer_margin)
        return lost_owner_failure();
    return std::nullopt;
}

std::size_t request_router::waiting_callers() const {
    const std::lock_guard lock{mutex_};
    return pending_.size();
}

} // namespace persimmonstile

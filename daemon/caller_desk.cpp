#include "daemon/caller_desk.h"

#include <utility>

namespace persimmonstile {

namespace {

// A takeover takes about 3 s. A request that finds no owner for this long fails.
constexpr std::chrono::milliseconds unsent_limit{8000};
constexpr std::chrono::milliseconds unsent_retry_hint{2000};

// The owner answers by the deadline. If no answer has come this much later, the owner is assumed to have
// failed without a successor.
constexpr std::chrono::milliseconds answer_margin{8000};
constexpr std::chrono::milliseconds longest_default_deadline{120000};

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

caller_desk::caller_desk(const clock_source& clock, incarnation self, forward_function forward)
    : clock_{clock}
    , self_{std::move(self)}
    , forward_{std::move(forward)} {}

void caller_desk::ask(caller_request request, reply_handler on_reply) {
    route(add(std::move(request), std::move(on_reply)));
}

void caller_desk::forwarded(const incarnation& origin, const forward_job& message) {
    caller_request request;
    request.kind = caller_request_kind::submit;
    request.job = message.job;
    request.spec = std::make_shared<const job_spec>(message.spec);
    request.traceparent = message.traceparent;
    submit_here(add(request, remote_caller{origin, message.token}), request);
}

void caller_desk::forwarded(const incarnation& origin, const forward_lookup& message) {
    caller_request request;
    request.kind = message.cancel ? caller_request_kind::cancel : caller_request_kind::lookup;
    request.job = message.job;
    submit_here(add(request, remote_caller{origin, message.token}), request);
}

caller_token caller_desk::add(caller_request request, std::variant<reply_handler, remote_caller> caller) {
    const std::lock_guard lock{mutex_};
    const caller_token token = next_token_++;
    pending& added = pending_[token];
    added.request = std::move(request);
    added.caller = std::move(caller);
    added.asked = clock_.now();
    added.unsent_since = added.asked;
    return token;
}

void caller_desk::route(caller_token token) {
    caller_request request;
    incarnation owner;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(token);
        if (found == pending_.end() || found->second.where != place::unsent || owners_.empty())
            return;
        owner = owners_.at(partition_of(found->second.request.job)).owner;
        if (owner == self_ && !engine_->has_lease())
            return;
        found->second.where = owner == self_ ? place::own_engine : place::other_entry;
        found->second.sent_to = owner;
        request = found->second.request;
    }
    if (owner == self_)
        submit_here(token, request);
    else if (!send_to(owner, token, request))
        mark_unsent(token);
}

void caller_desk::submit_here(caller_token token, const caller_request& request) {
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(token);
        if (found == pending_.end())
            return;
        found->second.where = place::own_engine;
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

bool caller_desk::send_to(const incarnation& owner, caller_token token, const caller_request& request) {
    bool sent = false;
    if (request.kind == caller_request_kind::submit)
        sent = forward_(owner, forward_job{token, request.job, *request.spec, request.traceparent});
    else
        sent =
            forward_(owner, forward_lookup{token, request.job, request.kind == caller_request_kind::cancel});
    if (!sent)
        return false;
    const std::lock_guard lock{mutex_};
    const auto found = pending_.find(token);
    if (found != pending_.end())
        found->second.was_sent = true;
    return true;
}

void caller_desk::mark_unsent(caller_token token) {
    const std::lock_guard lock{mutex_};
    const auto found = pending_.find(token);
    if (found == pending_.end())
        return;
    if (found->second.where != place::unsent)
        found->second.unsent_since = clock_.now();
    found->second.where = place::unsent;
    found->second.confirming = false;
}

void caller_desk::deliver(const caller_answer& answer) {
    const bool rejected = std::holds_alternative<job_wrong_owner>(answer.reply);
    bool is_local = false;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(answer.token);
        if (found == pending_.end())
            return;
        // The request has since been forwarded to another owner. Only that owner's answer is used.
        if (found->second.where != place::own_engine)
            return;
        is_local = std::holds_alternative<reply_handler>(found->second.caller);
        // The engine may have accepted the job before it lost the partition.
        found->second.was_sent = true;
    }
    if (rejected && is_local)
        mark_unsent(answer.token);
    else
        finish(answer.token, answer.reply);
}

void caller_desk::deliver_forwarded(const incarnation& owner, const job_result& result) {
    bool is_submission = false;
    {
        const std::lock_guard lock{mutex_};
        const auto found = pending_.find(result.token);
        const bool expected = found != pending_.end() && found->second.where == place::other_entry &&
                              found->second.sent_to == owner;
        if (!expected)
            return;
        is_submission = found->second.request.kind == caller_request_kind::submit;
    }
    // An owner that does not know a submitted job has lost it, so the job is submitted again.
    const bool unknown = is_submission && std::holds_alternative<job_not_found>(result.reply);
    if (unknown || std::holds_alternative<job_wrong_owner>(result.reply))
        mark_unsent(result.token);
    else
        finish(result.token, result.reply);
}

void caller_desk::finish(caller_token token, const job_reply& reply) {
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

void caller_desk::set_table(const owner_table& table) {
    std::vector<caller_token> moved;
    {
        const std::lock_guard lock{mutex_};
        owners_ = table.partitions;
        for (const auto& [token, waiting] : pending_) {
            if (owners_.empty() || waiting.where != place::other_entry)
                continue;
            if (owners_.at(partition_of(waiting.request.job)).owner != waiting.sent_to)
                moved.push_back(token);
        }
    }
    for (const caller_token token : moved)
        mark_unsent(token);
}

void caller_desk::entry_disconnected(const incarnation& entry) {
    std::vector<caller_token> cut_off;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [token, waiting] : pending_) {
            if (waiting.where == place::other_entry && waiting.sent_to == entry)
                cut_off.push_back(token);
        }
    }
    for (const caller_token token : cut_off)
        mark_unsent(token);
}

void caller_desk::tick() {
    struct expired_request {
        caller_token token = 0;
        job_id job;
        place where = place::unsent;
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
                expired.push_back({token, waiting.request.job, waiting.where, std::move(*reply)});
            else if (waiting.where == place::unsent)
                unsent.push_back(token);
            else if (needs_confirmation(waiting, now)) {
                waiting.confirming = true;
                unconfirmed.push_back({waiting.sent_to, {token, waiting.request.job, false}});
            }
        }
    }
    // The caller may be told that the job is pending only after the owner confirms that it accepted the job,
    // because the owner may be about to refuse it.
    for (const confirmation& asked : unconfirmed)
        forward_(asked.owner, asked.lookup);
    for (const expired_request& ended : expired) {
        if (ended.where == place::own_engine)
            engine_->forget_caller(ended.job, ended.token);
        finish(ended.token, ended.reply);
    }
    for (const caller_token token : unsent)
        route(token);
}

bool caller_desk::needs_confirmation(const pending& waiting, time_point now) {
    return std::holds_alternative<reply_handler>(waiting.caller) && waiting.where == place::other_entry &&
           !waiting.confirming && waiting.request.wait && now >= waiting.asked + *waiting.request.wait;
}

std::optional<job_reply> caller_desk::expired_reply(const pending& waiting, time_point now) const {
    if (std::holds_alternative<remote_caller>(waiting.caller))
        return std::nullopt;
    const bool waited_enough = waiting.request.wait && now >= waiting.asked + *waiting.request.wait;
    if (waited_enough && waiting.where == place::own_engine)
        return job_pending{};
    const bool unsent = waiting.where == place::unsent;
    if (unsent && now >= waiting.unsent_since + unsent_limit)
        return waiting.was_sent ? lost_owner_failure() : no_owner_refusal();
    if (waiting.request.kind != caller_request_kind::submit)
        return std::nullopt;
    const auto deadline =
        waiting.request.spec->deadline_ms > 0 ? waiting.request.spec->deadline() : longest_default_deadline;
    if (waiting.where == place::other_entry && now >= waiting.asked + deadline + answer_margin)
        return lost_owner_failure();
    return std::nullopt;
}

std::size_t caller_desk::waiting_callers() const {
    const std::lock_guard lock{mutex_};
    return pending_.size();
}

} // namespace persimmonstile

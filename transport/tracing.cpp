#include "transport/tracing.h"

#include "protocol/daemon_settings.h"
#include "transport/file_span_sink.h"
#include "transport/http_span_sink.h"
#include "transport/logging.h"

#include <algorithm>
#include <iterator>

namespace persimmonstile {

tracer::tracer(trace_resource resource, std::unique_ptr<span_sink> sink, const clock_source& clock)
    : resource_{std::move(resource)}
    , sink_{std::move(sink)}
    , clock_{clock} {
    if (is_enabled()) {
        writer_ = std::thread{[this] {
            run_writer();
        }};
    }
}

tracer::~tracer() {
    if (!writer_.joinable()) {
        return;
    }
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    work_.notify_all();
    writer_.join();
}

trace_context tracer::accept(std::string_view traceparent) const {
    if (const std::optional<trace_context> parsed = parse_traceparent(traceparent)) {
        return *parsed;
    }
    trace_context created = make_trace_context(is_enabled());
    created.span = {};
    return created;
}

trace_span tracer::begin(trace_hop hop, const trace_context& parent) const {
    const bool recorded = is_enabled() && parent.sampled;
    trace_span span;
    span.hop = hop;
    span.context = parent;
    if (recorded || parent.span == span_id{}) {
        span.parent = parent.span;
        span.context.span = make_span_id();
    }
    if (recorded) {
        span.start = clock_.wall_now();
        span.started = clock_.now();
    }
    return span;
}

void tracer::end(trace_span span) {
    if (!is_enabled() || !span.context.sampled) {
        return;
    }
    span.duration = clock_.now() - span.started;
    bool wake = false;
    {
        const std::lock_guard lock{mutex_};
        if (buffer_.size() >= buffer_capacity) {
            dropped_.fetch_add(1, std::memory_order_relaxed);
            return;
        }
        buffer_.push_back(std::move(span));
        ++buffered_count_;
        wake = buffer_.size() == spans_per_request;
    }
    if (wake) {
        work_.notify_one();
    }
}

void tracer::flush() {
    if (!is_enabled()) {
        return;
    }
    std::unique_lock lock{mutex_};
    flush_requested_ = true;
    work_.notify_one();
    const std::uint64_t awaited = buffered_count_;
    written_.wait(lock, [&] { return handled_count_ >= awaited; });
}

void tracer::run_writer() {
    std::unique_lock lock{mutex_};
    bool sink_failed = false;
    while (!stopping_ || (!buffer_.empty() && !sink_failed)) {
        work_.wait_for(lock, write_interval, [this] {
            return stopping_ || flush_requested_ || buffer_.size() >= spans_per_request;
        });
        flush_requested_ = false;
        std::vector<trace_span> spans;
        spans.swap(buffer_);
        const std::uint64_t taken = spans.size();
        lock.unlock();
        sink_failed = !write_spans(std::move(spans));
        lock.lock();
        handled_count_ += taken;
        written_.notify_all();
    }
}

bool tracer::write_spans(std::vector<trace_span> spans) {
    auto next = spans.begin();
    while (next != spans.end()) {
        const auto left = static_cast<std::size_t>(std::distance(next, spans.end()));
        const auto end = std::next(next, static_cast<std::ptrdiff_t>(std::min(left, spans_per_request)));
        const std::vector<trace_span> part{std::make_move_iterator(next), std::make_move_iterator(end)};
        if (!sink_->write(encode_spans(resource_, part))) {
            // The rest is dropped too: a sink that is down would hold up each request for its timeout.
            dropped_.fetch_add(left, std::memory_order_relaxed);
            log_event(log_level::warn, "tracing", "trace spans were lost", {{"spans", left}});
            return false;
        }
        next = end;
    }
    return true;
}

std::unique_ptr<span_sink> make_span_sink(const daemon_settings& settings) {
    if (!settings.trace_file.empty()) {
        return std::make_unique<file_span_sink>(settings.trace_file);
    }
    if (!settings.trace_url.empty()) {
        return std::make_unique<http_span_sink>(settings.trace_url, tracer::collector_timeout);
    }
    return nullptr;
}

trace_resource make_trace_resource(const daemon_settings& settings) {
    return {settings.name, settings.role == daemon_role::entry ? "entry" : "agent", settings.zone};
}

} // namespace persimmonstile

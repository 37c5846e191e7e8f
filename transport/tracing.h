#pragma once

#include "state/clock_source.h"
#include "transport/otlp_json.h"
#include "transport/span_sink.h"
#include "transport/trace_span.h"

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

namespace persimmonstile {

struct daemon_settings;

// Records spans and writes them in the background. Recording never waits for the sink: when the buffer is
// full, spans are dropped and counted. Thread-safe.
class tracer {
public:
    // Spans that wait for the writer. At about 500 bytes each, a full buffer takes 8 MB.
    static constexpr std::size_t buffer_capacity = 16384;
    // Bounds one request to about 1 MB.
    static constexpr std::size_t spans_per_request = 2048;
    static constexpr std::chrono::milliseconds write_interval{500};
    static constexpr std::chrono::milliseconds collector_timeout{2000};

    // Without a sink nothing is recorded, and contexts are still created and passed on. The clock must
    // outlive the tracer.
    tracer(trace_resource resource, std::unique_ptr<span_sink> sink, const clock_source& clock);
    tracer(const tracer&) = delete;
    tracer& operator=(const tracer&) = delete;
    // Writes what is buffered; stops at the first request that the sink loses.
    ~tracer();

    bool is_enabled() const { return sink_ != nullptr; }

    // Parent of the first hop of a call with this traceparent header. A missing or malformed header starts a
    // new trace, which is recorded if this tracer is enabled; its span id is all zero.
    trace_context accept(std::string_view traceparent) const;

    // A span that starts now, as a child of the given context. A span that is not recorded has the context of
    // its parent, so that the next hop still sees the last recorded span.
    trace_span begin(trace_hop hop, const trace_context& parent) const;

    // Ends the span now and buffers it.
    void end(trace_span span);

    // Blocks until all spans buffered before the call were handed to the sink.
    void flush();

    // Spans lost because the buffer was full or the sink lost a request.
    std::uint64_t dropped_spans() const { return dropped_.load(std::memory_order_relaxed); }

private:
    void run_writer();
    // False if a request was lost.
    bool write_spans(std::vector<trace_span> spans);

    const trace_resource resource_;
    const std::unique_ptr<span_sink> sink_;
    const clock_source& clock_;
    std::atomic<std::uint64_t> dropped_ = 0;

    std::mutex mutex_;
    std::condition_variable work_;
    std::condition_variable written_;
    std::vector<trace_span> buffer_;
    // Spans that were buffered and spans that were handed to the sink since the start.
    std::uint64_t buffered_count_ = 0;
    std::uint64_t handled_count_ = 0;
    bool flush_requested_ = false;
    bool stopping_ = false;

    std::thread writer_;
};

// The sink that the settings name: a file, a collector or none.
std::unique_ptr<span_sink> make_span_sink(const daemon_settings& settings);

// The resource attributes of a daemon with these settings.
trace_resource make_trace_resource(const daemon_settings& settings);

} // namespace persimmonstile

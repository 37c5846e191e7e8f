#include "transport/logging.h"
#include "transport/metrics.h"

#include <benchmark/benchmark.h>

namespace persimmonstile {
namespace {

constexpr int most_threads = 4;

// Baseline of the ratios: one uncontended atomic addition.
void atomic_addition(benchmark::State& state) {
    thread_local std::atomic<std::uint64_t> value = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(value.fetch_add(1, std::memory_order_relaxed));
    }
}
BENCHMARK(atomic_addition)->Threads(1)->Threads(most_threads);

daemon_metrics& shared_metrics() {
    static daemon_metrics metrics;
    return metrics;
}

void counter_update(benchmark::State& state) {
    daemon_metrics& metrics = shared_metrics();
    for (auto _ : state) {
        metrics.messages.add(message_kind::dispatch);
    }
}
BENCHMARK(counter_update)->Threads(1)->Threads(most_threads);

void histogram_update(benchmark::State& state) {
    daemon_metrics& metrics = shared_metrics();
    std::chrono::nanoseconds duration{0};
    for (auto _ : state) {
        duration += std::chrono::microseconds{1};
        metrics.run_time.record(duration);
    }
}
BENCHMARK(histogram_update)->Threads(1)->Threads(most_threads);

void log_event_below_level(benchmark::State& state) {
    std::uint64_t count = 0;
    for (auto _ : state) {
        log_event(log_level::debug, "benchmark", "left out", {{"count", ++count}});
    }
}
BENCHMARK(log_event_below_level);

void metrics_exposition(benchmark::State& state) {
    for (auto _ : state) {
        benchmark::DoNotOptimize(shared_metrics().prometheus_text());
    }
}
BENCHMARK(metrics_exposition)->Unit(benchmark::kMicrosecond);

} // namespace
} // namespace persimmonstile

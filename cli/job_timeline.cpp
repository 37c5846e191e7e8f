#include "cli/job_timeline.h"

#include <algorithm>
#include <array>
#include <map>

namespace persimmonstile {
namespace {

using std::chrono::nanoseconds;

constexpr std::array all_hops{trace_hop::entry, trace_hop::owner, trace_hop::agent, trace_hop::backend_call};

using span_pointer = const recorded_span*;

// Span on the critical path of each hop; null where none was recorded.
using critical_path = std::array<span_pointer, all_hops.size()>;

wall_time end_of(const recorded_span& item) {
    return item.span.start + std::chrono::duration_cast<wall_time::duration>(item.span.duration);
}

bool ends_earlier(span_pointer left, span_pointer right) {
    return end_of(*left) < end_of(*right);
}

class span_index {
public:
    span_index(const std::string& job, const std::vector<recorded_span>& spans) {
        for (const recorded_span& item : spans) {
            if (item.span.job == job) {
                by_id_[{item.span.context.trace, item.span.context.span}] = &item;
            }
        }
    }

    bool empty() const { return by_id_.empty(); }

    std::vector<span_pointer> of_hop(trace_hop hop) const {
        std::vector<span_pointer> found;
        for (const auto& [id, item] : by_id_) {
            if (item->span.hop == hop) {
                found.push_back(item);
            }
        }
        return found;
    }

    span_pointer parent_of(const recorded_span& item) const {
        const auto found = by_id_.find({item.span.context.trace, item.span.parent});
        return found == by_id_.end() ? nullptr : found->second;
    }

    // The last child, which is the one that counts if a call was repeated.
    span_pointer child_of(const recorded_span& parent, trace_hop hop) const {
        span_pointer last = nullptr;
        for (const auto& [id, item] : by_id_) {
            const bool is_child = item->span.hop == hop && id.first == parent.span.context.trace &&
                                  item->span.parent == parent.span.context.span;
            if (is_child && (last == nullptr || ends_earlier(last, item))) {
                last = item;
            }
        }
        return last;
    }

private:
    std::map<std::pair<trace_id, span_id>, span_pointer> by_id_;
};

std::size_t position(trace_hop hop) {
    return static_cast<std::size_t>(hop);
}

// The longest span of a hop in the same trace. Stands in for a hop whose link to the path is lost because a
// span between them is missing.
span_pointer longest_of(const span_index& index, trace_hop hop, const trace_id& trace) {
    span_pointer longest = nullptr;
    for (const span_pointer item : index.of_hop(hop)) {
        const bool same_trace = item->span.context.trace == trace;
        if (same_trace && (longest == nullptr || longest->span.duration < item->span.duration)) {
            longest = item;
        }
    }
    return longest;
}

// Starts at the innermost hop that was recorded and follows the parents.
critical_path find_critical_path(const span_index& index) {
    critical_path path{};
    span_pointer current = nullptr;
    for (const trace_hop hop :
         {trace_hop::agent, trace_hop::backend_call, trace_hop::owner, trace_hop::entry}) {
        const std::vector<span_pointer> candidates = index.of_hop(hop);
        if (!candidates.empty()) {
            current = *std::max_element(candidates.begin(), candidates.end(), ends_earlier);
            break;
        }
    }
    if (current != nullptr && current->span.hop == trace_hop::agent) {
        path[position(trace_hop::backend_call)] = index.child_of(*current, trace_hop::backend_call);
    }
    if (current == nullptr) {
        return path;
    }
    const trace_id trace = current->span.context.trace;
    const std::size_t innermost = position(current->span.hop);
    while (current != nullptr && path[position(current->span.hop)] == nullptr) {
        path[position(current->span.hop)] = current;
        current = index.parent_of(*current);
    }
    for (std::size_t i = 0; i < innermost; ++i) {
        if (path[i] == nullptr) {
            path[i] = longest_of(index, all_hops[i], trace);
        }
    }
    return path;
}

std::vector<hop_share> make_hop_shares(const span_index& index, const critical_path& path) {
    std::vector<hop_share> shares;
    for (const trace_hop hop : all_hops) {
        hop_share share{hop, index.of_hop(hop).size(), {}, nanoseconds{0}, nanoseconds{0}};
        if (const span_pointer item = path[position(hop)]) {
            share.instance = item->instance;
            share.total = item->span.duration;
            share.own = share.total;
        }
        shares.push_back(share);
    }
    // Each hop accounts for what the nearest recorded hop inside it does not.
    for (std::size_t outer = 0; outer < shares.size(); ++outer) {
        for (std::size_t inner = outer + 1; inner < shares.size(); ++inner) {
            if (path[inner] != nullptr) {
                shares[outer].own = std::max(shares[outer].total - shares[inner].total, nanoseconds{0});
                break;
            }
        }
    }
    return shares;
}

std::vector<task_share> make_task_shares(const span_index& index) {
    std::vector<task_share> shares;
    for (const span_pointer agent : index.of_hop(trace_hop::agent)) {
        task_share share;
        share.task = agent->span.task;
        share.agent = agent->instance;
        share.outcome = agent->span.outcome;
        share.total = agent->span.duration;
        if (const span_pointer call = index.child_of(*agent, trace_hop::backend_call)) {
            share.backend_server = call->span.peer;
            share.run = call->span.duration;
        }
        share.waited = std::max(share.total - share.run, nanoseconds{0});
        shares.push_back(share);
    }
    std::stable_sort(shares.begin(), shares.end(), [](const task_share& left, const task_share& right) {
        return left.total > right.total;
    });
    return shares;
}

} // namespace

std::optional<job_timeline> make_job_timeline(const std::string& job,
                                              const std::vector<recorded_span>& spans) {
    const span_index index{job, spans};
    if (index.empty()) {
        return std::nullopt;
    }
    const critical_path path = find_critical_path(index);
    const span_pointer outermost =
        *std::find_if(path.begin(), path.end(), [](span_pointer item) { return item != nullptr; });
    job_timeline timeline;
    timeline.job = job;
    timeline.trace = to_hex(outermost->span.context.trace);
    timeline.outcome = outermost->span.outcome;
    timeline.call_count = index.of_hop(trace_hop::entry).size();
    timeline.total = outermost->span.duration;
    timeline.hops = make_hop_shares(index, path);
    timeline.tasks = make_task_shares(index);
    return timeline;
}

} // namespace persimmonstile

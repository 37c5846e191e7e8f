#include "cli/load_history.h"

#include <optional>
#include <string_view>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

// A refusal within this time counts as one on arrival. It allows for one planning pass of a busy entry.
constexpr std::int64_t arrival_us = 10'000;

constexpr double millicore_ms_per_core_second = 1e6;

std::string text_of(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

std::int64_t number_of(const json& object, const char* name) {
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : 0;
}

// Nothing if the line does not tell the end of a job.
std::optional<job_outcome_kind> outcome_of(std::string_view message, const json& fields) {
    if (message == "job ended") {
        const std::string state = text_of(fields, "state");
        if (state == "cancelled")
            return job_outcome_kind::aborted;
        return state == "failed" ? job_outcome_kind::failed : job_outcome_kind::in_time;
    }
    if (message == "job ended late")
        return job_outcome_kind::late;
    if (message == "job failed")
        return job_outcome_kind::failed;
    if (message.starts_with("refused a job"))
        return number_of(fields, "total_us") <= arrival_us ? job_outcome_kind::refused_on_arrival
                                                           : job_outcome_kind::refused_later;
    if (message == "dropped a job whose callers have left")
        return job_outcome_kind::caller_left;
    if (message.starts_with("aborted a job"))
        return job_outcome_kind::aborted;
    return std::nullopt;
}

std::string size_class(std::int64_t tasks) {
    if (tasks <= 0)
        return "unknown";
    if (tasks <= 2)
        return "1-2";
    if (tasks <= 4)
        return "3-4";
    if (tasks <= 8)
        return "5-8";
    return tasks <= 16 ? "9-16" : "17 or more";
}

} // namespace

void load_history::add(const json& line) {
    const std::string message = text_of(line, "message");
    const std::string process = text_of(line, "process");
    const auto found = line.find("fields");
    const json fields = found != line.end() && found->is_object() ? *found : json::object();
    if (const std::int64_t suppressed = number_of(line, "suppressed"); suppressed > 0)
        suppressed_lines_[process] += static_cast<std::uint64_t>(suppressed);
    if (message == "entry started" || message == "agent started") {
        zones_[process] = text_of(fields, "zone");
    } else if (message == "tasks wait for capacity") {
        capacity_.idle_while_waiting[process] +=
            static_cast<double>(number_of(fields, "free_millicores") * number_of(fields, "interval_ms")) /
            millicore_ms_per_core_second;
    } else if (message == "run ended without a result") {
        const double used =
            static_cast<double>(number_of(fields, "millicore_ms")) / millicore_ms_per_core_second;
        capacity_.discarded += used;
        capacity_.discarded_runs += used > 0 ? 1 : 0;
    } else if (text_of(line, "component") == "entry" && fields.contains("job")) {
        add_job_line(message, process, fields);
    }
}

void load_history::add_job_line(const std::string& message, const std::string& process, const json& fields) {
    capacity_.off_rack +=
        static_cast<double>(number_of(fields, "off_rack_millicore_ms")) / millicore_ms_per_core_second;
    const std::optional<job_outcome_kind> outcome = outcome_of(message, fields);
    if (message != "accepted a job" && !outcome)
        return;
    job_history& job = jobs_[{process, text_of(fields, "job")}];
    job.entry = process;
    if (const std::string queue = text_of(fields, "queue"); !queue.empty())
        job.queue = queue;
    if (const std::int64_t tasks = number_of(fields, "tasks"); tasks > 0)
        job.tasks = tasks;
    if (outcome)
        job.outcome = *outcome;
}

std::string load_history::group_of(const job_history& job, const std::string& dimension) const {
    if (dimension == "queue")
        return job.queue;
    if (dimension == "size")
        return size_class(job.tasks);
    if (dimension == "entry")
        return job.entry;
    const auto zone = zones_.find(job.entry);
    return zone == zones_.end() ? "unknown" : zone->second;
}

std::map<std::string, load_history::outcome_counts>
load_history::group_by(const std::string& dimension) const {
    std::map<std::string, outcome_counts> groups;
    for (const auto& [id, job] : jobs_)
        ++groups[group_of(job, dimension)][static_cast<std::size_t>(job.outcome)];
    return groups;
}

} // namespace persimmonstile

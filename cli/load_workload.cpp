#include "cli/load_workload.h"

#include "state/limits.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <optional>
#include <random>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using json = nlohmann::json;
using random_engine = std::mt19937_64;

constexpr std::int64_t longest_run_ms = 3600000;
constexpr std::int64_t largest_burst = 100000;
constexpr double largest_weight = 1e6;

// Reads members of a JSON document and collects what is wrong with them.
class workload_reader {
public:
    std::variant<workload, workload_findings> read(const json& document) {
        workload result;
        result.service = text(document, "", "service");
        if (document.contains("arrivals")) {
            result.burst_size = read_arrivals(document.at("arrivals"));
        }
        const json& calls = array(document, "", "calls");
        for (std::size_t i = 0; i < calls.size(); ++i) {
            result.kinds.push_back(read_kind(calls[i], "/calls/" + std::to_string(i)));
        }
        if (!findings_.empty()) {
            return workload_findings{findings_};
        }
        return result;
    }

private:
    std::uint32_t read_arrivals(const json& arrivals) {
        const std::string process = text(arrivals, "/arrivals", "process");
        if (process == "bursts") {
            return static_cast<std::uint32_t>(integer(arrivals, "/arrivals", "burst_size", 1, largest_burst));
        }
        if (process != "poisson") {
            add("/arrivals/process", "expected \"poisson\" or \"bursts\"");
        }
        return 1;
    }

    call_kind read_kind(const json& call, const std::string& at) {
        call_kind kind;
        kind.name = text(call, at, "name");
        kind.weight = number(call, at, "weight", largest_weight);
        const std::string type = text(call, at, "kind");
        if (type == "request") {
            kind.method = text(call, at, "method");
        } else if (type != "job") {
            add(at + "/kind", "expected \"job\" or \"request\"");
        }
        const json& teams = array(call, at, "teams");
        for (std::size_t i = 0; i < teams.size(); ++i) {
            const std::string team_at = at + "/teams/" + std::to_string(i);
            kind.teams.push_back(
                {text(teams[i], team_at, "name"), number(teams[i], team_at, "weight", largest_weight)});
        }
        const auto [fewest, most] = range(call, at, "tasks", static_cast<std::int64_t>(max_tasks_per_job));
        kind.fewest_tasks = static_cast<std::uint32_t>(fewest);
        kind.most_tasks = static_cast<std::uint32_t>(most);
        if (type == "request" && most != 1) {
            add(at + "/tasks", "expected exactly one task in a request");
        }
        kind.run_time = read_run_time(call, at);
        if (call.is_object() && call.contains("deadline_ms")) {
            kind.deadline = std::chrono::milliseconds{integer(call, at, "deadline_ms", 1, longest_run_ms)};
        }
        return kind;
    }

    run_time_distribution read_run_time(const json& call, const std::string& at) {
        run_time_distribution result;
        const auto [shortest, longest] = range(call, at, "run_ms", longest_run_ms);
        result.shortest = std::chrono::milliseconds{shortest};
        result.longest = std::chrono::milliseconds{longest};
        const json run_time = call.is_object() ? call.value("run_ms", json::object()) : json::object();
        if (run_time.is_object() && run_time.contains("long")) {
            const auto [long_shortest, long_longest] =
                range(run_time, at + "/run_ms", "long", longest_run_ms);
            result.long_share = number(run_time.at("long"), at + "/run_ms/long", "share", 1.0);
            result.long_shortest = std::chrono::milliseconds{long_shortest};
            result.long_longest = std::chrono::milliseconds{long_longest};
        }
        return result;
    }

    std::pair<std::int64_t, std::int64_t> range(const json& parent, const std::string& at,
                                                const std::string& key, std::int64_t upper) {
        const std::string place = at + "/" + key;
        const json value = parent.is_object() ? parent.value(key, json{}) : json{};
        const std::int64_t least = integer(value, place, "min", 1, upper);
        const std::int64_t greatest = integer(value, place, "max", 1, upper);
        if (least > greatest) {
            add(place, "expected min not above max");
        }
        return {least, greatest};
    }

    std::string text(const json& parent, const std::string& at, const std::string& key) {
        if (parent.is_object() && parent.contains(key) && parent.at(key).is_string()) {
            return parent.at(key).get<std::string>();
        }
        add(at + "/" + key, "expected a string");
        return "";
    }

    double number(const json& parent, const std::string& at, const std::string& key, double upper) {
        if (parent.is_object() && parent.contains(key) && parent.at(key).is_number()) {
            const double value = parent.at(key).get<double>();
            if (value > 0 && value <= upper) {
                return value;
            }
        }
        add(at + "/" + key, "expected a number above 0 and up to " + json(upper).dump());
        return 1;
    }

    std::int64_t integer(const json& parent, const std::string& at, const std::string& key,
                         std::int64_t lower, std::int64_t upper) {
        if (parent.is_object() && parent.contains(key) && parent.at(key).is_number_integer()) {
            const std::int64_t value = parent.at(key).get<std::int64_t>();
            if (value >= lower && value <= upper) {
                return value;
            }
        }
        add(at + "/" + key,
            "expected an integer from " + std::to_string(lower) + " to " + std::to_string(upper));
        return lower;
    }

    const json& array(const json& parent, const std::string& at, const std::string& key) {
        static const json empty = json::array();
        if (parent.is_object() && parent.contains(key) && parent.at(key).is_array() &&
            !parent.at(key).empty()) {
            return parent.at(key);
        }
        add(at + "/" + key, "expected an array with at least one element");
        return empty;
    }

    void add(const std::string& at, const std::string& expected) {
        findings_.push_back(at + ": " + expected);
    }

    std::vector<std::string> findings_;
};

// Uniform in [0, 1). Written out, because the results of the standard distributions differ between libraries.
double unit(random_engine& random) {
    constexpr double step = 1.0 / 9007199254740992.0;
    return static_cast<double>(random() >> 11U) * step;
}

double uniform(random_engine& random, double lower, double upper) {
    return lower + unit(random) * (upper - lower);
}

template <typename Weighted> std::size_t pick(random_engine& random, const std::vector<Weighted>& choices) {
    double total = 0;
    for (const Weighted& choice : choices) {
        total += choice.weight;
    }
    double left = unit(random) * total;
    for (std::size_t i = 0; i < choices.size(); ++i) {
        left -= choices[i].weight;
        if (left < 0) {
            return i;
        }
    }
    return choices.size() - 1;
}

std::chrono::milliseconds draw_run_time(random_engine& random, const run_time_distribution& times) {
    double drawn = 0;
    if (unit(random) < times.long_share) {
        drawn = uniform(random, static_cast<double>(times.long_shortest.count()),
                        static_cast<double>(times.long_longest.count()));
    } else {
        drawn = std::exp(uniform(random, std::log(static_cast<double>(times.shortest.count())),
                                 std::log(static_cast<double>(times.longest.count()))));
    }
    return std::chrono::milliseconds{std::llround(drawn)};
}

double mean_run_ms(const run_time_distribution& times) {
    const auto shortest = static_cast<double>(times.shortest.count());
    const auto longest = static_cast<double>(times.longest.count());
    const double usual = shortest == longest ? shortest : (longest - shortest) / std::log(longest / shortest);
    const double rare = static_cast<double>((times.long_shortest + times.long_longest).count()) / 2;
    return (1 - times.long_share) * usual + times.long_share * rare;
}

planned_call draw_call(random_engine& random, const workload& load, std::chrono::nanoseconds send_at) {
    planned_call call;
    call.send_at = send_at;
    call.kind = pick(random, load.kinds);
    const call_kind& kind = load.kinds[call.kind];
    call.team = kind.teams[pick(random, kind.teams)].name;
    const std::uint64_t tasks = kind.fewest_tasks + random() % (kind.most_tasks - kind.fewest_tasks + 1);
    for (std::uint64_t i = 0; i < tasks; ++i) {
        call.run_times.push_back(draw_run_time(random, kind.run_time));
    }
    return call;
}

} // namespace

std::variant<workload, workload_findings> parse_workload(const std::string& text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object()) {
        return workload_findings{{"/: expected a JSON object"}};
    }
    return workload_reader{}.read(document);
}

std::chrono::duration<double> mean_work(const workload& load) {
    double weights = 0;
    double work_ms = 0;
    for (const call_kind& kind : load.kinds) {
        const double tasks = (kind.fewest_tasks + kind.most_tasks) / 2.0;
        weights += kind.weight;
        work_ms += kind.weight * tasks * mean_run_ms(kind.run_time);
    }
    return std::chrono::duration<double, std::milli>{work_ms / weights};
}

std::vector<planned_call> plan_calls(const workload& load, double calls_per_second,
                                     std::chrono::seconds duration, std::uint64_t seed) {
    random_engine random{seed};
    std::vector<planned_call> calls;
    const double mean_gap = load.burst_size / calls_per_second;
    std::chrono::duration<double> now{0};
    while (true) {
        now += std::chrono::duration<double>{-std::log(1 - unit(random)) * mean_gap};
        if (now >= duration) {
            return calls;
        }
        const auto send_at = std::chrono::duration_cast<std::chrono::nanoseconds>(now);
        for (std::uint32_t i = 0; i < load.burst_size; ++i) {
            calls.push_back(draw_call(random, load, send_at));
        }
    }
}

} // namespace persimmonstile

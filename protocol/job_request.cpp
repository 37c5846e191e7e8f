#include "protocol/job_request.h"

#include "state/ids.h"
#include "state/limits.h"

#include <array>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

namespace persimmonstile {

namespace {

// A deadline beyond a day is a mistake in the unit.
constexpr std::int64_t max_deadline_ms = std::int64_t{24} * 3600 * 1000;

// The JSON library writes nested values by recursion, so that a deep document overflows the stack.
constexpr int max_depth = 128;

// A body as parsed. The value is incomplete if it is too deep.
struct parsed_body {
    nlohmann::json value;
    bool too_deep = false;
};

parsed_body parse_body(std::string_view text) {
    parsed_body result;
    const auto limit_depth = [&](int depth, nlohmann::json::parse_event_t, const nlohmann::json&) {
        result.too_deep = result.too_deep || depth > max_depth;
        return !result.too_deep;
    };
    result.value = nlohmann::json::parse(text, limit_depth, false);
    return result;
}

// Lower-case hexadecimal SHA-256.
std::string sha256(const std::string& text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        constexpr std::string_view digits = "0123456789abcdef";
        hex.push_back(digits[digest[i] >> 4U]);
        hex.push_back(digits[digest[i] & 15U]);
    }
    return hex;
}

// Reads typed members of a JSON object and collects what is wrong with them.
class body_reader {
public:
    explicit body_reader(std::string_view text) {
        parsed_body parsed = parse_body(text);
        if (parsed.too_deep) {
            add("", "at most " + std::to_string(max_depth) + " levels of nesting", "more levels");
            return;
        }
        body_ = std::move(parsed.value);
        if (body_.is_discarded())
            add("", "a JSON object", "malformed JSON");
        else if (!body_.is_object())
            add("", "a JSON object", body_.type_name());
    }

    bool usable() const { return body_.is_object(); }
    const nlohmann::json& body() const { return body_; }
    const request_findings& findings() const { return findings_; }

    void add(const std::string& pointer, const std::string& expected, const std::string& found) {
        findings_.push_back({pointer, expected, found});
    }

    void allow_only(const std::vector<std::string>& keys) {
        for (const auto& [key, value] : body_.items()) {
            bool known = false;
            for (const std::string& allowed : keys)
                known = known || allowed == key;
            if (!known)
                add("/" + key, "no such member", "unknown member");
        }
    }

    std::string text(const std::string& key, bool required) {
        if (!body_.contains(key)) {
            if (required)
                add("/" + key, "a non-empty string", "nothing");
            return {};
        }
        const nlohmann::json& value = body_.at(key);
        if (value.is_string() && !value.get_ref<const std::string&>().empty())
            return value.get<std::string>();
        add("/" + key, "a non-empty string", value.is_string() ? "an empty string" : value.type_name());
        return {};
    }

    std::int64_t deadline_ms() {
        if (!body_.contains("deadline_ms"))
            return 0;
        const nlohmann::json& value = body_.at("deadline_ms");
        const bool valid = value.is_number_integer() && value > 0 && value <= max_deadline_ms;
        if (valid)
            return value.get<std::int64_t>();
        add("/deadline_ms", "an integer from 1 to " + std::to_string(max_deadline_ms), value.dump());
        return 0;
    }

    std::vector<std::string> tasks() {
        std::vector<std::string> result;
        if (!body_.contains("tasks") || !body_.at("tasks").is_array()) {
            add("/tasks", "an array of tasks",
                body_.contains("tasks") ? body_.at("tasks").type_name() : "nothing");
            return result;
        }
        const nlohmann::json& list = body_.at("tasks");
        if (list.empty() || list.size() > max_tasks_per_job) {
            add("/tasks", "1 to " + std::to_string(max_tasks_per_job) + " tasks",
                std::to_string(list.size()) + " tasks");
            return result;
        }
        for (const nlohmann::json& task : list)
            result.push_back(task.dump());
        return result;
    }

private:
    nlohmann::json body_;
    request_findings findings_;
};

std::variant<job_spec, request_findings> finish(const body_reader& reader, job_spec spec) {
    if (!reader.findings().empty())
        return reader.findings();
    // Object members are sorted in nlohmann::json, so equal bodies have equal digests whatever their layout.
    spec.digest = sha256(reader.body().dump());
    return spec;
}

} // namespace

std::variant<job_spec, request_findings> parse_job_body(std::string_view body) {
    body_reader reader{body};
    if (!reader.usable())
        return reader.findings();
    job_spec spec;
    reader.allow_only({"service", "tasks", "team", "deadline_ms"});
    spec.service = reader.text("service", true);
    spec.team = reader.text("team", false);
    spec.deadline_ms = reader.deadline_ms();
    spec.tasks = reader.tasks();
    return finish(reader, std::move(spec));
}

std::variant<job_spec, request_findings> parse_request_body(std::string_view body) {
    body_reader reader{body};
    if (!reader.usable())
        return reader.findings();
    job_spec spec;
    reader.allow_only({"service", "method", "body", "team", "deadline_ms"});
    spec.service = reader.text("service", true);
    spec.method = reader.text("method", true);
    if (!spec.method.empty() && !is_valid_job_id(spec.method))
        reader.add("/method", "1 to " + std::to_string(max_job_id_length) + " of A-Z a-z 0-9 . _ -",
                   spec.method);
    spec.team = reader.text("team", false);
    spec.deadline_ms = reader.deadline_ms();
    if (!reader.body().contains("body"))
        reader.add("/body", "any JSON value", "nothing");
    if (!reader.findings().empty())
        return reader.findings();
    spec.tasks.push_back(reader.body().at("body").dump());
    return finish(reader, std::move(spec));
}

} // namespace persimmonstile

#pragma once

#include "state/ids.h"
#include "state/job_spec.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <tuple>

namespace persimmonstile {

// A submitted job that has passed the syntax checks. idempotent and default_deadline_ms come from the
// configuration.
struct validated_submission {
    job_id job;
    std::shared_ptr<const job_spec> spec;
    std::string traceparent;
    caller_token token = 0;
    bool is_idempotent = false;
    std::int64_t default_deadline_ms = 60000;

    std::chrono::milliseconds default_deadline() const {
        return std::chrono::milliseconds{default_deadline_ms};
    }

    static constexpr auto members() {
        return std::make_tuple(&validated_submission::job, &validated_submission::spec,
                               &validated_submission::traceparent, &validated_submission::token,
                               &validated_submission::is_idempotent,
                               &validated_submission::default_deadline_ms);
    }
};

} // namespace persimmonstile

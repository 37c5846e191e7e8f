#pragma once

#include <cstdint>
#include <set>

namespace persimmonstile {

// Computes the highest end number that may be acknowledged in one lifetime of a backend server. A backend
// server numbers ends from 1 and deletes all up to the acknowledged number, so a number may be acknowledged
// only if that end and all before it are recorded.
class end_acknowledger {
public:
    // Records that the backend server listed this end. All ends before the first listed one are already
    // acknowledged.
    void listed(std::uint64_t number) {
        if (!has_listed_) {
            has_listed_ = true;
            max_acknowledgeable_ = number - 1;
            advance();
        }
    }

    void mark_recorded(std::uint64_t number) {
        if (number <= max_acknowledgeable_)
            return;
        recorded_.insert(number);
        advance();
    }

    bool is_recorded(std::uint64_t number) const {
        return number <= max_acknowledgeable_ || recorded_.contains(number);
    }

    std::uint64_t max_acknowledgeable() const { return max_acknowledgeable_; }

private:
    void advance() {
        while (!recorded_.empty() && *recorded_.begin() <= max_acknowledgeable_ + 1) {
            max_acknowledgeable_ = std::max(max_acknowledgeable_, *recorded_.begin());
            recorded_.erase(recorded_.begin());
        }
    }

    // Recorded ends above the first number that is not yet recorded.
    std::set<std::uint64_t> recorded_;
    std::uint64_t max_acknowledgeable_ = 0;
    bool has_listed_ = false;
};

} // namespace persimmonstile

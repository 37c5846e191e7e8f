#pragma once

#include "state/store_call.h"
#include "state/store_reply.h"
#include "state/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonstile {

// Keeps a local copy of all keys with one prefix and updates it from a watch. A newer revision is never
// replaced by an older one. Deterministic and without I/O.
class prefix_view {
public:
    struct call {
        std::uint64_t id = 0;
        store_call what;
        milliseconds timeout{0};
    };

    // watch_duration is how long the store keeps a watch open. A dead connection is detected soon after that
    // time.
    prefix_view(std::string prefix, milliseconds watch_duration);

    // Returns the store calls to make now.
    std::vector<call> take_calls(time_point now);
    void replied(std::uint64_t id, const store_reply& reply, time_point now);
    // Reports that another process has seen a change at this revision. If the watch does not deliver it soon,
    // the keys are listed again.
    void expect(std::uint64_t revision, time_point now);
    std::optional<time_point> next_wakeup() const;

    const std::map<std::string, store_item>& items() const { return items_; }
    // Store revision that the items reflect.
    std::uint64_t revision() const { return revision_; }
    // Store revision of the last change of the items.
    std::uint64_t change_revision() const { return change_revision_; }
    // Returns true once after each change of the items, including the first listing.
    bool take_change();
    // True after the first complete listing.
    bool is_known() const { return has_been_listed_; }
    // Sending time of the last call whose reply confirmed that the items are current.
    time_point confirmed() const { return confirmed_at_; }

private:
    void process_page(const item_listing& page, time_point now);
    void apply_listing();
    void apply(const store_item& item);

    std::string prefix_;
    milliseconds watch_duration_;
    std::map<std::string, store_item> items_;
    std::vector<store_item> listing_;
    // Last key of the pages received so far; empty if no listing is in progress.
    std::string listing_after_;
    std::uint64_t listing_revision_ = 0;
    std::uint64_t revision_ = 0;
    std::uint64_t change_revision_ = 0;
    std::uint64_t expected_revision_ = 0;
    time_point expected_since_{};
    // Added to watch_duration_ to get the timeout of a watch call.
    milliseconds timeout_margin_;
    // The items can be updated from a watch; otherwise they must be listed first.
    bool is_listing_current_ = false;
    bool has_been_listed_ = false;
    bool has_changed_ = false;
    std::uint64_t last_id_ = 0;
    // Id of the call in flight; 0 if there is none.
    std::uint64_t call_in_flight_ = 0;
    time_point call_sent_at_{};
    time_point backoff_until_{};
    time_point confirmed_at_{};
};

} // namespace persimmonstile

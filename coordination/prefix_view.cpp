#include "coordination/prefix_view.h"

#include <algorithm>
#include <utility>

namespace persimmonstile {

namespace {

// A listing is answered quickly unless the store is slow.
constexpr milliseconds list_timeout{600};
// Bounds of timeout_margin_, which allows for network delay and a slow store. It doubles after each failure,
// because the process may be too busy to read its replies in time, and returns to the minimum after a reply.
constexpr milliseconds min_timeout_margin{400};
constexpr milliseconds max_timeout_margin{2000};
// If the watch does not deliver a change that another process has seen within this time, it counts as lost.
constexpr milliseconds expectation_timeout{150};
constexpr milliseconds failure_backoff{60};

} // namespace

prefix_view::prefix_view(std::string prefix, milliseconds watch_duration)
    : prefix_{std::move(prefix)}
    , watch_duration_{watch_duration}
    , timeout_margin_{min_timeout_margin} {}

std::vector<prefix_view::call> prefix_view::take_calls(time_point now) {
    std::vector<call> calls;
    if (expected_revision_ > revision_ && now - expected_since_ >= expectation_timeout &&
        is_listing_current_) {
        is_listing_current_ = false;
        listing_after_.clear();
        call_in_flight_ = 0;
    }
    if (call_in_flight_ != 0 || now < backoff_until_)
        return calls;
    call_in_flight_ = ++last_id_;
    call_sent_at_ = now;
    if (is_listing_current_)
        calls.push_back({last_id_, store_watch{prefix_, revision_, watch_duration_.count()},
                         watch_duration_ + timeout_margin_});
    else
        calls.push_back({last_id_, store_list{prefix_, listing_after_}, list_timeout});
    return calls;
}

void prefix_view::replied(std::uint64_t id, const store_reply& reply, time_point now) {
    if (id != call_in_flight_)
        return;
    call_in_flight_ = 0;
    if (std::holds_alternative<store_failure>(reply)) {
        backoff_until_ = now + failure_backoff;
        timeout_margin_ = std::min(timeout_margin_ * 2, max_timeout_margin);
        return;
    }
    timeout_margin_ = min_timeout_margin;
    if (std::holds_alternative<history_lost>(reply)) {
        is_listing_current_ = false;
        return;
    }
    if (const auto* page = std::get_if<item_listing>(&reply)) {
        process_page(*page, now);
        return;
    }
    if (const auto* changes = std::get_if<item_changes>(&reply)) {
        for (const store_item& item : changes->items)
            apply(item);
        revision_ = std::max(revision_, changes->revision);
        if (!changes->items.empty()) {
            has_changed_ = true;
            change_revision_ = revision_;
        }
        confirmed_at_ = call_sent_at_;
    }
}

void prefix_view::process_page(const item_listing& page, time_point) {
    if (listing_after_.empty()) {
        listing_.clear();
        listing_revision_ = page.revision;
    }
    listing_.insert(listing_.end(), page.items.begin(), page.items.end());
    if (page.has_more && !page.items.empty()) {
        listing_after_ = page.items.back().key;
        return;
    }
    listing_after_.clear();
    // A listing that is older than the items must not undo their changes.
    if (listing_revision_ < revision_)
        return;
    apply_listing();
    revision_ = listing_revision_;
    is_listing_current_ = true;
    has_been_listed_ = true;
    confirmed_at_ = call_sent_at_;
}

// The revision of the listing is that of the whole store. It does not show when these items changed; it only
// shows that an item missing from the listing was removed before that revision.
void prefix_view::apply_listing() {
    std::map<std::string, store_item> items;
    std::uint64_t changed = 0;
    std::size_t retained_items = 0;
    for (const store_item& item : listing_) {
        const auto known = items_.find(item.key);
        const bool is_same = known != items_.end() && known->second.revision == item.revision;
        retained_items += known != items_.end() ? 1 : 0;
        if (!is_same)
            changed = std::max(changed, item.revision);
        items[item.key] = item;
    }
    if (retained_items < items_.size())
        changed = listing_revision_;
    listing_.clear();
    items_ = std::move(items);
    has_changed_ = has_changed_ || changed != 0 || !has_been_listed_;
    change_revision_ = std::max(change_revision_, changed);
}

void prefix_view::apply(const store_item& item) {
    if (item.revision == 0) {
        items_.erase(item.key);
        return;
    }
    store_item& known = items_[item.key];
    if (item.revision >= known.revision)
        known = item;
}

void prefix_view::expect(std::uint64_t revision, time_point now) {
    if (revision <= expected_revision_ || revision <= revision_)
        return;
    expected_revision_ = revision;
    expected_since_ = now;
}

std::optional<time_point> prefix_view::next_wakeup() const {
    if (expected_revision_ > revision_ && is_listing_current_)
        return expected_since_ + expectation_timeout;
    if (call_in_flight_ != 0)
        return std::nullopt;
    return backoff_until_;
}

bool prefix_view::take_change() {
    return std::exchange(has_changed_, false);
}

} // namespace persimmonstile

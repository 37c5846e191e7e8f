#pragma once

#include "standins/store_counts.h"
#include "standins/store_faults.h"
#include "standins/store_limits.h"

#include <cstdint>
#include <memory>
#include <string>

namespace persimmonstile {

class clock_source;

struct store_standin_options {
    // 0 lets the system choose.
    std::uint16_t port = 0;
    store_faults faults;
    store_limits limits;
};

// A server on 127.0.0.1 that speaks the subset of the etcd v3 JSON gateway that the project uses, and shows
// the store's faults on demand. Beside the gateway's paths it serves:
//   POST /control/faults {"delay_ms", "outage": "no"|"refuse"|"silent", "lose_answers", "stale_reads"}
//        replaces all faults; fields that are left out are off
//   POST /control/lapse_lease {"ID"}   ends a lease, or all of them without an ID
//   GET  /control/counts               calls by kind
// All members may be called from any thread.
class store_standin {
public:
    // Throws if the port is taken. The clock outlives the stand-in.
    store_standin(store_standin_options options, const clock_source& clock);
    ~store_standin();
    store_standin(const store_standin&) = delete;
    store_standin& operator=(const store_standin&) = delete;

    std::uint16_t port() const;
    // Base URL for a client.
    std::string url() const;

    void set_faults(const store_faults& faults);
    store_counts counts() const;
    void lapse_all_leases();

private:
    class server;
    std::unique_ptr<server> server_;
};

} // namespace persimmonstile

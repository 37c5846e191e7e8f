#pragma once

#include "state/incarnation.h"

#include <string>
#include <tuple>

namespace persimmonstile {

// Identity and address of an entry: its first message on a connection to another entry, and its reply to an
// agent_status.
struct entry_hello {
    incarnation entry;
    std::string address;

    static constexpr auto members() { return std::make_tuple(&entry_hello::entry, &entry_hello::address); }
};

} // namespace persimmonstile

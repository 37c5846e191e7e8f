#pragma once

#include "cli/parsed_arguments.h"
#include "coordination/key_value_store.h"
#include "transport/etcd_store.h"

#include <memory>
#include <string>

namespace persimmonstile {

class clock_source;

// Adds --store, --cell, --store-timeout-ms and --json.
void add_store_options(cxxopts::Options& options);

// Fails with a usage error if --store is missing.
std::optional<int> check_store_options(const cxxopts::Options& options, const parsed_arguments& line,
                                       command_output output);

std::unique_ptr<etcd_store> open_store(const parsed_arguments& line, const clock_source& clock);

// Random text that identifies one attempt to change something.
std::string new_operation_id();

// Who runs the command, for the audit record: host name and process id.
std::string writer_name();

} // namespace persimmonstile

#include "protocol/owner_table_json.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace persimmonstile {

namespace {

using nlohmann::json;

// Collects errors, so that one pass over the document reports all of them.
class table_reader {
public:
    const std::string& errors() const { return errors_; }

    std::uint64_t number(const json& object, const char* name, const std::string& path) {
        const json* const value = member(object, name, path);
        if (value == nullptr)
            return 0;
        if (value->is_number_unsigned())
            return value->get<std::uint64_t>();
        add(path + "/" + name, "expected a non-negative integer, found " + std::string{value->type_name()});
        return 0;
    }

    std::string text(const json& object, const char* name, const std::string& path) {
        const json* const value = member(object, name, path);
        if (value == nullptr)
            return {};
        return text_of(*value, path + "/" + name);
    }

    std::string text_of(const json& value, const std::string& path) {
        if (value.is_string())
            return value.get<std::string>();
        add(path, "expected a string, found " + std::string{value.type_name()});
        return {};
    }

    const json& list(const json& object, const char* name, const std::string& path) {
        static const json empty = json::array();
        const json* const value = member(object, name, path);
        if (value == nullptr)
            return empty;
        if (value->is_array())
            return *value;
        add(path + "/" + name, "expected an array, found " + std::string{value->type_name()});
        return empty;
    }

    incarnation run_of(const json& object, const char* name, const std::string& path) {
        const json* const value = member(object, name, path);
        if (value == nullptr)
            return {};
        const std::string inner = path + "/" + name;
        incarnation result;
        result.name = text(*value, "name", inner);
        result.number = number(*value, "number", inner);
        return result;
    }

    void add(const std::string& path, const std::string& detail) {
        if (!errors_.empty())
            errors_ += "; ";
        errors_ += path + ": " + detail;
    }

private:
    const json* member(const json& object, const char* name, const std::string& path) {
        if (!object.is_object()) {
            add(path, "expected an object, found " + std::string{object.type_name()});
            return nullptr;
        }
        const auto found = object.find(name);
        if (found == object.end()) {
            add(path + "/" + name, "missing");
            return nullptr;
        }
        return &*found;
    }

    std::string errors_;
};

json to_json(const incarnation& value) {
    return {{"name", value.name}, {"number", value.number}};
}

json partitions_json(const owner_table& table) {
    json list = json::array();
    for (const partition_owner& partition : table.partitions)
        list.push_back({{"owner", to_json(partition.owner)}, {"epoch", partition.epoch}});
    return list;
}

json entries_json(const owner_table& table) {
    json list = json::array();
    for (const entry_address& address : table.entries)
        list.push_back({{"entry", to_json(address.entry)}, {"address", address.address}});
    return list;
}

void read_partitions(const json& document, table_reader& reader, owner_table& table) {
    const json& list = reader.list(document, "partitions", "");
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = "/partitions/" + std::to_string(i);
        partition_owner partition;
        partition.owner = reader.run_of(list[i], "owner", path);
        partition.epoch = reader.number(list[i], "epoch", path);
        table.partitions.push_back(partition);
    }
}

void read_entries(const json& document, table_reader& reader, owner_table& table) {
    const json& list = reader.list(document, "entries", "");
    for (std::size_t i = 0; i < list.size(); ++i) {
        const std::string path = "/entries/" + std::to_string(i);
        entry_address address;
        address.entry = reader.run_of(list[i], "entry", path);
        address.address = reader.text(list[i], "address", path);
        table.entries.push_back(address);
    }
}

void read_grantors(const json& document, table_reader& reader, owner_table& table) {
    const json& list = reader.list(document, "grantors", "");
    for (std::size_t i = 0; i < list.size(); ++i)
        table.grantors.push_back(reader.text_of(list[i], "/grantors/" + std::to_string(i)));
}

// Rules of the type that hold beyond the shape of the document.
void check_consistency(const owner_table& table, table_reader& reader) {
    if (table.version != 0 && table.partitions.size() != partition_count)
        reader.add("/partitions", "expected " + std::to_string(partition_count) + " elements, found " +
                                      std::to_string(table.partitions.size()));
}

} // namespace

std::string encode_owner_table(const owner_table& table) {
    const json document = {{"version", table.version},       {"partitions", partitions_json(table)},
                           {"entries", entries_json(table)}, {"grantors", table.grantors},
                           {"writer", table.writer},         {"operation_id", table.operation_id}};
    return document.dump();
}

std::variant<owner_table, decode_error> decode_owner_table(std::string_view content) {
    const json document = json::parse(content, nullptr, false);
    if (document.is_discarded())
        return decode_error{"the owner table is not valid JSON"};
    table_reader reader;
    owner_table table;
    table.version = reader.number(document, "version", "");
    read_partitions(document, reader, table);
    read_entries(document, reader, table);
    read_grantors(document, reader, table);
    table.writer = reader.text(document, "writer", "");
    table.operation_id = reader.text(document, "operation_id", "");
    if (reader.errors().empty())
        check_consistency(table, reader);
    if (!reader.errors().empty())
        return decode_error{reader.errors()};
    return table;
}

} // namespace persimmonstile

#pragma once

#include "protocol/msgpack_adaptor.h"

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include <nlohmann/json.hpp>

namespace persimmonstile {

// JSON form of structures with members(): an array of their fields, as in their MessagePack form.
// Reading throws nlohmann::json::exception on a type that does not match.
template <typename T> nlohmann::json to_member_json(const T& value) {
    if constexpr (has_members<T>) {
        nlohmann::json array = nlohmann::json::array();
        std::apply([&](auto... member) { (array.push_back(to_member_json(value.*member)), ...); },
                   T::members());
        return array;
    } else if constexpr (std::is_enum_v<T>) {
        return static_cast<std::uint32_t>(value);
    } else {
        return value;
    }
}

template <typename T> nlohmann::json to_member_json(const std::vector<T>& values) {
    nlohmann::json array = nlohmann::json::array();
    for (const T& value : values)
        array.push_back(to_member_json(value));
    return array;
}

template <typename T> void from_member_json(const nlohmann::json& json, T& value) {
    if constexpr (has_members<T>) {
        std::size_t next = 0;
        [[maybe_unused]] const auto read = [&](auto member) {
            if (next < json.size())
                from_member_json(json.at(next), value.*member);
            ++next;
        };
        std::apply([&](auto... member) { (read(member), ...); }, T::members());
    } else if constexpr (std::is_enum_v<T>) {
        value = static_cast<T>(json.get<std::uint32_t>());
    } else {
        value = json.get<T>();
    }
}

template <typename T> void from_member_json(const nlohmann::json& json, std::vector<T>& values) {
    values.clear();
    for (const nlohmann::json& element : json) {
        T value{};
        from_member_json(element, value);
        values.push_back(std::move(value));
    }
}

} // namespace persimmonstile

#pragma once

#include "protocol/msgpack_adaptor.h"

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <type_traits>
#include <variant>
#include <vector>

#include <nlohmann/json.hpp>

namespace persimmonstile {

// Declared first, because structures contain vectors and variants of structures.
template <typename T> nlohmann::json to_member_json(const T& value);
template <typename T> nlohmann::json to_member_json(const std::vector<T>& values);
template <typename T> nlohmann::json to_member_json(const std::shared_ptr<const T>& value);
template <typename... Ts> nlohmann::json to_member_json(const std::variant<Ts...>& value);
template <typename T> void from_member_json(const nlohmann::json& json, T& value);
template <typename T> void from_member_json(const nlohmann::json& json, std::vector<T>& values);
template <typename T> void from_member_json(const nlohmann::json& json, std::shared_ptr<const T>& value);
template <typename... Ts> void from_member_json(const nlohmann::json& json, std::variant<Ts...>& value);

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

template <typename T> nlohmann::json to_member_json(const std::shared_ptr<const T>& value) {
    return to_member_json(*value);
}

// A variant is an array of the alternative's position and its value.
template <typename... Ts> nlohmann::json to_member_json(const std::variant<Ts...>& value) {
    nlohmann::json array = nlohmann::json::array();
    array.push_back(value.index());
    std::visit([&](const auto& alternative) { array.push_back(to_member_json(alternative)); }, value);
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

template <typename T> void from_member_json(const nlohmann::json& json, std::shared_ptr<const T>& value) {
    auto read = std::make_shared<T>();
    from_member_json(json, *read);
    value = std::move(read);
}

namespace detail {

template <typename Variant, std::size_t... Is>
bool emplace_alternative(const nlohmann::json& json, Variant& value, std::size_t index,
                         std::index_sequence<Is...>) {
    return ((index == Is && (from_member_json(json, value.template emplace<Is>()), true)) || ...);
}

} // namespace detail

// Throws std::out_of_range if the position names no alternative.
template <typename... Ts> void from_member_json(const nlohmann::json& json, std::variant<Ts...>& value) {
    const auto index = json.at(0).get<std::size_t>();
    if (!detail::emplace_alternative(json.at(1), value, index, std::index_sequence_for<Ts...>{}))
        throw std::out_of_range{"unknown alternative " + std::to_string(index)};
}

} // namespace persimmonstile

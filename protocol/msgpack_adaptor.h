#pragma once

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

#include <msgpack.hpp>

namespace persimmonstile {

// A type that lists its fields in a static members() function, in the order of the wire format.
template <typename T>
concept has_members = requires {
    T::members();
};

template <has_members T> constexpr std::size_t member_count = std::tuple_size_v<decltype(T::members())>;

} // namespace persimmonstile

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    // Structures are arrays of their fields. Missing fields at the end keep their defaults and surplus ones
    // are ignored, so that neighbouring versions understand each other.
    template <typename T> struct pack<T, std::enable_if_t<persimmonstile::has_members<T>>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, const T& value) const {
            out.pack_array(static_cast<std::uint32_t>(persimmonstile::member_count<T>));
            std::apply([&](auto... member) { (out.pack(value.*member), ...); }, T::members());
            return out;
        }
    };

    template <typename T> struct convert<T, std::enable_if_t<persimmonstile::has_members<T>>> {
        const msgpack::object& operator()(const msgpack::object& in, T& value) const {
            if (in.type != msgpack::type::ARRAY)
                throw msgpack::type_error();
            std::uint32_t next = 0;
            [[maybe_unused]] const auto read = [&](auto member) {
                if (next < in.via.array.size)
                    in.via.array.ptr[next].convert(value.*member);
                ++next;
            };
            std::apply([&](auto... member) { (read(member), ...); }, T::members());
            return in;
        }
    };

    // Enumerations travel as their underlying numbers.
    template <typename T> struct pack<T, std::enable_if_t<std::is_enum_v<T>>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out, T value) const {
            return out.pack(static_cast<std::uint32_t>(value));
        }
    };

    template <typename T> struct convert<T, std::enable_if_t<std::is_enum_v<T>>> {
        const msgpack::object& operator()(const msgpack::object& in, T& value) const {
            value = static_cast<T>(in.as<std::uint32_t>());
            return in;
        }
    };

    // A variant is an array of the alternative's position and its value.
    template <typename... Ts> struct pack<std::variant<Ts...>> {
        template <typename Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& out,
                                            const std::variant<Ts...>& value) const {
            out.pack_array(2);
            out.pack(static_cast<std::uint32_t>(value.index()));
            std::visit([&](const auto& alternative) { out.pack(alternative); }, value);
            return out;
        }
    };

    template <typename... Ts> struct convert<std::variant<Ts...>> {
        const msgpack::object& operator()(const msgpack::object& in, std::variant<Ts...>& value) const {
            if (in.type != msgpack::type::ARRAY || in.via.array.size != 2)
                throw msgpack::type_error();
            const auto index = in.via.array.ptr[0].as<std::uint32_t>();
            if (!emplace(index, in.via.array.ptr[1], value, std::index_sequence_for<Ts...>{}))
                throw msgpack::type_error();
            return in;
        }

    private:
        template <std::size_t... Is>
        static bool emplace(std::size_t index, const msgpack::object& in, std::variant<Ts...>& value,
                            std::index_sequence<Is...>) {
            return ((index == Is && (in.convert(value.template emplace<Is>()), true)) || ...);
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

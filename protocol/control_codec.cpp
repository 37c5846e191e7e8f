#include "protocol/control_codec.h"

#include "protocol/jsonrpc_client.h"
#include "protocol/member_json.h"
#include "protocol/msgpack_adaptor.h"
#include "protocol/unpack_limits.h"

#include <array>
#include <optional>
#include <string>
#include <utility>

#include <json/json.h>
#include <jsonrpccpp/server.h>

namespace persimmonstile {

namespace {

constexpr const char* message_parameter = "message";

// Method names, in the order of the alternatives of control_message.
constexpr std::array<const char*, std::variant_size_v<control_message>> method_names{
    "agent_status",     "entry_hello",    "grant_request", "grant_reply", "table_push",
    "table_ack",        "get_content",    "config_push",   "view_ping",   "view_pong",
    "recovery_request", "recovery_reply", "agent_parting"};

template <typename T>
constexpr bool is_periodic = std::is_same_v<T, grant_request> || std::is_same_v<T, grant_reply> ||
                             std::is_same_v<T, view_ping> || std::is_same_v<T, view_pong>;

template <std::size_t... Is>
control_message decode_alternative(std::size_t index, const nlohmann::json& json,
                                   std::index_sequence<Is...>) {
    control_message message;
    ((index == Is && (from_member_json(json, message.emplace<Is>()), true)) || ...);
    return message;
}

std::variant<control_message, decode_error> decode_periodic(std::string_view bytes) {
    try {
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, unpack_limits(bytes.size()));
        control_message message;
        handle.get().convert(message);
        return message;
    } catch (const msgpack::unpack_error& error) {
        return decode_error{std::string{"malformed MessagePack: "} + error.what()};
    } catch (const msgpack::type_error& error) {
        return decode_error{std::string{"unexpected MessagePack type: "} + error.what()};
    }
}

// Hands requests to the library's protocol handler; the transport is the caller's.
class frame_connector : public jsonrpc::AbstractServerConnector {
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string&, void*) override { return true; }

    std::string handle(const std::string& request) {
        std::string response;
        GetHandler()->HandleRequest(request, response);
        return response;
    }
};

// Base class that makes the connector exist before the library's server base class uses it.
struct connector_holder {
    frame_connector connector_;
};

} // namespace

// The library parses and checks the notification and calls take with its parameter.
class control_decoder::rpc_server : private connector_holder,
                                    public jsonrpc::AbstractServer<control_decoder::rpc_server> {
public:
    rpc_server()
        : AbstractServer{connector_} {
        add_methods(std::make_index_sequence<std::variant_size_v<control_message>>{});
    }

    std::variant<control_message, decode_error> decode(std::string_view bytes) {
        received_.reset();
        error_.clear();
        try {
            const std::string response = connector_.handle(std::string{bytes});
            if (received_)
                return std::move(*received_);
            return decode_error{error_.empty() ? "not a known JSON-RPC notification: " + response : error_};
        } catch (const Json::Exception& error) {
            return decode_error{std::string{"malformed JSON: "} + error.what()};
        }
    }

private:
    template <std::size_t... Is> void add_methods(std::index_sequence<Is...>) { (add_method<Is>(), ...); }

    template <std::size_t I> void add_method() {
        const jsonrpc::Procedure procedure{method_names[I], jsonrpc::PARAMS_BY_NAME, message_parameter,
                                           jsonrpc::JSON_ARRAY, nullptr};
        bindAndAddNotification(procedure, &rpc_server::take<I>);
    }

    template <std::size_t I> void take(const Json::Value& parameters) {
        const Json::StreamWriterBuilder writer;
        const std::string text = Json::writeString(writer, parameters[message_parameter]);
        try {
            received_ = decode_alternative(I, nlohmann::json::parse(text),
                                           std::make_index_sequence<std::variant_size_v<control_message>>{});
        } catch (const nlohmann::json::exception& error) {
            error_ = std::string{method_names[I]} + ": " + error.what();
        }
    }

    std::optional<control_message> received_;
    std::string error_;
};

control_decoder::control_decoder()
    : server_{std::make_unique<rpc_server>()} {}

control_decoder::~control_decoder() = default;

encoded_frame encode_control_message(const control_message& message) {
    return std::visit(
        [&](const auto& alternative) -> encoded_frame {
            using type = std::decay_t<decltype(alternative)>;
            if constexpr (is_periodic<type>) {
                msgpack::sbuffer buffer;
                msgpack::pack(buffer, message);
                return {frame_kind::periodic, std::string{buffer.data(), buffer.size()}};
            } else {
                nlohmann::json params;
                params[message_parameter] = to_member_json(alternative);
                return {frame_kind::rpc, build_notification(method_names[message.index()], params.dump())};
            }
        },
        message);
}

std::variant<control_message, decode_error> control_decoder::decode(frame_kind kind, std::string_view bytes) {
    return kind == frame_kind::periodic ? decode_periodic(bytes) : server_->decode(bytes);
}

} // namespace persimmonstile

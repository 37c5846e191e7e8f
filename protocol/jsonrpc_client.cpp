#include "protocol/jsonrpc_client.h"

#include <memory>

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace persimmonstile {

namespace {

// Keeps the message that the library wants to send, so that it can go out on a connection of our own.
class capturing_connector : public jsonrpc::IClientConnector {
public:
    void SendRPCMessage(const std::string& message, std::string&) throw(jsonrpc::JsonRpcException) override {
        captured_ = message;
    }

    const std::string& captured() const { return captured_; }

private:
    std::string captured_;
};

} // namespace

std::string build_notification(const std::string& method, const std::string& params_json) {
    Json::Value params;
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader{builder.newCharReader()};
    std::string errors;
    reader->parse(params_json.data(), params_json.data() + params_json.size(), &params, &errors);
    capturing_connector connector;
    jsonrpc::Client client{connector};
    client.CallNotification(method, params);
    return connector.captured();
}

} // namespace persimmonstile

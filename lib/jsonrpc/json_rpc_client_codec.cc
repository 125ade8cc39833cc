/// \file
/// \brief The client half of the JSON-RPC codec.
///
/// libjsonrpccpp encodes, sends and decodes in one blocking call. Here its
/// connector only records the request, or replays a response that has already
/// arrived, so that the transport between the two stays asynchronous.

#include <json/json.h>
#include <jsonrpccpp/client.h>

#include "yuccamoor/transport/json_rpc.h"

namespace yuccamoor {
namespace {

/// Keeps the encoded request.
class RecordingConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    m_message = message;
    result = R"({"jsonrpc":"2.0","id":1,"result":null})";
  }

  const std::string& message() const { return m_message; }

 private:
  std::string m_message;
};

/// Answers with a given response.
class ReplayingConnector : public jsonrpc::IClientConnector {
 public:
  explicit ReplayingConnector(const std::string& response)
      : m_response(response) {}

  void SendRPCMessage(
      const std::string& /*message*/,
      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result = m_response;
  }

 private:
  const std::string& m_response;
};

}  // namespace

std::string EncodeJsonRpcRequest(const std::string& method,
                                 const std::string& parameters) {
  Json::Value value;
  if (!Json::Reader().parse(parameters, value) || !value.isObject()) {
    throw JsonRpcError("parameters of " + method + " are not a JSON object");
  }
  RecordingConnector connector;
  jsonrpc::Client client(connector);
  client.CallMethod(method, value);
  return connector.message();
}

std::string DecodeJsonRpcResponse(const std::string& response) {
  ReplayingConnector connector(response);
  jsonrpc::Client client(connector);
  try {
    const Json::Value result = client.CallMethod("", Json::Value());
    return Json::FastWriter().write(result);
  } catch (const jsonrpc::JsonRpcException& error) {
    throw JsonRpcError(error.what());
  }
}

}  // namespace yuccamoor

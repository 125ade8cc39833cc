/// \file
/// \brief The server half of the JSON-RPC codec.

#include <json/json.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <map>
#include <utility>

#include "yuccamoor/transport/json_rpc.h"

namespace yuccamoor {

class JsonRpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl()
      : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2, *this)) {}

  void AddMethod(const std::string& name, Method method) {
    m_handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_OBJECT, nullptr));
    m_methods[name] = std::move(method);
  }

  std::string Handle(const std::string& request) const {
    std::string response;
    m_handler->HandleRequest(request, response);
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const auto it = m_methods.find(procedure.GetProcedureName());
    if (it == m_methods.end()) return;
    try {
      const std::string result = it->second(Json::FastWriter().write(input));
      if (!Json::Reader().parse(result, output)) {
        throw JsonRpcError("the method's result is not JSON");
      }
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  std::map<std::string, Method> m_methods;
  std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
};

JsonRpcDispatcher::JsonRpcDispatcher() : m_impl(std::make_unique<Impl>()) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

void JsonRpcDispatcher::AddMethod(const std::string& name, Method method) {
  m_impl->AddMethod(name, std::move(method));
}

std::string JsonRpcDispatcher::Handle(const std::string& request) const {
  return m_impl->Handle(request);
}

}  // namespace yuccamoor

/// \file
/// \brief JSON-RPC 2.0 messages by libjsonrpccpp, apart from their transport.
/// This header builds as C++14 and shows nothing of that library.

#ifndef YUCCAMOOR_TRANSPORT_JSON_RPC_H_
#define YUCCAMOOR_TRANSPORT_JSON_RPC_H_

#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace yuccamoor {

/// A JSON-RPC message that is malformed or carries an error.
class JsonRpcError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// Returns the text of a JSON-RPC request. \p parameters is the text of a JSON
/// object. Throws JsonRpcError if it is not.
std::string EncodeJsonRpcRequest(const std::string& method,
                                 const std::string& parameters);

/// Returns the result of a JSON-RPC response as JSON text. Throws JsonRpcError
/// if the response is malformed or carries an error.
std::string DecodeJsonRpcResponse(const std::string& response);

/// Dispatches JSON-RPC requests to methods by name.
class JsonRpcDispatcher {
 public:
  /// Takes the parameters and returns the result, both as the text of a JSON
  /// object. An exception becomes an error response.
  using Method = std::function<std::string(const std::string& parameters)>;

  JsonRpcDispatcher();
  ~JsonRpcDispatcher();
  JsonRpcDispatcher(const JsonRpcDispatcher&) = delete;
  JsonRpcDispatcher& operator=(const JsonRpcDispatcher&) = delete;

  /// Adds a method. All methods are added before the first Handle.
  void AddMethod(const std::string& name, Method method);

  /// Returns the response to one request. Safe to use from several threads.
  std::string Handle(const std::string& request) const;

 private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_JSON_RPC_H_

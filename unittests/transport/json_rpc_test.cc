/// \file
/// \brief Tests of the JSON-RPC codec.

#include "yuccamoor/transport/json_rpc.h"

#include <catch2/catch.hpp>

namespace yuccamoor {

TEST_CASE("A call passes through both halves of the codec", "[json_rpc]") {
  JsonRpcDispatcher dispatcher;
  dispatcher.AddMethod("echo", [](const std::string& text) { return text; });
  const std::string request = EncodeJsonRpcRequest("echo", R"({"a":1})");
  const std::string response = dispatcher.Handle(request);
  CHECK(DecodeJsonRpcResponse(response) == "{\"a\":1}\n");
}

TEST_CASE("Errors come back as errors", "[json_rpc]") {
  JsonRpcDispatcher dispatcher;
  dispatcher.AddMethod("fail", [](const std::string&) -> std::string {
    throw std::runtime_error("no such lease");
  });
  for (const char* method : {"fail", "missing"}) {
    const std::string response =
        dispatcher.Handle(EncodeJsonRpcRequest(method, "{}"));
    CHECK_THROWS_AS(DecodeJsonRpcResponse(response), JsonRpcError);
  }
  CHECK_THROWS_AS(DecodeJsonRpcResponse("not JSON"), JsonRpcError);
  CHECK_THROWS_AS(EncodeJsonRpcRequest("echo", "[1"), JsonRpcError);
}

}  // namespace yuccamoor

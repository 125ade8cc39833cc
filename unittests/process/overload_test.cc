/// \file
/// \brief Tests of a gateway that has more chats than it runs at once.

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>

#include "process/answers.h"
#include "process/cluster.h"
#include "process/stream_caller.h"

namespace yuccamoor {

TEST_CASE("A chat too many waits or is refused while others run", "[process]") {
  ClusterShape shape;
  shape.max_requests = 1;
  shape.token_ms = 50;
  Cluster cluster(shape);
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  StreamCaller caller;
  constexpr std::uint32_t kTokens = 120;
  auto first =
      caller.Start(cluster.Address("gateway0"), "a0@v1", "story", kTokens);
  caller.AwaitTokens(1);
  const std::string body = R"({"model":"a0@v1","max_tokens":8,)"
                           R"("messages":[{"role":"user","content":"next"}]})";
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.body = body;
  auto second = cluster.http().Start(cluster.Address("gateway0"), request);
  cluster.Await("it waits", [&] {
    return cluster.http()
               .Get(cluster.Address("gateway0/operator"), "/admin/status")
               .find("\"active_requests\":2") != std::string::npos;
  });
  const HttpReply third = cluster.Chat(0, "a0@v1", "too many");
  // The first still runs, so that the third was not held until its end.
  CHECK(first.wait_for(std::chrono::seconds(0)) == std::future_status::timeout);
  CHECK(third.response.status == 503);
  CHECK(third.response.headers.Find("Yuccamoor-Outcome") == "not_run");
  CHECK_FALSE(third.response.headers.Find("Retry-After").empty());
  CHECK(first.get().whole);
  CheckAnswer(second.get(), "a0@v1");
}

}  // namespace yuccamoor

/// \file
/// \brief Tests of pauses, outages, leaving and replacement, with processes.

#include <catch2/catch.hpp>
#include <csignal>

#include "process/answers.h"
#include "process/cluster.h"
#include "process/steady_callers.h"

namespace yuccamoor {
namespace {

/// Returns a chat request of eight tokens.
HttpRequest ChatRequestFor(const std::string& model) {
  const Json body{
      {"model", model},
      {"max_tokens", 8},
      {"messages", Json::array({{{"role", "user"}, {"content", "text"}}})}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.body = body.dump();
  return request;
}

}  // namespace

TEST_CASE("A frozen gateway gets nothing evicted in use", "[process]") {
  ClusterShape shape;
  shape.token_ms = 100;
  Cluster cluster(shape);
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  auto running = cluster.http().Start(cluster.Address("gateway0"),
                                      ChatRequestFor("a0@v1"));
  cluster.Await("the request runs", [&] {
    return cluster.http()
               .Get(cluster.Address("gateway0/operator"), "/admin/status")
               .find("\"active_requests\":1") != std::string::npos;
  });
  cluster.Process("gateway0").Signal(SIGSTOP);
  // More adapters than slots: whatever may be evicted is.
  for (int adapter = 1; adapter < shape.adapters; ++adapter) {
    const std::string model = "a" + std::to_string(adapter) + "@v1";
    CheckAnswer(cluster.Chat(1, model, "pressure"), model);
  }
  cluster.Process("gateway0").Signal(SIGCONT);
  CheckAnswer(running.get(), "a0@v1");
  CHECK(cluster.EngineCounter("evictions_in_use") == 0);
}

TEST_CASE("A frozen leader is replaced and does not lead again", "[process]") {
  Cluster cluster(ClusterShape{});
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  const std::string frozen = cluster.LeaderName();
  REQUIRE_FALSE(frozen.empty());
  cluster.Process(frozen).Signal(SIGSTOP);
  for (int adapter = 1; adapter < 5; ++adapter) {
    const std::string model = "a" + std::to_string(adapter) + "@v1";
    CheckAnswer(cluster.Chat(adapter % 2, model, "cold"), model);
  }
  cluster.Process(frozen).Signal(SIGCONT);
  cluster.Await("the old leader has seen its successor", [&] {
    const std::string leader = cluster.LeaderName();
    return !leader.empty() && leader != frozen;
  });
  CheckAnswer(cluster.Chat(0, "a5@v1", "cold"), "a5@v1");
  CHECK(cluster.EngineCounter("evictions_in_use") == 0);
}

TEST_CASE("An outage of the key-value service stops charges only",
          "[process]") {
  Cluster cluster(ClusterShape{});
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  cluster.SetFaults("kv", Json{{"down", true}});
  const HttpReply refused = cluster.Charge(0, "during", "{}");
  CHECK(refused.response.status == 503);
  CHECK(refused.response.headers.Find("Yuccamoor-Outcome") == "not_run");
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  CheckAnswer(cluster.Chat(1, "a1@v1", "cold"), "a1@v1");
  CHECK(cluster.RunsOf("during") == 0);
  cluster.SetFaults("kv", Json{{"down", false}});
  cluster.Await("charges run again",
                [&] { return IsAnswered(cluster.Charge(1, "after", "{}")); });
  CHECK(cluster.RunsOf("after") == 1);
}

TEST_CASE("Lost answers of the key-value service run no charge twice",
          "[process]") {
  Cluster cluster(ClusterShape{});
  for (int i = 0; i < 10; ++i) {
    const std::string key = "key-" + std::to_string(i);
    cluster.SetFaults("kv", Json{{"lose_answer", 1 + i % 3}});
    cluster.Await("the charge is answered",
                  [&] { return IsAnswered(cluster.Charge(i % 2, key, "{}")); });
    CHECK(cluster.RunsOf(key) == 1);
  }
}

TEST_CASE("A leaving endpoint gets no new work", "[process]") {
  Cluster cluster(ClusterShape{});
  const auto call = [&](int gateway) {
    HttpRequest request;
    request.target = "/services/booking/status";
    return cluster.http().Call(
        cluster.Address("gateway" + std::to_string(gateway)), request);
  };
  REQUIRE(IsAnswered(call(0)));
  REQUIRE(IsAnswered(call(1)));

  SECTION("by its own word") {
    cluster.SetFaults("service0", Json{{"leaving", true}});
    constexpr int kCalls = 40;
    for (int i = 0; i < kCalls; ++i) REQUIRE(IsAnswered(call(i % 2)));
    // Each gateway may learn of it by one refused call of its own.
    CHECK(cluster.Ledger(0).at("refused_while_leaving") <= 2);
  }
  SECTION("by the list of VMs") {
    cluster.ListVms("vm-service0");
    cluster.Await("no call reaches it", [&] {
      const std::size_t before = cluster.Ledger(0).at("entries").size();
      for (int i = 0; i < 8; ++i) call(i % 2);
      return cluster.Ledger(0).at("entries").size() == before;
    });
  }
}

TEST_CASE("Every process is replaced under load without a failed request",
          "[process]") {
  Cluster cluster(ClusterShape{});
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  CheckAnswer(cluster.Chat(0, "a1@v1", "warm"), "a1@v1");
  SteadyCallers callers(cluster, 2, ShortChats(cluster));
  for (const char* name :
       {"scheduler0", "gateway0", "scheduler1", "gateway1"}) {
    CAPTURE(name);
    cluster.Process(name).Signal(SIGTERM);
    CHECK(cluster.Process(name).Wait() == 0);
    cluster.Start(name);
    cluster.Await("it is ready again", [&] {
      return cluster.http().Get(
                 cluster.Address(std::string(name) + "/operator"), "/readyz") ==
             R"({"ready":true})";
    });
    const int before = callers.answered();
    cluster.Await("callers go on",
                  [&] { return callers.answered() > before + 10; });
  }
  callers.Stop();
  CHECK(callers.answered() > 40);
  INFO(callers.failure());
  CHECK(callers.failed() == 0);
  CHECK(callers.unsent() == 0);
  CHECK(cluster.EngineCounter("evictions_in_use") == 0);
}

}  // namespace yuccamoor

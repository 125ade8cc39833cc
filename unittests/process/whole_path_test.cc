/// \file
/// \brief Tests of the whole path through separate processes, with real kills
/// and pauses.

#include <catch2/catch.hpp>
#include <csignal>

#include "process/answers.h"
#include "process/cluster.h"

namespace yuccamoor {

TEST_CASE("A request is served through each gateway", "[process]") {
  Cluster cluster(ClusterShape{});
  for (int gateway = 0; gateway < 2; ++gateway) {
    CheckAnswer(cluster.Chat(gateway, "a0@v1", "hello"), "a0@v1");
    CheckAnswer(cluster.Chat(gateway, "first", "hello"), "a0@v1");
  }
  const HttpReply unknown = cluster.Chat(0, "a0@v9", "hello");
  CHECK(unknown.response.status == 404);
  CHECK(unknown.response.headers.Find("Yuccamoor-Outcome") == "not_run");
}

TEST_CASE("A charge that is sent twice runs once", "[process]") {
  Cluster cluster(ClusterShape{});
  const HttpReply first = cluster.Charge(0, "renewal-1", "{\"amount\":5}");
  // Until the outcome is in the record, another gateway says that it runs.
  HttpReply second;
  cluster.Await("the outcome is known everywhere", [&] {
    second = cluster.Charge(1, "renewal-1", "{\"amount\":5}");
    return second.response.status != 409;
  });
  INFO(first.error << first.response.body);
  REQUIRE(first.response.status == 200);
  CHECK(second.response.status == 200);
  CHECK(second.response.body == first.response.body);
  CHECK(cluster.RunsOf("renewal-1") == 1);
  const HttpReply other = cluster.Charge(1, "renewal-1", "{\"amount\":6}");
  CHECK(other.response.status == 422);
  CHECK(cluster.RunsOf("renewal-1") == 1);
}

TEST_CASE("Service goes on after each process was killed in turn",
          "[process]") {
  Cluster cluster(ClusterShape{});
  CheckAnswer(cluster.Chat(0, "a0@v1", "hello"), "a0@v1");

  SECTION("the leading scheduler") {
    std::string leader;
    cluster.Await("a leader", [&] {
      leader = cluster.LeaderName();
      return !leader.empty();
    });
    cluster.Process(leader).Kill();
    CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
    CheckAnswer(cluster.Chat(1, "a1@v1", "cold"), "a1@v1");
    CHECK(cluster.LeaderName() != leader);
  }
  SECTION("a gateway") {
    cluster.Process("gateway0").Kill();
    CheckAnswer(cluster.Chat(1, "a1@v1", "cold"), "a1@v1");
    cluster.Start("gateway0");
    cluster.Await("the gateway is back", [&] {
      const HttpReply reply = cluster.Chat(0, "a0@v1", "back");
      return reply.progress == HttpProgress::kAnswered &&
             reply.response.status == 200;
    });
  }
  SECTION("an engine") {
    cluster.Restart("engine0");
    cluster.Restart("engine1");
    CheckAnswer(cluster.Chat(0, "a0@v1", "again"), "a0@v1");
  }
  SECTION("everything at once") {
    for (const char* name : {"scheduler0", "scheduler1", "gateway0", "gateway1",
                             "engine0", "engine1"}) {
      cluster.Restart(name);
    }
    for (int gateway = 0; gateway < 2; ++gateway) {
      cluster.Await("the gateway is back", [&] {
        const HttpReply reply = cluster.Chat(gateway, "a0@v1", "back");
        return reply.progress == HttpProgress::kAnswered &&
               reply.response.status == 200;
      });
    }
    CheckAnswer(cluster.Chat(1, "a2@v1", "cold"), "a2@v1");
  }
  CHECK(cluster.EngineCounter("evictions_in_use") == 0);
}

TEST_CASE("A graceful shutdown cuts no request in flight", "[process]") {
  ClusterShape shape;
  shape.token_ms = 50;
  Cluster cluster(shape);
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  const Json body{
      {"model", "a0@v1"},
      {"max_tokens", 8},
      {"messages", Json::array({{{"role", "user"}, {"content", "long"}}})}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.body = body.dump();
  auto running = cluster.http().Start(cluster.Address("gateway0"), request);
  cluster.Await("the request runs", [&] {
    return cluster.http()
               .Get(cluster.Address("gateway0/operator"), "/admin/status")
               .find("\"active_requests\":1") != std::string::npos;
  });
  cluster.Process("gateway0").Signal(SIGTERM);
  CheckAnswer(running.get(), "a0@v1");
  CHECK(cluster.Process("gateway0").Wait() == 0);
}

TEST_CASE("The leader lists adapters and where they are", "[process]") {
  Cluster cluster(ClusterShape{});
  CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  const std::string leader = cluster.LeaderName();
  REQUIRE_FALSE(leader.empty());
  const Json answer = Json::parse(cluster.http().Get(
      cluster.Address(leader + "/operator"), "/admin/adapters"));
  REQUIRE(answer.contains("adapters"));
  REQUIRE(answer.at("adapters").size() == 1);
  const Json& row = answer.at("adapters")[0];
  CHECK(row.at("target") == "a0@v1");
  CHECK(row.at("cell") == "cell");
  CHECK(row.at("phase") == "ready");
}

}  // namespace yuccamoor

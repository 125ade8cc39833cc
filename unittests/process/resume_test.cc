/// \file
/// \brief Tests of callers that reconnect in mid-answer, with processes that
/// are killed.

#include <catch2/catch.hpp>

#include "process/answers.h"
#include "process/cluster.h"
#include "process/stream_caller.h"
#include "yuccamoor/protocol/request/stream_event_id.h"
#include "yuccamoor/standins/token_rule.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kTokens = 60;
const AdapterVersion kTarget{AdapterId("a0"), VersionId("v1")};

/// A cluster and a caller that has taken the beginning of an answer.
struct Fixture {
  Fixture() : cluster(Shape()) {
    CheckAnswer(cluster.Chat(0, "a0@v1", "warm"), "a0@v1");
  }

  static ClusterShape Shape() {
    ClusterShape shape;
    shape.token_ms = 50;
    return shape;
  }

  std::future<StreamPart> Start(int gateway, const std::string& last_id = "",
                                std::size_t leave_after = 0,
                                const std::string& text = "story") {
    return caller.Start(cluster.Address("gateway" + std::to_string(gateway)),
                        "a0@v1", text, kTokens, last_id, leave_after);
  }

  /// Checks that the parts are the whole answer, once.
  static void CheckWhole(const StreamPart& first, const StreamPart& rest) {
    INFO(rest.status << " " << rest.error);
    CHECK(rest.whole);
    CHECK(first.tokens + rest.tokens == kTokens);
    CHECK(first.text + rest.text ==
          ExpectedAnswer(kTarget, "user: story", kTokens));
  }

  Cluster cluster;
  StreamCaller caller;
};

}  // namespace

TEST_CASE("An answer goes on through another gateway when its own is killed",
          "[process]") {
  Fixture f;
  auto first = f.Start(0);
  f.caller.AwaitTokens(3);
  f.cluster.Process("gateway0").Kill();
  const StreamPart begun = first.get();
  REQUIRE(begun.tokens >= 3);
  REQUIRE_FALSE(begun.whole);
  auto rest = f.Start(1, begun.last_id);
  f.caller.AwaitTokens(1);
  // More adapters than slots: whatever may be evicted is.
  for (int adapter = 1; adapter < f.Shape().adapters; ++adapter) {
    const std::string model = "a" + std::to_string(adapter) + "@v1";
    CheckAnswer(f.cluster.Chat(1, model, "pressure"), model);
  }
  f.CheckWhole(begun, rest.get());
  CHECK(f.cluster.EngineCounter("evictions_in_use") == 0);
}

TEST_CASE("An answer outlasts the restart of every daemon", "[process]") {
  Fixture f;
  auto first = f.Start(0);
  f.caller.AwaitTokens(3);
  for (const char* name :
       {"gateway0", "gateway1", "scheduler0", "scheduler1"}) {
    f.cluster.Restart(name);
  }
  const StreamPart begun = first.get();
  StreamPart rest;
  f.cluster.Await("the rest is there", [&] {
    rest = f.Start(1, begun.last_id).get();
    return rest.whole;
  });
  f.CheckWhole(begun, rest);
  CHECK(f.cluster.EngineCounter("evictions_in_use") == 0);
}

TEST_CASE("A caller that was cut off goes on with its answer", "[process]") {
  Fixture f;
  const StreamPart begun = f.Start(0, "", 3).get();
  REQUIRE(begun.tokens >= 3);
  SECTION("at once, through its gateway") {
    f.CheckWhole(begun, f.Start(0, begun.last_id).get());
  }
  SECTION("at once, through another gateway") {
    f.CheckWhole(begun, f.Start(1, begun.last_id).get());
  }
  SECTION("after the end, when the engine has lost it") {
    f.cluster.Await("the answer has ended", [&] {
      return f.cluster.http()
                 .Get(f.cluster.Address("gateway0/operator"), "/admin/status")
                 .find("\"active_requests\":0") != std::string::npos;
    });
    f.cluster.Restart("engine0");
    f.cluster.Restart("engine1");
    f.CheckWhole(begun, f.Start(0, begun.last_id).get());
  }
  SECTION("but not with one that no engine has any more") {
    f.cluster.Restart("engine0");
    f.cluster.Restart("engine1");
    const StreamPart rest = f.Start(1, begun.last_id).get();
    CHECK((rest.status == 410 || rest.status == 503));
    CHECK(rest.error.find("\"outcome\":\"unknown\"") != std::string::npos);
  }
  SECTION("but not under another prompt, id or request") {
    const StreamPart other = f.Start(1, begun.last_id, 0, "other").get();
    CHECK(other.status == 410);
    CHECK(f.Start(1, "7").get().status == 400);
    auto id = DecodeStreamEventId(begun.last_id);
    REQUIRE(id.has_value());
    id->stream.generation = RequestId(std::string(32, '0'));
    const std::string guessed =
        EncodeStreamEventId(EncodeStreamHandle(id->stream), id->index);
    CHECK(f.Start(1, guessed).get().status == 410);
    CHECK(f.Start(0, guessed).get().status == 410);
  }
}

}  // namespace yuccamoor

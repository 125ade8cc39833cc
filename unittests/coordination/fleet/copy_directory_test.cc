/// \file
/// \brief Tests of the copies of popular adapters.

#include "yuccamoor/coordination/fleet/copy_directory.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

constexpr std::uint32_t kEngineCount = 20;

std::vector<EndpointId> Ranking() {
  std::vector<EndpointId> engines;
  for (std::uint32_t i = 0; i < kEngineCount; ++i) {
    engines.emplace_back("e" + std::to_string(i));
  }
  return engines;
}

HomeRequest Request(std::uint64_t number) {
  HomeRequest request;
  request.adapter = Adapter("a1");
  request.number = number;
  request.home = EndpointId("e0");
  request.home_holds = true;
  request.engines = kEngineCount;
  request.fleet_rate = 100;
  return request;
}

}  // namespace

TEST_CASE("An adapter with few requests has no copies",
          "[fleet][copies][large]") {
  CopyDirectory directory;
  // One of 100 requests a second: less than an engine's share.
  for (std::uint64_t i = 0; i < 20; ++i) {
    const CopyChoice choice = directory.OnRequest(
        Request(i), Ranking, TimeMs(static_cast<std::int64_t>(i) * 1'000));
    CHECK(choice.choices.empty());
    CHECK(choice.to_load.empty());
  }
}

TEST_CASE("A popular adapter's requests are spread over its copies",
          "[fleet][copies][large]") {
  CopyDirectory directory;
  std::set<EndpointId> asked;
  std::map<EndpointId, int> chosen;
  // A fifth of all requests: four engines' fair share.
  for (std::uint64_t i = 0; i < 200; ++i) {
    const TimeMs now(static_cast<std::int64_t>(i) * 50);
    const CopyChoice choice = directory.OnRequest(Request(i), Ranking, now);
    CHECK(choice.choices.size() <= 2);
    CHECK(choice.to_load.size() <= 2);
    for (const EndpointId& engine : choice.to_load) {
      CHECK(engine != EndpointId("e0"));
      asked.insert(engine);
      directory.OnLoaded(Adapter("a1"), engine, now + DurationMs(300));
    }
    if (i < 100) continue;
    for (const EndpointId& engine : choice.choices) ++chosen[engine];
  }
  CHECK(asked.size() >= 3);
  CHECK(asked.size() <= 12);
  CHECK(chosen.size() >= 4);
  CHECK(chosen.contains(EndpointId("e0")));
}

TEST_CASE("A busy home leaves loads to the next engine",
          "[fleet][copies][large]") {
  CopyDirectory directory;
  HomeRequest request = Request(1);
  request.mean_requests = 4;
  request.home_requests = 9;
  SECTION("of adapters that it does not hold") {
    request.home_holds = false;
    CHECK(directory.OnRequest(request, Ranking, TimeMs(0)).choices ==
          std::vector<EndpointId>{EndpointId("e1")});
  }
  SECTION("what it holds it serves") {
    CHECK(directory.OnRequest(request, Ranking, TimeMs(0)).choices.empty());
  }
  SECTION("and has what is requested repeatedly copied") {
    directory.OnRequest(request, Ranking, TimeMs(0));
    request.number = 2;
    CHECK(directory.OnRequest(request, Ranking, TimeMs(100)).to_load ==
          std::vector<EndpointId>{EndpointId("e1")});
  }
}

// Once it was less busy, the home loaded from the weight store what the next
// engine had loaded for it.
TEST_CASE("An adapter that a busy home passed on is not loaded twice",
          "[fleet][copies][large]") {
  CopyDirectory directory;
  HomeRequest request = Request(1);
  request.home_holds = false;
  request.mean_requests = 4;
  request.home_requests = 9;
  const std::vector<EndpointId> next{EndpointId("e1")};
  REQUIRE(directory.OnRequest(request, Ranking, TimeMs(0)).choices == next);
  request.home_requests = 4;
  CHECK(directory.OnRequest(request, Ranking, TimeMs(9'000)).choices == next);
  directory.Expire(TimeMs(60'000));
  CHECK(directory.OnRequest(request, Ranking, TimeMs(60'000)).choices.empty());
}

// Another engine loaded from the weight store what the home's host memory held.
TEST_CASE("A busy home loads again what it held lately",
          "[fleet][copies][large]") {
  CopyDirectory directory;
  HomeRequest request = Request(1);
  request.home_holds = false;
  request.home_held_lately = true;
  request.mean_requests = 4;
  request.home_requests = 9;
  CHECK(directory.OnRequest(request, Ranking, TimeMs(0)).choices.empty());
}

TEST_CASE("A copy that is no longer confirmed is not chosen",
          "[fleet][copies]") {
  CopyDirectory directory;
  TimeMs now(0);
  for (std::uint64_t i = 0; i < 60; ++i) {
    now = now + DurationMs(50);
    for (const EndpointId& engine :
         directory.OnRequest(Request(i), Ranking, now).to_load) {
      directory.OnLoaded(Adapter("a1"), engine, now);
    }
  }
  REQUIRE_FALSE(directory.OnRequest(Request(60), Ranking, now).choices.empty());
  std::vector<EndpointId> choices;
  for (std::uint64_t i = 61; i < 130; ++i) {
    now = now + DurationMs(50);
    choices = directory.OnRequest(Request(i), Ranking, now).choices;
  }
  CHECK(choices.empty());
}

}  // namespace yuccamoor::fleet

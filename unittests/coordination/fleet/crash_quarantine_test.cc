/// \file
/// \brief Tests of finding what crashes endpoints.

#include "yuccamoor/coordination/fleet/crash_quarantine.h"

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>
#include <vector>

namespace yuccamoor::fleet {
namespace {

const CrashSuspect kCrashing{SuspectKind::kPromptPart, "dead"};
const CrashSuspect kShared{SuspectKind::kPromptPart, "5c1e"};
const CrashSuspect kRequest{SuspectKind::kRequest, "9c41"};
// How long runs had been under way.
constexpr DurationMs kRan{50};

EndpointProcess Engine(int number, std::uint64_t start = 1) {
  return {EndpointId("e" + std::to_string(number)), start};
}

// Crashes engines one second apart, without output in between.
void CrashEngines(CrashQuarantine& quarantine, int count, TimeMs begin,
                  int first = 0) {
  for (int i = 0; i < count; ++i) {
    quarantine.OnBrokenOff(Engine(first + i), {kCrashing}, kRan,
                           begin + DurationMs(1'000) * i);
  }
}

bool IsQuarantined(const CrashQuarantine& quarantine,
                   const CrashSuspect& suspect, TimeMs now) {
  return quarantine.Find({suspect}, now).has_value();
}

}  // namespace

TEST_CASE("A part of prompts that engines broke off in a row is quarantined",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  CrashEngines(quarantine, 2, TimeMs(0));
  CHECK_FALSE(IsQuarantined(quarantine, kCrashing, TimeMs(1'500)));
  CrashEngines(quarantine, 1, TimeMs(2'000), 2);
  CHECK(IsQuarantined(quarantine, kCrashing, TimeMs(2'000)));
  CHECK(quarantine.Find({kShared, kCrashing}, TimeMs(2'000)));
  CHECK_FALSE(IsQuarantined(quarantine, kShared, TimeMs(2'000)));
}

TEST_CASE("Output clears the parts that sound and crashing prompts share",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  for (int i = 0; i < 5; ++i) {
    const TimeMs now = TimeMs(0) + DurationMs(1'000) * i;
    quarantine.OnBrokenOff(Engine(i), {kShared, kCrashing}, kRan, now);
    quarantine.OnOutput(Engine(99), {kShared}, now + DurationMs(500));
  }
  CHECK(IsQuarantined(quarantine, kCrashing, TimeMs(5'000)));
  CHECK_FALSE(IsQuarantined(quarantine, kShared, TimeMs(5'000)));
}

// Engines of one rack or failure domain fail together; the prompts that they
// were sent have nothing to do with it.
TEST_CASE("Engines that crash together make no prompt suspicious enough",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  for (int i = 0; i < 60; ++i) {
    quarantine.OnBrokenOff(Engine(i), {kShared}, kRan,
                           TimeMs(0) + DurationMs(4) * i);
  }
  CHECK_FALSE(IsQuarantined(quarantine, kShared, TimeMs(300)));
}

TEST_CASE("One engine process counts once, whoever reports it",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  for (int i = 0; i < 10; ++i) {
    quarantine.OnBrokenOff(Engine(0), {kCrashing}, kRan,
                           TimeMs(0) + DurationMs(1'000) * i);
  }
  CHECK_FALSE(IsQuarantined(quarantine, kCrashing, TimeMs(10'000)));
  quarantine.OnBrokenOff(Engine(0, 2), {kCrashing}, kRan, TimeMs(11'000));
  quarantine.OnBrokenOff(Engine(0, 3), {kCrashing}, kRan, TimeMs(12'000));
  CHECK(IsQuarantined(quarantine, kCrashing, TimeMs(12'000)));
}

TEST_CASE("Nodes that each saw one crash come to the same result",
          "[fleet][quarantine]") {
  std::vector<CrashQuarantine> nodes(3);
  const auto tell_others = [&](std::size_t teller, TimeMs now) {
    const CrashNews news = nodes[teller].TakeNews();
    for (std::size_t i = 0; i < nodes.size(); ++i) {
      if (i != teller) nodes[i].OnNews(news, now);
    }
  };
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const TimeMs now(1'000 * static_cast<std::int64_t>(i));
    nodes[i].OnBrokenOff(Engine(static_cast<int>(i)), {kShared, kCrashing},
                         kRan, now);
    tell_others(i, now);
    nodes[0].OnOutput(Engine(99), {kShared}, now + DurationMs(100));
    tell_others(0, now + DurationMs(100));
  }
  for (const CrashQuarantine& node : nodes) {
    CHECK(IsQuarantined(node, kCrashing, TimeMs(3'000)));
    CHECK_FALSE(IsQuarantined(node, kShared, TimeMs(3'000)));
  }
}

TEST_CASE("A quarantine ends, and the next crash renews it for longer",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  CrashEngines(quarantine, 3, TimeMs(0));
  const auto first = quarantine.Find({kCrashing}, TimeMs(2'000));
  REQUIRE(first);
  const TimeMs ended = TimeMs(2'000) + first->remaining;
  quarantine.Expire(ended);
  CHECK_FALSE(IsQuarantined(quarantine, kCrashing, ended));
  quarantine.OnBrokenOff(Engine(7), {kCrashing}, kRan, ended + DurationMs(500));
  const auto second = quarantine.Find({kCrashing}, ended + DurationMs(500));
  REQUIRE(second);
  CHECK(second->remaining == first->remaining * 2);
}

TEST_CASE("A node that missed the crashes learns of the quarantine",
          "[fleet][quarantine]") {
  CrashQuarantine teller;
  CrashEngines(teller, 3, TimeMs(0));
  CrashQuarantine started;
  started.OnNews(teller.Reminder(TimeMs(3'000)), TimeMs(3'000));
  const auto heard = started.Find({kCrashing}, TimeMs(3'000));
  const auto known = teller.Find({kCrashing}, TimeMs(3'000));
  REQUIRE(heard);
  REQUIRE(known);
  CHECK(heard->remaining == known->remaining);
  CHECK(started.TakeNews().empty());
}

TEST_CASE("A reminder does not bring back a part that has been cleared",
          "[fleet][quarantine]") {
  CrashQuarantine outdated;
  CrashEngines(outdated, 3, TimeMs(0));
  CrashQuarantine node;
  node.OnNews(outdated.TakeNews(), TimeMs(2'000));
  node.OnOutput(Engine(99), {kCrashing}, TimeMs(2'500));
  node.TakeNews();
  node.OnNews(outdated.Reminder(TimeMs(3'000)), TimeMs(3'000));
  CHECK_FALSE(IsQuarantined(node, kCrashing, TimeMs(3'000)));
  // The other node is told.
  outdated.OnNews(node.TakeNews(), TimeMs(3'000));
  CHECK_FALSE(IsQuarantined(outdated, kCrashing, TimeMs(3'000)));
}

TEST_CASE("Parts without end take bounded memory and keep the quarantined ones",
          "[fleet][quarantine]") {
  constexpr std::size_t kBound = 10'000;
  CrashQuarantine quarantine;
  CrashEngines(quarantine, 3, TimeMs(0));
  for (int i = 0; i < 12'000; ++i) {
    quarantine.OnBrokenOff(
        Engine(100),
        {CrashSuspect{SuspectKind::kPromptPart, std::to_string(i)}}, kRan,
        TimeMs(3'000 + i));
  }
  CHECK(quarantine.size() < kBound);
  CHECK(IsQuarantined(quarantine, kCrashing, TimeMs(15'000)));
  quarantine.Expire(TimeMs(10'000'000));
  CHECK(quarantine.size() == 0);
}

// A request that is repeated at once ends all endpoints of a service within a
// tenth of a second.
TEST_CASE("Crashes under a request count if it was sent after the one before",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  const TimeMs begin(1'000);
  SECTION("sent one after the other") {
    for (int i = 0; i < 3; ++i) {
      quarantine.OnBrokenOff(Engine(i), {kRequest}, DurationMs(20),
                             begin + DurationMs(30) * i);
    }
    CHECK(IsQuarantined(quarantine, kRequest, TimeMs(1'100)));
  }
  SECTION("under way together when endpoints fail together") {
    for (int i = 0; i < 10; ++i) {
      quarantine.OnBrokenOff(Engine(i), {kRequest}, DurationMs(500),
                             begin + DurationMs(30) * i);
    }
    CHECK_FALSE(IsQuarantined(quarantine, kRequest, TimeMs(1'400)));
    CHECK(quarantine.RecentlyBrokenOff(kRequest, TimeMs(1'400)) == 10);
  }
  SECTION("with an answer in between") {
    for (int i = 0; i < 10; ++i) {
      const TimeMs now = begin + DurationMs(1'000) * i;
      quarantine.OnBrokenOff(Engine(i), {kRequest}, kRan, now);
      if (i % 2 == 1) {
        quarantine.OnOutput(Engine(99), {kRequest}, now + DurationMs(10));
      }
    }
    CHECK_FALSE(IsQuarantined(quarantine, kRequest, TimeMs(20'000)));
  }
}

TEST_CASE("A request and a part of prompts with one id are two suspects",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  CrashEngines(quarantine, 3, TimeMs(0));
  CHECK_FALSE(IsQuarantined(quarantine, {SuspectKind::kRequest, kCrashing.id},
                            TimeMs(3'000)));
}

TEST_CASE("An endpoint that broke off runs may have ended until it answers",
          "[fleet][quarantine]") {
  CrashQuarantine node;
  CrashQuarantine other;
  node.OnBrokenOff(Engine(1), {}, kRan, TimeMs(0));
  other.OnNews(node.TakeNews(), TimeMs(20));
  CHECK(node.MayHaveEnded(Engine(1), TimeMs(100)));
  CHECK(other.MayHaveEnded(Engine(1), TimeMs(100)));
  CHECK_FALSE(other.MayHaveEnded(Engine(1, 2), TimeMs(100)));
  other.OnOutput(Engine(1), {}, TimeMs(200));
  CHECK_FALSE(other.MayHaveEnded(Engine(1), TimeMs(200)));
  CHECK_FALSE(node.MayHaveEnded(Engine(1), TimeMs(60'000)));
}

// Each reminder began the quarantine's remaining time anew, so that nodes that
// reminded each other kept a suspect in quarantine for ever.
TEST_CASE("Reminders under way do not prolong a quarantine",
          "[fleet][quarantine]") {
  constexpr int kNodes = 9;
  constexpr DurationMs kStep{50};
  constexpr int kStepsPerRound = 20;
  // Longer than a step, so that reminders cross each other.
  constexpr std::size_t kDelaySteps = 2;
  std::vector<CrashQuarantine> nodes(kNodes);
  CrashEngines(nodes[0], 3, TimeMs(0));
  const TimeMs begin(2'000);
  // The reminders under way, the latest one last.
  std::vector<CrashNews> sent;
  TimeMs now = begin;
  for (int step = 0; now < begin + DurationMs(63'000); ++step) {
    const int turn = step % kStepsPerRound;
    sent.push_back(turn < kNodes
                       ? nodes[static_cast<std::size_t>(turn)].Reminder(now)
                       : CrashNews());
    if (sent.size() > kDelaySteps) {
      for (CrashQuarantine& node : nodes) node.OnNews(sent.front(), now);
      sent.erase(sent.begin());
    }
    if (now == begin + DurationMs(30'000)) {
      for (const CrashQuarantine& node : nodes) {
        CHECK(IsQuarantined(node, kCrashing, now));
      }
    }
    now = now + kStep;
  }
  for (const CrashQuarantine& node : nodes) {
    CHECK_FALSE(IsQuarantined(node, kCrashing, now));
  }
  // The next crash doubles the time once, on whichever node.
  for (CrashQuarantine& node : nodes) {
    CrashEngines(node, 1, now, 50);
    CHECK(node.Find({kCrashing}, now)->remaining == DurationMs(120'000));
  }
}

TEST_CASE("A longer quarantine replaces the one that a node knows",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  CrashEngines(quarantine, 3, TimeMs(0));
  CrashNews news;
  news.quarantined = {{kCrashing, DurationMs(120'000)}};
  quarantine.OnNews(news, TimeMs(61'900));
  CHECK(IsQuarantined(quarantine, kCrashing, TimeMs(181'000)));
}

// One request that crashed three engines took all sound requests with the first
// part of its prompt along, for a minute and longer each time that it came
// back.
TEST_CASE(
    "A request that crashes engines does not quarantine its prompt's part",
    "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  const auto crash = [&](int engine, TimeMs now) {
    const CrashSuspect beside{SuspectKind::kRequest, std::to_string(engine)};
    quarantine.OnBrokenOff(Engine(engine), {kRequest, kShared}, kRan, now);
    quarantine.OnBrokenOff(Engine(engine), {beside, kShared}, kRan, now);
  };
  for (int i = 0; i < 5; ++i) {
    const TimeMs now = TimeMs(0) + DurationMs(1'000) * i;
    crash(i, now);
    CHECK_FALSE(IsQuarantined(quarantine, kShared, now));
  }
  REQUIRE(IsQuarantined(quarantine, kRequest, TimeMs(4'000)));
  const CrashSuspect sound{SuspectKind::kRequest, "sound"};
  CHECK_FALSE(quarantine.Find({sound, kShared}, TimeMs(4'000)));
  // It comes back after its quarantine.
  crash(5, TimeMs(70'000));
  CHECK(IsQuarantined(quarantine, kRequest, TimeMs(70'000)));
  CHECK_FALSE(IsQuarantined(quarantine, kShared, TimeMs(70'000)));
}

// The same, where several requests crash engines.
TEST_CASE("Two requests that crash engines do not quarantine a shared part",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  const CrashSuspect other{SuspectKind::kRequest, "other"};
  for (int i = 0; i < 6; ++i) {
    const CrashSuspect& request = i % 2 == 0 ? kRequest : other;
    quarantine.OnBrokenOff(Engine(i), {request, kShared}, kRan,
                           TimeMs(0) + DurationMs(1'000) * i);
  }
  CHECK(IsQuarantined(quarantine, kRequest, TimeMs(6'000)));
  CHECK(IsQuarantined(quarantine, other, TimeMs(6'000)));
  CHECK_FALSE(IsQuarantined(quarantine, kShared, TimeMs(6'000)));
}

// Each request crashes engines as often as it is sent, and clients and nodes
// repeat it.
TEST_CASE("A part that crashes engines is quarantined within five crashes",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  int crashes = 0;
  TimeMs now(0);
  for (int request = 0; request < 5; ++request) {
    const std::vector<CrashSuspect> suspects{
        {SuspectKind::kRequest, std::to_string(request)}, kCrashing};
    for (int repeat = 0; repeat < 4; ++repeat) {
      const bool is_sent = !quarantine.Find(suspects, now) &&
                           !quarantine.IsDoubtfulRepeat(suspects, now);
      if (!is_sent) continue;
      quarantine.OnBrokenOff(Engine(crashes), suspects, kRan, now);
      ++crashes;
      now = now + DurationMs(400);
    }
  }
  CHECK(IsQuarantined(quarantine, kCrashing, now));
  CHECK(crashes <= 5);
}

// Endpoints crash for reasons of their own: what they broke off is repeated.
TEST_CASE("A request that one crash broke off may be repeated",
          "[fleet][quarantine]") {
  CrashQuarantine quarantine;
  const std::vector<CrashSuspect> suspects{kRequest, kShared};
  const std::vector<CrashSuspect> others{{SuspectKind::kRequest, "o"}, kShared};
  quarantine.OnBrokenOff(Engine(1), suspects, kRan, TimeMs(0));
  quarantine.OnBrokenOff(Engine(1), others, kRan, TimeMs(0));
  quarantine.OnBrokenOff(Engine(2), others, kRan, TimeMs(100));
  CHECK_FALSE(quarantine.IsDoubtfulRepeat(suspects, TimeMs(200)));
  quarantine.OnBrokenOff(Engine(3), {{SuspectKind::kRequest, "p"}, kShared},
                         kRan, TimeMs(1'000));
  CHECK(quarantine.IsDoubtfulRepeat(suspects, TimeMs(1'100)));
  // A new request shows whether the part is sound.
  CHECK_FALSE(quarantine.IsDoubtfulRepeat(
      {{SuspectKind::kRequest, "new"}, kShared}, TimeMs(1'100)));
  quarantine.OnOutput(Engine(9), {{SuspectKind::kRequest, "new"}, kShared},
                      TimeMs(1'200));
  CHECK_FALSE(quarantine.IsDoubtfulRepeat(suspects, TimeMs(1'300)));
}

TEST_CASE("Nodes that each saw one crash tell whose request it was",
          "[fleet][quarantine]") {
  std::vector<CrashQuarantine> nodes(3);
  for (std::size_t i = 0; i < nodes.size(); ++i) {
    const TimeMs now(1'000 * static_cast<std::int64_t>(i));
    nodes[i].OnBrokenOff(Engine(static_cast<int>(i)), {kRequest, kShared}, kRan,
                         now);
    const CrashNews news = nodes[i].TakeNews();
    for (std::size_t other = 0; other < nodes.size(); ++other) {
      if (other != i) nodes[other].OnNews(news, now);
    }
  }
  for (const CrashQuarantine& node : nodes) {
    CHECK(IsQuarantined(node, kRequest, TimeMs(2'000)));
    CHECK_FALSE(IsQuarantined(node, kShared, TimeMs(2'000)));
  }
}

}  // namespace yuccamoor::fleet

/// \file
/// \brief Tests of the admission of prompts at an engine's holder.

#include "yuccamoor/coordination/fleet/prompt_queue.h"

#include <catch2/catch.hpp>
#include <string>

namespace yuccamoor::fleet {
namespace {

constexpr std::uint32_t kLargeTokens = 2'400;

PendingPrompt Prompt(std::uint64_t number, std::uint32_t tokens, int priority,
                     TimeMs send_by) {
  return {{NodeId("n" + std::to_string(number)), number},
          tokens,
          priority,
          send_by,
          TenantId()};
}

PrefillLoad IdleEngine() { return {4, 16, DurationMs(0)}; }

}  // namespace

TEST_CASE("Nodes that ask at once are not all admitted",
          "[fleet][prompts][large]") {
  PromptQueue queue;
  int admitted = 0;
  for (std::uint64_t i = 0; i < 10; ++i) {
    const auto prompt = Prompt(i, kLargeTokens, 0, TimeMs(700));
    if (queue.Quote(prompt, IdleEngine(), TimeMs(0)) == DurationMs(0)) {
      ++admitted;
    }
  }
  CHECK(admitted >= 1);
  CHECK(admitted <= 2);
}

TEST_CASE("A reservation ends when its prompt is sent, or by itself",
          "[fleet][prompts]") {
  PromptQueue queue;
  const auto first = Prompt(1, kLargeTokens, 0, TimeMs(700));
  const auto second = Prompt(2, kLargeTokens, 0, TimeMs(700));
  const auto third = Prompt(3, kLargeTokens, 0, TimeMs(700));
  REQUIRE(queue.Quote(first, IdleEngine(), TimeMs(0)) == DurationMs(0));
  while (queue.Quote(second, IdleEngine(), TimeMs(0)) == DurationMs(0)) {
    FAIL("two large prompts were admitted");
  }
  SECTION("sent: from then on the engine's backlog contains it") {
    queue.OnSent(first.id);
    const PrefillLoad load{4, 16, ReservedPrefill(kLargeTokens)};
    CHECK(queue.Quote(third, load, TimeMs(5)) > DurationMs(0));
    CHECK(queue.Quote(third, IdleEngine(), TimeMs(5)) == DurationMs(0));
  }
  SECTION("not sent") {
    CHECK(queue.Quote(third, IdleEngine(), TimeMs(200)) == DurationMs(0));
  }
}

TEST_CASE("Queued prompts are admitted by priority and time left",
          "[fleet][prompts]") {
  PromptQueue queue;
  const PrefillLoad busy{4, 16, DurationMs(400)};
  queue.Enqueue(Prompt(1, 600, 2, TimeMs(500)), busy, TimeMs(0));
  queue.Enqueue(Prompt(2, 600, 0, TimeMs(900)), busy, TimeMs(0));
  queue.Enqueue(Prompt(3, 600, 0, TimeMs(600)), busy, TimeMs(0));
  // Late already: whoever can still be on time goes first.
  queue.Enqueue(Prompt(4, 600, 0, TimeMs(-10)), busy, TimeMs(0));
  CHECK(queue.Admit(busy, TimeMs(20)).empty());
  std::vector<std::uint64_t> order;
  for (TimeMs now(100); now < TimeMs(600); now = now + DurationMs(100)) {
    for (const AdmissionId& id : queue.Admit(IdleEngine(), now)) {
      order.push_back(id.number);
      queue.OnSent(id);
    }
  }
  CHECK(order == std::vector<std::uint64_t>{3, 2, 1, 4});
}

TEST_CASE("The expected wait counts the prompts ahead", "[fleet][prompts]") {
  PromptQueue queue;
  const PrefillLoad busy{4, 16, DurationMs(300)};
  DurationMs last{0};
  for (std::uint64_t i = 0; i < 5; ++i) {
    const DurationMs wait = queue.Enqueue(
        Prompt(i, kLargeTokens, 0, TimeMs(500 + static_cast<int>(i))), busy,
        TimeMs(0));
    CHECK(wait > last);
    last = wait;
  }
  // Who asks without queueing does not overtake them.
  CHECK(queue.Quote(Prompt(9, 100, 2, TimeMs(800)), IdleEngine(), TimeMs(0)) >
        DurationMs(0));
}

TEST_CASE("A queued prompt whose node is silent expires", "[fleet][prompts]") {
  PromptQueue queue;
  const PrefillLoad busy{4, 16, DurationMs(400)};
  queue.Enqueue(Prompt(1, 600, 0, TimeMs(500)), busy, TimeMs(0));
  CHECK(queue.Admit(IdleEngine(), TimeMs(1'500)).empty());
  CHECK(queue.empty());
}

}  // namespace yuccamoor::fleet

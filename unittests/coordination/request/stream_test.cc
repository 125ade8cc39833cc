/// \file
/// \brief Tests of stream assembly and reconnects.

#include <algorithm>
#include <catch2/catch.hpp>
#include <pcg_random.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/resume_table.h"
#include "yuccamoor/coordination/request/stream_assembler.h"

namespace yuccamoor {
namespace {

const AdapterVersion kTarget{AdapterId("uyku"), VersionId("3")};
const InstanceId kInstance("i1");
const RequestId kRequest("r1");

TokenFrame Frame(std::uint64_t index, bool done = false) {
  TokenFrame frame;
  frame.request = kRequest;
  frame.attempt = AttemptNumber(1);
  frame.target = kTarget;
  frame.instance = kInstance;
  frame.index = TokenIndex(index);
  if (!done) frame.text = "t" + std::to_string(index);
  frame.done = done;
  return frame;
}

StreamAssembler Started(std::size_t max_held = 16) {
  StreamAssembler assembler(kRequest, kTarget, max_held);
  assembler.StartAttempt(AttemptNumber(1), kInstance);
  return assembler;
}

}  // namespace

TEST_CASE("Frames that are not of this attempt are ignored or void the answer",
          "[stream]") {
  struct Case {
    const char* name;
    TokenFrame frame;
    FrameVerdict verdict;
    bool void_after;
  };
  std::vector<Case> cases;
  const auto add = [&](const char* name, FrameVerdict verdict, bool void_after,
                       TokenFrame frame) {
    cases.push_back({name, std::move(frame), verdict, void_after});
  };
  TokenFrame frame = Frame(1);
  add("next", FrameVerdict::kAccepted, false, frame);
  add("duplicate", FrameVerdict::kDuplicate, false, Frame(0));
  frame.request = RequestId("r2");
  add("other request", FrameVerdict::kForeign, false, frame);
  frame = Frame(1);
  frame.attempt = AttemptNumber(2);
  add("other attempt", FrameVerdict::kForeign, false, frame);
  frame = Frame(1);
  frame.instance = InstanceId("i2");
  add("other engine life", FrameVerdict::kForeign, false, frame);
  frame = Frame(1);
  frame.target.version = VersionId("4");
  add("other version", FrameVerdict::kMismatch, true, frame);
  frame = Frame(3);
  frame.text = "other";
  add("other text at a held index", FrameVerdict::kMismatch, true, frame);
  add("end before a held token", FrameVerdict::kMismatch, true, Frame(2, true));
  add("far ahead", FrameVerdict::kOverflow, false, Frame(9));
  for (const Case& c : cases) {
    INFO(c.name);
    StreamAssembler assembler = Started(2);
    REQUIRE(assembler.OnFrame(Frame(0)) == FrameVerdict::kAccepted);
    assembler.Take();
    REQUIRE(assembler.OnFrame(Frame(3)) == FrameVerdict::kAccepted);
    if (c.verdict == FrameVerdict::kOverflow) assembler.OnFrame(Frame(4));
    CHECK(assembler.OnFrame(c.frame) == c.verdict);
    CHECK(assembler.Void() == c.void_after);
    CHECK_FALSE(assembler.Whole());
  }
}

TEST_CASE("Any order and duplication of frames gives the answer once",
          "[stream]") {
  constexpr std::uint64_t kTokens = 20;
  for (std::uint64_t seed = 1; seed <= 500; ++seed) {
    pcg32 random(seed);
    std::vector<TokenFrame> frames;
    for (std::uint64_t i = 0; i < kTokens; ++i) frames.push_back(Frame(i));
    frames.push_back(Frame(kTokens, true));
    for (int i = 0; i < 5; ++i) frames.push_back(frames[random(kTokens + 1)]);
    std::shuffle(frames.begin(), frames.end(), random);
    const bool cut = random(2) == 0;
    const TokenIndex lost(random(kTokens));
    StreamAssembler assembler = Started(kTokens);
    std::vector<std::string> taken;
    for (const TokenFrame& frame : frames) {
      if (cut && !frame.done && frame.index == lost) continue;
      assembler.OnFrame(frame);
      for (std::string& text : assembler.Take()) taken.push_back(text);
    }
    INFO("seed " << seed);
    REQUIRE(assembler.Whole() == !cut);
    REQUIRE(taken.size() == (cut ? lost.value() : kTokens));
    for (std::size_t i = 0; i < taken.size(); ++i) {
      REQUIRE(taken[i] == "t" + std::to_string(i));
    }
  }
}

TEST_CASE("An answer goes on only where it was begun", "[stream]") {
  StreamAssembler assembler = Started();
  CHECK(assembler.CanAttempt(InstanceId("i2")));
  assembler.OnFrame(Frame(0));
  assembler.OnFrame(Frame(2));
  assembler.Take();
  CHECK_FALSE(assembler.CanAttempt(InstanceId("i2")));
  CHECK_THROWS_AS(assembler.StartAttempt(AttemptNumber(2), InstanceId("i2")),
                  std::logic_error);
  CHECK(assembler.StartAttempt(AttemptNumber(2), kInstance) == TokenIndex(1));
  CHECK(assembler.OnFrame(Frame(1)) == FrameVerdict::kForeign);
  TokenFrame frame = Frame(1);
  frame.attempt = AttemptNumber(2);
  CHECK(assembler.OnFrame(frame) == FrameVerdict::kAccepted);
  CHECK(assembler.Take() == std::vector<std::string>{"t1", "t2"});
}

TEST_CASE("A new attempt elsewhere starts the answer afresh", "[stream]") {
  StreamAssembler assembler = Started();
  assembler.OnFrame(Frame(1));
  assembler.OnFrame(Frame(2, true));
  assembler.StartAttempt(AttemptNumber(2), InstanceId("i2"));
  TokenFrame frame = Frame(0);
  frame.attempt = AttemptNumber(2);
  frame.instance = InstanceId("i2");
  assembler.OnFrame(frame);
  CHECK(assembler.Take() == std::vector<std::string>{"t0"});
  CHECK_FALSE(assembler.Whole());
}

TEST_CASE("A caller that reconnects gets every event after its last one",
          "[stream]") {
  ResumeOptions options;
  options.max_streams = 2;
  options.max_stream_bytes = 8;
  ResumeTable table(options);
  table.Open(kRequest, TimeMs(0));
  for (int i = 0; i < 4; ++i) {
    table.Append(kRequest, "t" + std::to_string(i), TimeMs(0));
  }
  ResumeAnswer answer = table.Resume(kRequest, TokenIndex(2));
  CHECK(answer.status == ResumeStatus::kOk);
  CHECK(answer.events == std::vector<std::string>{"t2", "t3"});
  CHECK_FALSE(answer.whole);
  table.Append(kRequest, "t4", TimeMs(10));
  CHECK(table.Resume(kRequest, TokenIndex(0)).status == ResumeStatus::kGap);
  CHECK(table.Resume(kRequest, TokenIndex(6)).status == ResumeStatus::kGap);
  table.Close(kRequest, TimeMs(10));
  answer = table.Resume(kRequest, TokenIndex(5));
  CHECK(answer.status == ResumeStatus::kOk);
  CHECK(answer.whole);

  table.Open(RequestId("r2"), TimeMs(20));
  table.Open(RequestId("r3"), TimeMs(30));
  CHECK(table.size() == 2);
  CHECK(table.Resume(kRequest, TokenIndex(5)).status ==
        ResumeStatus::kUnknownStream);
  table.Drop(RequestId("r2"));
  table.Tick(TimeMs(30) + options.hold);
  CHECK(table.size() == 0);
}

TEST_CASE("An answer is resumed at the caller's place", "[stream]") {
  StreamAssembler assembler =
      StreamAssembler::Resumed(kRequest, kTarget, kInstance, TokenIndex(2), 16);
  CHECK_FALSE(assembler.CanAttempt(InstanceId("i2")));
  REQUIRE(assembler.StartAttempt(AttemptNumber(1), kInstance) == TokenIndex(2));
  CHECK(assembler.OnFrame(Frame(1)) == FrameVerdict::kDuplicate);
  CHECK(assembler.OnFrame(Frame(2)) == FrameVerdict::kAccepted);
  CHECK(assembler.Take() == std::vector<std::string>{"t2"});
  CHECK(assembler.OnFrame(Frame(3, true)) == FrameVerdict::kAccepted);
  CHECK(assembler.Whole());
}

TEST_CASE("Two writers of one stream add each event once", "[stream]") {
  ResumeTable table{ResumeOptions()};
  table.Open(kRequest, TimeMs(0), TokenIndex(1));
  for (const std::uint64_t index : {1U, 2U, 1U, 2U, 3U, 5U}) {
    const std::string text = "t" + std::to_string(index);
    table.AppendAt(kRequest, TokenIndex(index), text, TimeMs(0));
  }
  CHECK(table.Resume(kRequest, TokenIndex(0)).status == ResumeStatus::kGap);
  CHECK(table.Resume(kRequest, TokenIndex(1)).events ==
        std::vector<std::string>{"t1", "t2", "t3"});
}

}  // namespace yuccamoor

/// \file
/// \brief Tests of logs, traces and metrics.

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/observability/log_event.h"
#include "yuccamoor/transport/observability/metrics.h"
#include "yuccamoor/transport/observability/tracer.h"

namespace yuccamoor {
namespace {

constexpr const char* kParent =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Keeps spans in memory.
class MemoryExporter final : public SpanExporter {
 public:
  void Export(SpanRecord span) override { spans.push_back(std::move(span)); }
  std::uint64_t dropped() const override { return 0; }

  std::vector<SpanRecord> spans;
};

}  // namespace

TEST_CASE("A field's value cannot break its line", "[log]") {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"plain-1.2:3/a@b", "k=plain-1.2:3/a@b"},
      {"", R"(k="")"},
      {"two words", R"(k="two words")"},
      {"a=b", R"(k="a=b")"},
      {"say \"x\"\\", R"(k="say \"x\"\\")"},
      {"line\nevent=forged", R"(k="line\nevent=forged")"},
      {"\x01", R"(k="\x01")"},
  };
  for (const auto& [value, line] : cases) {
    std::string text;
    AppendLogField(text, "k", value);
    CHECK(text == line);
  }
}

TEST_CASE("A flood of one event is sampled and counted", "[log]") {
  LogSampler sampler(2);
  const TimeMs now(5'000);
  CHECK(sampler.Decide("flood", now).log);
  CHECK(sampler.Decide("flood", now).log);
  for (int i = 0; i < 10; ++i) CHECK_FALSE(sampler.Decide("flood", now).log);
  CHECK(sampler.Decide("other_event", now).log);
  const auto later = sampler.Decide("flood", now + DurationMs(1'000));
  CHECK(later.log);
  CHECK(later.suppressed == 10);
  CHECK(sampler.Decide("flood", now + DurationMs(1'000)).suppressed == 0);
}

TEST_CASE("A traceparent is read by the standard's rules", "[trace]") {
  const auto parsed = ParseTraceparent(kParent);
  REQUIRE(parsed.has_value());
  CHECK(parsed->sampled);
  CHECK(FormatTraceparent(*parsed) == kParent);
  const std::string text = kParent;
  const std::vector<std::string> malformed = {
      "",
      text.substr(1),
      text + "-",
      "ff" + text.substr(2),
      "00-00000000000000000000000000000000-b7ad6b7169203331-01",
      "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
      "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
      "00_0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
  };
  for (const std::string& header : malformed) {
    INFO(header);
    CHECK_FALSE(ParseTraceparent(header).has_value());
  }
  CHECK(ParseTraceparent("01" + text.substr(2) + "-later").has_value());
  CHECK_FALSE(ParseTraceparent(text.substr(0, 53) + "00")->sampled);
}

TEST_CASE("Spans of one trace hang together", "[trace]") {
  MemoryExporter exporter;
  const Tracer tracer(&exporter, 1);
  {
    Span server =
        tracer.Start("request", SpanKind::kServer, ParseTraceparent(kParent));
    Span client = tracer.Start("generate", SpanKind::kClient, server.context());
    client.Attribute("adapter", AdapterId("chat"));
    client.Fail("timeout");
    client.End();
    client.End();
  }
  REQUIRE(exporter.spans.size() == 2);
  const SpanRecord& client = exporter.spans[0];
  const SpanRecord& server = exporter.spans[1];
  CHECK(client.parent == server.context.span);
  CHECK(client.context.trace == server.context.trace);
  CHECK(server.parent == SpanId("b7ad6b7169203331"));
  CHECK(client.failed);
  CHECK(client.end_ns >= client.start_ns);
  const Json json = Json::parse(EncodeSpans("gateway", exporter.spans));
  const Json& span = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  CHECK(span["name"] == "generate");
  CHECK(span["attributes"][0]["value"]["stringValue"] == "chat");
  CHECK(span["status"]["code"] == 2);
}

TEST_CASE("What is not sampled is not recorded", "[trace]") {
  MemoryExporter exporter;
  const Tracer never(&exporter, 0);
  const Span root = never.Start("request", SpanKind::kServer, std::nullopt);
  CHECK_FALSE(root.context().sampled);
  const Span child = never.Start("call", SpanKind::kClient, root.context());
  CHECK(child.context().trace == root.context().trace);
  CHECK(exporter.spans.empty());
}

TEST_CASE("A full queue drops spans and counts them", "[trace]") {
  const std::string path =
      "trace_test_" + std::to_string(::getpid()) + ".jsonl";
  SpanFileOptions options;
  options.service = "gateway";
  options.path = path;
  options.queue_limit = 0;
  {
    const auto exporter = MakeFileSpanExporter(options);
    REQUIRE(exporter.has_value());
    exporter.value()->Export(SpanRecord());
    CHECK(exporter.value()->dropped() == 1);
  }
  options.queue_limit = 10;
  {
    const auto exporter = MakeFileSpanExporter(options);
    SpanRecord span;
    span.name = "kept";
    exporter.value()->Export(span);
  }
  std::ifstream file(path);
  std::string line;
  REQUIRE(std::getline(file, line));
  CHECK(line.find("kept") != std::string::npos);
  std::remove(path.c_str());
  options.path = "/nonexistent/folder/file";
  CHECK(MakeFileSpanExporter(options).has_error());
}

TEST_CASE("Metrics are rendered in the Prometheus format", "[metrics]") {
  ManualClock clock;
  MetricsRegistry registry(clock);
  registry.GetCounter("calls_total", "Calls.", {{"op", "a\"b"}}).Add(3);
  Gauge& gauge = registry.GetGauge("fill", "Fill.");
  registry.OnRender([&gauge] { gauge.Set(0.5); });
  Distribution& wait = registry.GetDistribution("wait_seconds", "Wait.");
  for (int i = 1; i <= 4; ++i) wait.Observe(i);
  CHECK(registry.Render() ==
        "# HELP calls_total Calls.\n# TYPE calls_total counter\n"
        "calls_total{op=\"a\\\"b\"} 3\n"
        "# HELP fill Fill.\n# TYPE fill gauge\nfill 0.5\n"
        "# HELP wait_seconds Wait.\n# TYPE wait_seconds summary\n"
        "wait_seconds{quantile=\"0.5\"} 2\n"
        "wait_seconds{quantile=\"0.95\"} 4\n"
        "wait_seconds{quantile=\"0.99\"} 4\n"
        "wait_seconds_sum 10\nwait_seconds_count 4\n");
  CHECK_THROWS_AS(registry.GetGauge("calls_total", "x"), std::logic_error);
  CHECK(&registry.GetCounter("calls_total", "", {{"op", "a\"b"}}) !=
        &registry.GetCounter("calls_total", "", {{"op", "c"}}));
}

TEST_CASE("Quantiles are near the exact ones and follow the minute",
          "[metrics]") {
  ManualClock clock;
  Distribution distribution(clock);
  constexpr int kValues = 10'000;
  // A permutation of 0..9999, as 7919 and 10000 share no factor.
  for (int i = 0; i < kValues; ++i) {
    distribution.Observe(static_cast<double>(i * 7919 % kValues));
  }
  CHECK(distribution.Quantile(0.5) == Approx(5'000).margin(200));
  CHECK(distribution.Quantile(0.95) == Approx(9'500).margin(200));
  CHECK(distribution.Quantile(0.99) == Approx(9'900).margin(100));
  clock.Advance(DurationMs(60'000));
  distribution.Observe(1);
  CHECK(distribution.Quantile(0.5) == Approx(5'000).margin(200));
  clock.Advance(DurationMs(60'000));
  CHECK(distribution.Quantile(0.5) == 1);
  clock.Advance(DurationMs(300'000));
  CHECK(distribution.Quantile(0.5) == 0);
  CHECK(distribution.count() == kValues + 1);
}

TEST_CASE("The number of series is bounded", "[metrics]") {
  ManualClock clock;
  MetricsRegistry registry(clock);
  for (int i = 0; i < 1'100; ++i) {
    registry.GetCounter("c_total", "C.", {{"id", std::to_string(i)}}).Add();
  }
  const Counter& overflow =
      registry.GetCounter("c_total", "C.", {{"overflow", "true"}});
  CHECK(overflow.value() == 100);
}

}  // namespace yuccamoor

/// \file
/// \brief Contract of the engine's orders, reports and streams over the HTTP
/// driver and the engine stand-in, with its fault table.

#include <catch2/catch.hpp>

#include "transport/platform/stand_in_fixture.h"
#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/protocol/sse.h"
#include "yuccamoor/standins/engine_stand_in.h"
#include "yuccamoor/standins/token_rule.h"
#include "yuccamoor/standins/weight_store_stand_in.h"
#include "yuccamoor/transport/platform/http_engine_client.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kTimeout(10'000);
const AdapterVersion kTarget{AdapterId("chat"), VersionId("1")};
const AdapterVersion kOther{AdapterId("diary"), VersionId("4")};

EngineOptions SmallEngine() {
  EngineOptions options;
  options.worker = WorkerId("w1");
  options.slots = 1;
  options.token_time = DurationMs(1);
  return options;
}

/// An engine and a weight store with a driver.
struct Cell {
  StandInHost host;
  std::string store;
  std::string engine;
  SteadyClock clock;
  std::unique_ptr<HttpEngineClient> driver;

  explicit Cell(const EngineOptions& options = SmallEngine())
      : store(host.Serve(std::make_shared<WeightStoreStandIn>(FastStore()))),
        engine(host.Serve(std::make_shared<EngineStandIn>(
            host.pool(), host.client(), options, store))),
        driver(HttpEngineClient::Create(host.pool(), host.client(), clock)) {}

  static WeightStoreOptions FastStore() {
    WeightStoreOptions options;
    options.load_time = DurationMs(1);
    return options;
  }

  OrderStatus Order(OrderKind kind, const AdapterVersion& target,
                    std::uint64_t epoch = 1,
                    TimeMs send_before = TimeMs::Never()) {
    EngineOrder order;
    order.cell = CellId("cell");
    order.epoch = Epoch(epoch);
    order.number = OrderNumber(++m_orders);
    order.kind = kind;
    order.worker = WorkerId("w1");
    order.target = target;
    return Await<OrderResult>([&](auto done) {
             driver->Order(engine, order, send_before, kTimeout,
                           std::move(done));
           })
        .status;
  }

  OrderStatus Load(const AdapterVersion& target, std::uint64_t epoch = 1) {
    return Order(OrderKind::kLoad, target, epoch);
  }

  std::optional<EngineReport> Report() {
    return Await<std::optional<EngineReport>>(
        [&](auto done) { driver->Report(engine, kTimeout, std::move(done)); });
  }

  HttpReply Generate(const std::string& id, std::uint32_t tokens,
                     std::uint32_t resume_from = 0, std::uint32_t attempt = 1) {
    GenerateRequest request;
    request.request_id = RequestId(id);
    request.attempt = attempt;
    request.target = kTarget;
    request.prompt = "hello";
    request.max_tokens = tokens;
    request.resume_from = resume_from;
    return host.Call(engine, "POST", "/v1/generate",
                     EncodeGenerateRequest(request));
  }

  Json Counters() { return host.CallJson(engine, "GET", "/counters"); }

 private:
  std::uint64_t m_orders = 0;
};

/// Returns the tokens of a whole answer, or nothing if it is not one.
std::optional<std::string> AnswerOf(const HttpReply& reply) {
  SseParser parser;
  std::string answer;
  for (const SseEvent& sse : parser.Feed(reply.response.body)) {
    const auto event = DecodeTokenEvent(sse.data);
    if (!event || event->target != kTarget) return std::nullopt;
    if (event->done) return answer;
    answer += event->token;
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("Orders load and evict, and say why they did not", "[engine]") {
  Cell cell;
  CHECK(cell.Generate("r0", 1).response.status == 409);
  CHECK(cell.Load(kTarget) == OrderStatus::kDone);
  CHECK(cell.Load(kTarget) == OrderStatus::kDone);
  CHECK(cell.Load(kOther) == OrderStatus::kNoSlot);
  CHECK(cell.Order(OrderKind::kEvict, kOther) == OrderStatus::kFailed);
  CHECK(cell.Order(OrderKind::kEvict, kTarget) == OrderStatus::kDone);
  CHECK(cell.Load(kOther) == OrderStatus::kDone);
  CHECK(cell.Counters().at("evictions_in_use") == 0);
}

TEST_CASE("Orders under faults", "[engine]") {
  Cell cell;
  SECTION("the time to send has passed") {
    CHECK(cell.Order(OrderKind::kLoad, kTarget, 1, cell.clock.Now()) ==
          OrderStatus::kNotSent);
    CHECK(cell.Counters().at("loads_done") == 0);
  }
  SECTION("the answer is lost after the effect") {
    cell.host.SetFaults(cell.engine, R"({"lose_answer":1})");
    CHECK(cell.Load(kTarget) == OrderStatus::kUnknown);
    CHECK(cell.Counters().at("loads_done") == 1);
  }
  SECTION("the store fails") {
    cell.host.SetFaults(cell.store, R"({"fail_next":1})");
    CHECK(cell.Load(kTarget) == OrderStatus::kFailed);
    CHECK(cell.Load(kTarget) == OrderStatus::kDone);
  }
  SECTION("the engine refuses calls") {
    cell.host.SetFaults(cell.engine, R"({"down":true})");
    CHECK(cell.Load(kTarget) == OrderStatus::kUnknown);
    CHECK_FALSE(cell.Report().has_value());
  }
  SECTION("nothing listens") {
    cell.engine = "127.0.0.1:1";
    CHECK(cell.Load(kTarget) == OrderStatus::kNotSent);
  }
}

TEST_CASE("An old epoch is refused only by engines that check", "[engine]") {
  for (const bool checks : {true, false}) {
    EngineOptions options = SmallEngine();
    options.check_epoch = checks;
    Cell cell(options);
    CHECK(cell.Load(kTarget, 7) == OrderStatus::kDone);
    CHECK(cell.Order(OrderKind::kEvict, kTarget, 6) ==
          (checks ? OrderStatus::kStaleEpoch : OrderStatus::kDone));
    CHECK(cell.Counters().at("stale_orders") == 1);
  }
}

TEST_CASE("An answer is whole and by the right target", "[engine]") {
  Cell cell;
  REQUIRE(cell.Load(kTarget) == OrderStatus::kDone);
  CHECK(AnswerOf(cell.Generate("r1", 5)) ==
        ExpectedAnswer(kTarget, "hello", 5));
  CHECK(AnswerOf(cell.Generate("r1", 5)) ==
        ExpectedAnswer(kTarget, "hello", 5));
  CHECK(cell.Counters().at("streams_started") == 1);
}

TEST_CASE("A cut stream goes on and can be resumed", "[engine]") {
  Cell cell;
  REQUIRE(cell.Load(kTarget) == OrderStatus::kDone);
  cell.host.SetFaults(cell.engine, R"({"lose_answer":1})");
  CHECK(cell.Generate("r1", 5).progress == HttpProgress::kNoAnswer);
  const auto rest = AnswerOf(cell.Generate("r1", 5, 2));
  const std::string whole = ExpectedAnswer(kTarget, "hello", 5);
  const std::string first = ExpectedAnswer(kTarget, "hello", 2);
  CHECK(rest == whole.substr(first.size()));
  CHECK(cell.Generate("unknown", 5, 2).response.status == 404);
}

TEST_CASE("The engine counts an eviction that cuts a stream", "[engine]") {
  EngineOptions options = SmallEngine();
  options.token_time = DurationMs(5);
  Cell cell(options);
  REQUIRE(cell.Load(kTarget) == OrderStatus::kDone);
  auto stream = std::async(std::launch::async,
                           [&] { return cell.Generate("r1", 1'000'000); });
  while (cell.Counters().at("streams_started") == 0) {
  }
  SECTION("evicted") {
    CHECK(cell.Order(OrderKind::kEvict, kTarget) == OrderStatus::kDone);
    CHECK(stream.get().progress == HttpProgress::kNoAnswer);
    CHECK(cell.Counters().at("evictions_in_use") == 1);
  }
  SECTION("cancelled") {
    cell.host.Call(cell.engine, "POST", "/v1/cancel", R"({"request_id":"r1"})");
    CHECK(stream.get().progress == HttpProgress::kNoAnswer);
    CHECK(cell.Order(OrderKind::kEvict, kTarget) == OrderStatus::kDone);
    CHECK(cell.Counters().at("evictions_in_use") == 0);
  }
  SECTION("cancelled by an earlier attempt than the latest") {
    auto follower = std::async(std::launch::async,
                               [&] { return cell.Generate("r1", 9, 1, 2); });
    const auto cancel = [&](int by) {
      const Json body{{"request_id", "r1"}, {"attempt", by}};
      return cell.host.Call(cell.engine, "POST", "/v1/cancel", body.dump())
          .response.body;
    };
    while (cell.Counters().at("attempts_joined") == 0) {
    }
    CHECK(cancel(1) == R"({"cancelled":false})");
    CHECK(cancel(2) == R"({"cancelled":true})");
    CHECK(follower.get().progress == HttpProgress::kNoAnswer);
    CHECK(cell.Generate("r1", 5, 2).response.status == 404);
    CHECK(AnswerOf(cell.Generate("r1", 5)).has_value());
    stream.get();
  }
  SECTION("restarted empty") {
    const Json before = cell.Counters();
    cell.host.SetFaults(cell.engine, R"({"restart":true})");
    CHECK(stream.get().progress == HttpProgress::kNoAnswer);
    CHECK(cell.Counters().at("instance") != before.at("instance"));
    CHECK(cell.Generate("r2", 1).response.status == 409);
  }
}

TEST_CASE("Reports name residents and come with gaps", "[engine]") {
  Cell cell;
  REQUIRE(cell.Load(kTarget) == OrderStatus::kDone);
  std::optional<EngineReport> report = cell.Report();
  while (!report || report->residents.empty()) report = cell.Report();
  CHECK(report->worker == WorkerId("w1"));
  CHECK(report->residents[0].target == kTarget);
  cell.host.SetFaults(cell.engine, R"({"skip_reports":1})");
  CHECK_FALSE(cell.Report().has_value());
  auto later = cell.Report();
  while (!later || later->sequence == report->sequence) later = cell.Report();
  CHECK(later->sequence > report->sequence);
}

TEST_CASE("The batch is filled by priority and then by arrival", "[engine]") {
  EngineOptions options = SmallEngine();
  options.batch = 1;
  EngineCore core(options, InstanceId("i"));
  EngineOrder load;
  load.target = kTarget;
  core.TakeOrder(load);
  core.EndLoad(kTarget, InstanceId("i"), true);
  const auto start = [&](const std::string& id, Priority priority) {
    GenerateRequest request;
    request.request_id = RequestId(id);
    request.target = kTarget;
    request.max_tokens = 1;
    request.priority = priority;
    return core.Generate(request).second;
  };
  const std::vector<EngineStreamPtr> in_order_of_end = [&] {
    const auto summary = start("summary", Priority::kBackground);
    const auto chat = start("chat", Priority::kInteractive);
    const auto later_chat = start("later", Priority::kInteractive);
    const auto booking = start("booking", Priority::kNormal);
    return std::vector{chat, later_chat, booking, summary};
  }();
  for (std::size_t i = 0; i < in_order_of_end.size(); ++i) {
    core.Step(TimeMs(static_cast<std::int64_t>(i)));
    for (std::size_t k = 0; k < in_order_of_end.size(); ++k) {
      const bool finished = in_order_of_end[k]->phase == StreamPhase::kFinished;
      CHECK(finished == (k <= i));
    }
  }
}

TEST_CASE("A report is as old as the lag", "[engine]") {
  EngineOptions options = SmallEngine();
  options.report_lag = DurationMs(100);
  EngineCore core(options, InstanceId("i"));
  core.Step(TimeMs(1'000));
  CHECK_FALSE(core.Report(TimeMs(1'099)).has_value());
  EngineOrder order;
  order.target = kTarget;
  core.TakeOrder(order);
  core.EndLoad(kTarget, InstanceId("i"), true);
  core.Step(TimeMs(1'010));
  CHECK(core.Report(TimeMs(1'109)).value().residents.empty());
  const auto report = core.Report(TimeMs(1'115));
  REQUIRE(report.has_value());
  CHECK(report->residents.size() == 1);
  CHECK(report->age == DurationMs(105));
}

}  // namespace yuccamoor

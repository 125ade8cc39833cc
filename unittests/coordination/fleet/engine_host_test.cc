/// \file
/// \brief Tests of the orders that EngineHost plans for one engine.

#include "yuccamoor/coordination/fleet/engine_host.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

// Executes orders as the platform's engines do. A test can drop the answer of
// an order or execute it late.
class FakeEngine {
 public:
  explicit FakeEngine(std::uint32_t slots) : m_slots(slots) {}

  OrderOutcome Execute(const EngineOrder& order) {
    if (order.expected_accepted != m_accepted_orders)
      return OrderOutcome::kConflict;
    // An order that is already pending is accepted but not counted again.
    if (order.load && m_replacing.contains(order.adapter)) {
      return OrderOutcome::kAccepted;
    }
    const auto held = m_adapters.find(order.adapter);
    if (order.load && held != m_adapters.end() &&
        held->second >= order.version) {
      return m_loading.contains(order.adapter) ? OrderOutcome::kAccepted
                                               : OrderOutcome::kDone;
    }
    ++m_accepted_orders;
    if (order.load && m_busy.contains(order.adapter)) {
      m_replacing[order.adapter] = order.version;
      return OrderOutcome::kAccepted;
    }
    if (order.load) {
      m_adapters[order.adapter] = order.version;
      m_max_adapters = std::max(m_max_adapters, m_adapters.size());
      return OrderOutcome::kAccepted;
    }
    if (m_busy.contains(order.adapter)) return OrderOutcome::kAccepted;
    m_adapters.erase(order.adapter);
    return OrderOutcome::kDone;
  }

  // Loads of this adapter stay incomplete until FinishLoad.
  void HoldUpLoad(const AdapterRef& adapter) { m_loading[adapter] = {}; }
  void FinishLoad(const AdapterRef& adapter) { m_loading.erase(adapter); }

  void SetBusy(const AdapterRef& adapter) { m_busy[adapter] = {}; }
  void EndRuns(const AdapterRef& adapter) {
    m_busy.erase(adapter);
    m_adapters.erase(adapter);
    const auto newer = m_replacing.find(adapter);
    if (newer == m_replacing.end()) return;
    m_adapters.insert(*newer);
    m_replacing.erase(newer);
  }

  EngineReport Report() const {
    EngineReport report;
    report.start_unix_ms = 1;
    report.orders_accepted = m_accepted_orders;
    report.models = {kModel};
    report.adapters = m_adapters;
    return report;
  }

  bool IsOverCommitted() const { return m_max_adapters > m_slots; }
  std::size_t adapter_count() const { return m_adapters.size(); }

 private:
  std::uint32_t m_slots;
  std::uint64_t m_accepted_orders = 0;
  AdapterSet m_adapters;
  AdapterSet m_busy;
  AdapterSet m_loading;
  // Versions that wait for the runs of older versions to end.
  AdapterSet m_replacing;
  std::size_t m_max_adapters = 0;
};

constexpr std::uint32_t kSlots = 3;
const NodeId kNode("n1");

EngineHost MakeHost() {
  EngineHostOptions options;
  options.adapter_slots = kSlots;
  options.model = kModel;
  return EngineHost(options, Epoch(7), TimeMs(0));
}

FleetConditions MakeConditions(std::uint32_t loads_elsewhere) {
  return {loads_elsewhere, loads_elsewhere, DurationMs(250), DurationMs(60)};
}

LoadRequest MakeRequest(const std::string& name, std::uint32_t demand = 1) {
  LoadRequest request;
  request.adapter = Adapter(name);
  request.requester = kNode;
  request.demand = demand;
  return request;
}

// Polls every 10 ms for the given time and performs the requested actions.
void Run(EngineHost& host, FakeEngine& engine, TimeMs& now, DurationMs time,
         std::vector<LoadNotice>* notices = nullptr) {
  const TimeMs end = now + time;
  for (; now < end; now = now + DurationMs(10)) {
    EngineHostActions actions = host.Poll(now, MakeConditions(0));
    if (notices) {
      notices->insert(notices->end(), actions.notices.begin(),
                      actions.notices.end());
    }
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (actions.order) host.OnOrderOutcome(engine.Execute(*actions.order), now);
  }
}

// Fills the engine's slots with the adapters a1, a2 and a3.
void FillSlots(EngineHost& host, FakeEngine& engine, TimeMs& now) {
  for (const char* name : {"a1", "a2", "a3"}) {
    host.Request(MakeRequest(name), now);
    Run(host, engine, now, DurationMs(400));
  }
}

bool Holds(const EngineHost& host, const std::string& name) {
  return host.Resident().contains(Adapter(name));
}

}  // namespace

TEST_CASE("An adapter is loaded and its requester told", "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  std::vector<LoadNotice> notices;
  host.Request(MakeRequest("a1"), now);
  Run(host, engine, now, DurationMs(400), &notices);
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].adapter == Adapter("a1"));
  CHECK(notices[0].requester == kNode);
  CHECK(Holds(host, "a1"));
}

// Requests were sent when a load was expected to be complete, which it was not.
TEST_CASE("A load that takes longer than expected is not told as complete",
          "[fleet][engine][load]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  std::vector<LoadNotice> notices;
  engine.HoldUpLoad(Adapter("a1"));
  host.Request(MakeRequest("a1"), now);
  Run(host, engine, now, DurationMs(900), &notices);
  CHECK(notices.empty());
  CHECK_FALSE(Holds(host, "a1"));
  CHECK(host.loads_in_flight() == 1);
  engine.FinishLoad(Adapter("a1"));
  Run(host, engine, now, DurationMs(150), &notices);
  CHECK(notices.size() == 1);
  CHECK(Holds(host, "a1"));
  // The repeated orders were not counted: the next one does not conflict.
  host.Request(MakeRequest("a2"), now);
  Run(host, engine, now, DurationMs(350), &notices);
  CHECK(Holds(host, "a2"));
}

TEST_CASE("No order is given before its time", "[fleet][engine]") {
  EngineHostOptions options;
  options.adapter_slots = kSlots;
  options.model = kModel;
  EngineHost host(options, Epoch(7), TimeMs(4'650));
  host.Request(MakeRequest("a1"), TimeMs(0));
  for (TimeMs now(0); now < TimeMs(4'650); now = now + DurationMs(50)) {
    const EngineHostActions actions = host.Poll(now, MakeConditions(0));
    CHECK_FALSE(actions.order);
    CHECK_FALSE(actions.fetch_report);
  }
}

TEST_CASE("A full engine unloads what is used least and not in use",
          "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillSlots(host, engine, now);
  host.OnUsed(Adapter("a1"), 5, now);
  host.OnUsed(Adapter("a3"), 4, now);
  Run(host, engine, now, DurationMs(1'000));
  host.Request(MakeRequest("a4"), now);
  Run(host, engine, now, DurationMs(500));
  CHECK(Holds(host, "a4"));
  CHECK(Holds(host, "a1"));
  CHECK_FALSE(Holds(host, "a2"));
  CHECK_FALSE(engine.IsOverCommitted());
}

TEST_CASE("A load into a full engine does not wait for an unload",
          "[fleet][engine][load]") {
  // Load pattern: thousands of adapters share an engine's few slots, and a
  // client waits for each load.
  constexpr std::uint32_t kManySlots = 16;
  EngineHostOptions options;
  options.adapter_slots = kManySlots;
  options.model = kModel;
  EngineHost host(options, Epoch(7), TimeMs(0));
  FakeEngine engine(kManySlots);
  TimeMs now(0);
  for (int i = 0; i < 40; ++i) {
    const std::string name = "a" + std::to_string(i);
    host.Request(MakeRequest(name), now);
    Run(host, engine, now, DurationMs(320));
    CAPTURE(name);
    CHECK(Holds(host, name));
    Run(host, engine, now, DurationMs(300));
  }
  CHECK_FALSE(engine.IsOverCommitted());
}

TEST_CASE("A request that was on its way keeps a retired adapter",
          "[fleet][engine]") {
  // An unload would wait for the run of this request, and the engine carries
  // out no other unload meanwhile.
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillSlots(host, engine, now);
  Run(host, engine, now, DurationMs(1'000));
  host.Request(MakeRequest("a4"), now);
  Run(host, engine, now, DurationMs(30));
  std::string retired;
  for (const char* name : {"a1", "a2", "a3"}) {
    if (!Holds(host, name)) retired = name;
  }
  REQUIRE_FALSE(retired.empty());
  // Sent by a node that had not yet received the announcement.
  host.OnUsed(Adapter(retired), 0, now);
  Run(host, engine, now, DurationMs(300));
  CHECK(Holds(host, retired));
}

TEST_CASE("An older version in use is not replaced", "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  LoadRequest request = MakeRequest("a1");
  request.version = AdapterRevision(1);
  host.Request(request, now);
  Run(host, engine, now, DurationMs(400));
  request.version = AdapterRevision(2);
  CHECK_FALSE(host.CanLoadNow(request.adapter, request.version, now));
  host.Request(request, now);
  for (int i = 0; i < 10; ++i) {
    host.OnUsed(Adapter("a1"), 0, now);
    Run(host, engine, now, DurationMs(200));
  }
  CHECK(host.Resident()[Adapter("a1")] == AdapterRevision(1));
  Run(host, engine, now, DurationMs(1'500));
  CHECK(host.Resident()[Adapter("a1")] == AdapterRevision(2));
}

TEST_CASE("An adapter in use is not unloaded", "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillSlots(host, engine, now);
  host.Request(MakeRequest("a4"), now);
  const TimeMs end = now + DurationMs(2'000);
  while (now < end) {
    for (const char* name : {"a1", "a2", "a3"}) {
      host.OnUsed(Adapter(name), 0, now);
    }
    Run(host, engine, now, DurationMs(200));
  }
  CHECK_FALSE(Holds(host, "a4"));
}

TEST_CASE("The place of an adapter with runs stays taken until they end",
          "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillSlots(host, engine, now);
  for (const char* name : {"a1", "a2", "a3"}) engine.SetBusy(Adapter(name));
  Run(host, engine, now, DurationMs(1'000));
  host.Request(MakeRequest("a4"), now);
  Run(host, engine, now, DurationMs(1'000));
  CHECK_FALSE(Holds(host, "a4"));
  CHECK_FALSE(engine.IsOverCommitted());
  for (const char* name : {"a1", "a2", "a3"}) engine.EndRuns(Adapter(name));
  host.Request(MakeRequest("a4"), now);
  Run(host, engine, now, DurationMs(2'000));
  // Guards against an engine that stays blocked forever because no reports are
  // fetched after an unload that waits for runs.
  CHECK(Holds(host, "a4"));
  CHECK_FALSE(engine.IsOverCommitted());
}

TEST_CASE("A replacement that waits for runs holds up no other load",
          "[fleet][engine][load]") {
  // Load pattern: a newer version of a busy adapter is published, and an engine
  // that still runs streams on the older version is ordered to replace it.
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  LoadRequest busy = MakeRequest("busy");
  busy.version = AdapterRevision(1);
  host.Request(busy, now);
  Run(host, engine, now, DurationMs(800));
  engine.SetBusy(Adapter("busy"));

  busy.version = AdapterRevision(2);
  host.Request(busy, now);
  std::vector<LoadNotice> notices;
  for (int i = 0; i < 20; ++i) {
    host.Request(busy, now);
    if (i == 8) host.Request(MakeRequest("other"), now);
    Run(host, engine, now, DurationMs(100), &notices);
  }
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().adapter == Adapter("other"));
  CHECK_FALSE(host.Resident().contains(Adapter("busy")));

  engine.EndRuns(Adapter("busy"));
  Run(host, engine, now, DurationMs(800), &notices);
  CHECK(host.Resident()[Adapter("busy")] == AdapterRevision(2));
  CHECK(notices.back().adapter == Adapter("busy"));
}

TEST_CASE("The adapter that most requests wait for is loaded first",
          "[fleet][engine][load]") {
  // Load pattern: right after all engines were lost, every request needs a
  // load, and the weight store's rate limits which requests are served.
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(MakeRequest("rare1"), now);
  host.Request(MakeRequest("rare2"), now);
  host.Request(MakeRequest("busy", 9), now);
  const EngineHostActions actions = host.Poll(now, MakeConditions(8));
  REQUIRE(actions.order);
  CHECK(actions.order->adapter == Adapter("busy"));
}

TEST_CASE("One load at a time while the weight store is at its rate",
          "[fleet][engine][load]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(MakeRequest("a1"), now);
  host.Request(MakeRequest("a2"), now);
  EngineHostActions first = host.Poll(now, MakeConditions(8));
  REQUIRE(first.order);
  host.OnOrderOutcome(engine.Execute(*first.order), now);
  CHECK_FALSE(host.Poll(now, MakeConditions(8)).order);
  CHECK(host.Poll(now, MakeConditions(2)).order);
}

TEST_CASE("A faster weight store serves more loads at full speed",
          "[fleet][engine][load]") {
  // Load pattern: sixty engines load at once. Nodes that assume a slow weight
  // store would leave each engine idle for seconds after a load that took 0.3
  // s.
  CHECK(FullSpeedLoads(0) == 8);
  CHECK(FullSpeedLoads(2.6) == 8);
  CHECK(FullSpeedLoads(19) == 47);
  EngineHostOptions options;
  options.adapter_slots = 18;
  options.model = kModel;
  options.full_speed_loads = FullSpeedLoads(19);
  EngineHost host(options, Epoch(7), TimeMs(0));
  FakeEngine engine(18);
  TimeMs now(0);
  for (int i = 0; i < 12; ++i)
    host.Request(MakeRequest("a" + std::to_string(i)), now);
  const TimeMs end(4'000);
  for (; now < end; now = now + DurationMs(10)) {
    const EngineHostActions actions = host.Poll(now, MakeConditions(45));
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (actions.order) host.OnOrderOutcome(engine.Execute(*actions.order), now);
  }
  CHECK(engine.adapter_count() == 12);
}

TEST_CASE("The estimate grows with the loads ahead", "[fleet][engine][load]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  const DurationMs first = host.Request(MakeRequest("a1"), now);
  for (int i = 2; i < 12; ++i)
    host.Request(MakeRequest("a" + std::to_string(i)), now);
  const DurationMs last = host.Request(MakeRequest("a12"), now);
  CHECK(first < DurationMs(300));
  CHECK(last > DurationMs(2'500));
}

TEST_CASE(
    "An order without an answer may still take effect: no engine is "
    "ordered beyond its places",
    "[fleet][engine]") {
  // Every third answer is lost. Of these orders, every second one takes effect
  // at once, the others after the next order that is answered.
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  std::optional<EngineOrder> late;
  int sent = 0;
  for (TimeMs now(0); now < TimeMs(60'000); now = now + DurationMs(10)) {
    const auto name_index = static_cast<int>(now.ms() / 170) % 11;
    host.Request(MakeRequest("a" + std::to_string(name_index)), now);
    EngineHostActions actions = host.Poll(now, MakeConditions(0));
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (!actions.order) continue;
    ++sent;
    if (sent % 3 != 0) {
      host.OnOrderOutcome(engine.Execute(*actions.order), now);
      if (late) engine.Execute(*late);
      late.reset();
      continue;
    }
    if (sent % 2 == 0) {
      engine.Execute(*actions.order);
    } else {
      late = actions.order;
    }
    host.OnOrderOutcome(OrderOutcome::kUnknown, now);
  }
  CHECK(sent > 100);
  CHECK_FALSE(engine.IsOverCommitted());
}

TEST_CASE("An engine that starts anew is read before it is ordered",
          "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  host.Request(MakeRequest("a1"), now);
  Run(host, engine, now, DurationMs(400));
  host.OnEngineRestart(now);
  CHECK(host.Resident().empty());
  host.Request(MakeRequest("a2"), now);
  const EngineHostActions actions = host.Poll(now, MakeConditions(0));
  CHECK_FALSE(actions.order);
}

TEST_CASE("An engine without the model gets it first", "[fleet][engine]") {
  EngineHost host = MakeHost();
  host.Request(MakeRequest("a1"), TimeMs(0));
  REQUIRE(host.Poll(TimeMs(0), MakeConditions(0)).fetch_report);
  EngineReport empty;
  host.OnReport(empty, TimeMs(5));
  CHECK_FALSE(host.can_load());
  const EngineHostActions actions = host.Poll(TimeMs(10), MakeConditions(0));
  REQUIRE(actions.order);
  CHECK(actions.order->adapter == AdapterRef{kModel, ""});
}

TEST_CASE("A report right after an order does not count it",
          "[fleet][engine]") {
  EngineHost host = MakeHost();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(MakeRequest("a1"), now);
  Run(host, engine, now, DurationMs(400));
  host.Request(MakeRequest("a2"), now);
  EngineHostActions actions = host.Poll(now, MakeConditions(0));
  REQUIRE(actions.order);
  host.OnOrderOutcome(engine.Execute(*actions.order), now);
  // Repeated misses make the host read the engine's state again, but not at
  // once.
  for (int i = 0; i < 20; ++i) {
    host.OnMissing(Adapter("a1"), now);
    host.Poll(now + DurationMs(100), MakeConditions(0));
  }
  CHECK_FALSE(host.Poll(now + DurationMs(200), MakeConditions(0)).fetch_report);
}

}  // namespace yuccamoor::fleet

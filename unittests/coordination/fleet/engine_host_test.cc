/// \file
/// \brief Tests of the orders that the holder of one engine gives.

#include "yuccamoor/coordination/fleet/engine_host.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "coordination/fleet/fleet_fakes.h"

namespace yuccamoor::fleet {
namespace {

// An engine that carries orders out as the platform's do, with answers that
// can be lost and effects that can come late.
class FakeEngine {
 public:
  explicit FakeEngine(std::uint32_t slots) : m_slots(slots) {}

  OrderEnd Take(const EngineOrder& order) {
    if (order.expected_accepted != m_accepted) return OrderEnd::kConflict;
    // What is pending already is accepted, and not counted again.
    if (order.load && m_replacing.contains(order.adapter)) {
      return OrderEnd::kAccepted;
    }
    ++m_accepted;
    if (order.load && m_busy.contains(order.adapter)) {
      m_replacing[order.adapter] = order.version;
      return OrderEnd::kAccepted;
    }
    if (order.load) {
      m_adapters[order.adapter] = order.version;
      m_most = std::max(m_most, m_adapters.size());
      return OrderEnd::kAccepted;
    }
    if (m_busy.contains(order.adapter)) return OrderEnd::kAccepted;
    m_adapters.erase(order.adapter);
    return OrderEnd::kDone;
  }

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
    report.orders_accepted = m_accepted;
    report.models = {kModel};
    report.adapters = m_adapters;
    return report;
  }

  bool OverFull() const { return m_most > m_slots; }
  std::size_t held() const { return m_adapters.size(); }

 private:
  std::uint32_t m_slots;
  std::uint64_t m_accepted = 0;
  AdapterSet m_adapters;
  AdapterSet m_busy;
  // Versions that wait for the runs of older ones.
  AdapterSet m_replacing;
  std::size_t m_most = 0;
};

constexpr std::uint32_t kSlots = 3;
const NodeId kNode("n1");

EngineHost Host() {
  EngineHostOptions options;
  options.adapter_slots = kSlots;
  options.model = kModel;
  return EngineHost(options, Epoch(7), TimeMs(0));
}

FleetPace Pace(std::uint32_t loads_elsewhere) {
  return {loads_elsewhere, DurationMs(250), DurationMs(60)};
}

LoadRequest Wish(const std::string& name, std::uint32_t demand = 1) {
  LoadRequest request;
  request.adapter = Adapter(name);
  request.requester = kNode;
  request.demand = demand;
  return request;
}

// Polls in steps of 10 ms until the time, and carries out what is asked.
void Run(EngineHost& host, FakeEngine& engine, TimeMs& now, DurationMs time,
         std::vector<LoadNotice>* notices = nullptr) {
  const TimeMs end = now + time;
  for (; now < end; now = now + DurationMs(10)) {
    EngineHostActions actions = host.Poll(now, Pace(0));
    if (notices) {
      notices->insert(notices->end(), actions.notices.begin(),
                      actions.notices.end());
    }
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (actions.order) host.OnOrderEnd(engine.Take(*actions.order), now);
  }
}

// Loads the adapters a1, a2 and a3 into the engine's places.
void FillPlaces(EngineHost& host, FakeEngine& engine, TimeMs& now) {
  for (const char* name : {"a1", "a2", "a3"}) {
    host.Request(Wish(name), now);
    Run(host, engine, now, DurationMs(400));
  }
}

bool Holds(const EngineHost& host, const std::string& name) {
  return host.Resident().contains(Adapter(name));
}

}  // namespace

TEST_CASE("An adapter is loaded and its requester told", "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  std::vector<LoadNotice> notices;
  host.Request(Wish("a1"), now);
  Run(host, engine, now, DurationMs(400), &notices);
  REQUIRE(notices.size() == 1);
  CHECK(notices[0].adapter == Adapter("a1"));
  CHECK(notices[0].requester == kNode);
  CHECK(Holds(host, "a1"));
}

TEST_CASE("No order is given before its time", "[fleet][engine]") {
  EngineHostOptions options;
  options.adapter_slots = kSlots;
  options.model = kModel;
  EngineHost host(options, Epoch(7), TimeMs(4'650));
  host.Request(Wish("a1"), TimeMs(0));
  for (TimeMs now(0); now < TimeMs(4'650); now = now + DurationMs(50)) {
    const EngineHostActions actions = host.Poll(now, Pace(0));
    CHECK_FALSE(actions.order);
    CHECK_FALSE(actions.fetch_report);
  }
}

TEST_CASE("A full engine unloads what is used least and not in use",
          "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillPlaces(host, engine, now);
  host.OnUsed(Adapter("a1"), 5, now);
  host.OnUsed(Adapter("a3"), 4, now);
  Run(host, engine, now, DurationMs(1'000));
  host.Request(Wish("a4"), now);
  Run(host, engine, now, DurationMs(500));
  CHECK(Holds(host, "a4"));
  CHECK(Holds(host, "a1"));
  CHECK_FALSE(Holds(host, "a2"));
  CHECK_FALSE(engine.OverFull());
}

TEST_CASE("A load into a full engine does not wait for an unload",
          "[fleet][engine][load]") {
  // Pattern: thousands of adapters pass through an engine's few places, and
  // each load is a client's wait.
  constexpr std::uint32_t kManySlots = 16;
  EngineHostOptions options;
  options.adapter_slots = kManySlots;
  options.model = kModel;
  EngineHost host(options, Epoch(7), TimeMs(0));
  FakeEngine engine(kManySlots);
  TimeMs now(0);
  for (int i = 0; i < 40; ++i) {
    const std::string name = "a" + std::to_string(i);
    host.Request(Wish(name), now);
    Run(host, engine, now, DurationMs(320));
    CAPTURE(name);
    CHECK(Holds(host, name));
    Run(host, engine, now, DurationMs(300));
  }
  CHECK_FALSE(engine.OverFull());
}

TEST_CASE("A request that was on its way keeps a retired adapter",
          "[fleet][engine]") {
  // An unload would wait for its run, and the engine carries out no other
  // unload meanwhile.
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillPlaces(host, engine, now);
  Run(host, engine, now, DurationMs(1'000));
  host.Request(Wish("a4"), now);
  Run(host, engine, now, DurationMs(30));
  std::string retired;
  for (const char* name : {"a1", "a2", "a3"}) {
    if (!Holds(host, name)) retired = name;
  }
  REQUIRE_FALSE(retired.empty());
  // Sent by a node that had not heard yet.
  host.OnUsed(Adapter(retired), 0, now);
  Run(host, engine, now, DurationMs(300));
  CHECK(Holds(host, retired));
}

TEST_CASE("An older version in use is not replaced", "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  LoadRequest wish = Wish("a1");
  wish.version = AdapterRevision(1);
  host.Request(wish, now);
  Run(host, engine, now, DurationMs(400));
  wish.version = AdapterRevision(2);
  CHECK_FALSE(host.CanTake(wish.adapter, wish.version, now));
  host.Request(wish, now);
  for (int i = 0; i < 10; ++i) {
    host.OnUsed(Adapter("a1"), 0, now);
    Run(host, engine, now, DurationMs(200));
  }
  CHECK(host.Resident()[Adapter("a1")] == AdapterRevision(1));
  Run(host, engine, now, DurationMs(1'500));
  CHECK(host.Resident()[Adapter("a1")] == AdapterRevision(2));
}

TEST_CASE("An adapter in use is not unloaded", "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillPlaces(host, engine, now);
  host.Request(Wish("a4"), now);
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
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  FillPlaces(host, engine, now);
  for (const char* name : {"a1", "a2", "a3"}) engine.SetBusy(Adapter(name));
  Run(host, engine, now, DurationMs(1'000));
  host.Request(Wish("a4"), now);
  Run(host, engine, now, DurationMs(1'000));
  CHECK_FALSE(Holds(host, "a4"));
  CHECK_FALSE(engine.OverFull());
  for (const char* name : {"a1", "a2", "a3"}) engine.EndRuns(Adapter(name));
  host.Request(Wish("a4"), now);
  Run(host, engine, now, DurationMs(2'000));
  // It failed before reports followed such an unload: the engine was blocked
  // for good.
  CHECK(Holds(host, "a4"));
  CHECK_FALSE(engine.OverFull());
}

TEST_CASE("A replacement that waits for runs holds up no other load",
          "[fleet][engine][load]") {
  // Pattern: a newer version of a busy adapter is named, and an engine whose
  // streams still run on the older one is told to replace it.
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  LoadRequest busy = Wish("busy");
  busy.version = AdapterRevision(1);
  host.Request(busy, now);
  Run(host, engine, now, DurationMs(800));
  engine.SetBusy(Adapter("busy"));

  busy.version = AdapterRevision(2);
  host.Request(busy, now);
  std::vector<LoadNotice> notices;
  for (int i = 0; i < 20; ++i) {
    host.Request(busy, now);
    if (i == 8) host.Request(Wish("other"), now);
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
  // Pattern: right after all engines were lost, every request needs a load,
  // and the weight store's rate decides who is served.
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(Wish("rare1"), now);
  host.Request(Wish("rare2"), now);
  host.Request(Wish("busy", 9), now);
  const EngineHostActions actions = host.Poll(now, Pace(8));
  REQUIRE(actions.order);
  CHECK(actions.order->adapter == Adapter("busy"));
}

TEST_CASE("One load at a time while the weight store is at its rate",
          "[fleet][engine][load]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(Wish("a1"), now);
  host.Request(Wish("a2"), now);
  EngineHostActions first = host.Poll(now, Pace(8));
  REQUIRE(first.order);
  host.OnOrderEnd(engine.Take(*first.order), now);
  CHECK_FALSE(host.Poll(now, Pace(8)).order);
  CHECK(host.Poll(now, Pace(2)).order);
}

TEST_CASE("A faster weight store serves more loads at full speed",
          "[fleet][engine][load]") {
  // Pattern: sixty engines load at once. Holders that expect a slow store would
  // leave each engine idle for seconds after a load that took 0.3 s.
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
  for (int i = 0; i < 12; ++i) host.Request(Wish("a" + std::to_string(i)), now);
  const TimeMs end(4'000);
  for (; now < end; now = now + DurationMs(10)) {
    const EngineHostActions actions = host.Poll(now, Pace(45));
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (actions.order) host.OnOrderEnd(engine.Take(*actions.order), now);
  }
  CHECK(engine.held() == 12);
}

TEST_CASE("The estimate grows with the loads ahead", "[fleet][engine][load]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  const DurationMs first = host.Request(Wish("a1"), now);
  for (int i = 2; i < 12; ++i) host.Request(Wish("a" + std::to_string(i)), now);
  const DurationMs last = host.Request(Wish("a12"), now);
  CHECK(first < DurationMs(300));
  CHECK(last > DurationMs(2'500));
}

TEST_CASE(
    "An order without an answer may still take effect: no engine is "
    "ordered beyond its places",
    "[fleet][engine]") {
  // Every third answer is lost; of these every second order takes effect, some
  // right away and some after the next order.
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  std::optional<EngineOrder> late;
  int sent = 0;
  for (TimeMs now(0); now < TimeMs(60'000); now = now + DurationMs(10)) {
    const auto wish = static_cast<int>(now.ms() / 170) % 11;
    host.Request(Wish("a" + std::to_string(wish)), now);
    EngineHostActions actions = host.Poll(now, Pace(0));
    if (actions.fetch_report) host.OnReport(engine.Report(), now);
    if (!actions.order) continue;
    ++sent;
    if (sent % 3 != 0) {
      host.OnOrderEnd(engine.Take(*actions.order), now);
      if (late) engine.Take(*late);
      late.reset();
      continue;
    }
    if (sent % 2 == 0) {
      engine.Take(*actions.order);
    } else {
      late = actions.order;
    }
    host.OnOrderEnd(OrderEnd::kUnknown, now);
  }
  CHECK(sent > 100);
  CHECK_FALSE(engine.OverFull());
}

TEST_CASE("An engine that starts anew is read before it is ordered",
          "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  host.Request(Wish("a1"), now);
  Run(host, engine, now, DurationMs(400));
  host.OnEngineRestart(now);
  CHECK(host.Resident().empty());
  host.Request(Wish("a2"), now);
  const EngineHostActions actions = host.Poll(now, Pace(0));
  CHECK_FALSE(actions.order);
}

TEST_CASE("An engine without the model gets it first", "[fleet][engine]") {
  EngineHost host = Host();
  host.Request(Wish("a1"), TimeMs(0));
  REQUIRE(host.Poll(TimeMs(0), Pace(0)).fetch_report);
  EngineReport empty;
  host.OnReport(empty, TimeMs(5));
  CHECK_FALSE(host.can_load());
  const EngineHostActions actions = host.Poll(TimeMs(10), Pace(0));
  REQUIRE(actions.order);
  CHECK(actions.order->adapter == AdapterRef{kModel, ""});
}

TEST_CASE("A report right after an order does not count it",
          "[fleet][engine]") {
  EngineHost host = Host();
  FakeEngine engine(kSlots);
  TimeMs now(0);
  Run(host, engine, now, DurationMs(50));
  host.Request(Wish("a1"), now);
  Run(host, engine, now, DurationMs(400));
  host.Request(Wish("a2"), now);
  EngineHostActions actions = host.Poll(now, Pace(0));
  REQUIRE(actions.order);
  host.OnOrderEnd(engine.Take(*actions.order), now);
  // Often missing: the state is read again, but not at once.
  for (int i = 0; i < 20; ++i) {
    host.OnMissing(Adapter("a1"), now);
    host.Poll(now + DurationMs(100), Pace(0));
  }
  CHECK_FALSE(host.Poll(now + DurationMs(200), Pace(0)).fetch_report);
}

}  // namespace yuccamoor::fleet

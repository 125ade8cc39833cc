/// \file
/// \brief Tests of what protects services: circuits, admission, rate shares.

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <string>

#include "yuccamoor/coordination/request/admission_queue.h"
#include "yuccamoor/coordination/request/circuit_breaker.h"
#include "yuccamoor/coordination/request/rate_share.h"

namespace yuccamoor {
namespace {

AdmissionRequest Ask(const std::string& id, Priority priority,
                     TimeMs deadline = TimeMs::Never()) {
  return {RequestId(id), priority, deadline};
}

/// Calls that an endpoint of fixed capacity serves, offered at a multiple of
/// it for a while of virtual time.
struct OverloadResult {
  std::uint64_t capacity = 0;
  /// Answered within their deadline.
  std::uint64_t good = 0;
  std::uint64_t refused_at_once = 0;
  std::uint64_t refused_late = 0;
  std::uint64_t late = 0;
  DurationMs longest_refusal;
};

struct OverloadOptions {
  double load = 10;
  AdmissionOptions admission;
  DurationMs deadline{1'000};
};

constexpr std::uint32_t kPlaces = 16;
constexpr DurationMs kServiceTime{40};
constexpr std::int64_t kOverloadMs = 20'000;

class Overload {
 public:
  explicit Overload(const OverloadOptions& options)
      : m_options(options), m_queue(options.admission), m_random(7) {}

  OverloadResult Run() {
    const double per_ms = m_options.load * kPlaces / kServiceTime.ms();
    double due = 0;
    for (std::int64_t ms = 0; ms < kOverloadMs; ++ms) {
      m_now = TimeMs(ms);
      EndServices();
      if (ms % 10 == 0) Take(m_queue.Tick(Random(), m_now));
      for (due += per_ms; due >= 1; due -= 1) Arrive();
    }
    m_result.capacity = kOverloadMs * kPlaces / kServiceTime.ms();
    return m_result;
  }

 private:
  struct Running {
    RequestId id;
    TimeMs end;
  };

  double Random() { return m_random() / 4294967296.0; }

  void Arrive() {
    const RequestId id("r" + std::to_string(m_next++));
    const auto priority = static_cast<Priority>(m_random(3));
    m_arrived[id] = m_now;
    std::optional<RequestId> displaced;
    const AdmissionAnswer answer =
        m_queue.Offer({id, priority, m_now + m_options.deadline}, Random(),
                      m_now, &displaced);
    if (displaced) Refuse(*displaced);
    if (answer.verdict == AdmissionVerdict::kRun) Start(id);
    if (answer.verdict == AdmissionVerdict::kRefused) Refuse(id);
  }

  void Start(const RequestId& id) {
    m_running.push_back({id, m_now + kServiceTime});
  }

  void Refuse(const RequestId& id) {
    const DurationMs waited = m_now - m_arrived.at(id);
    m_result.longest_refusal = std::max(m_result.longest_refusal, waited);
    ++(waited <= DurationMs(50) ? m_result.refused_at_once
                                : m_result.refused_late);
    m_arrived.erase(id);
  }

  void EndServices() {
    while (!m_running.empty() && m_running.front().end <= m_now) {
      const RequestId id = m_running.front().id;
      m_running.pop_front();
      const bool in_time = m_now <= m_arrived.at(id) + m_options.deadline;
      ++(in_time ? m_result.good : m_result.late);
      m_arrived.erase(id);
      Take(m_queue.OnEnd(kServiceTime, Random(), m_now));
    }
  }

  void Take(const AdmissionChange& change) {
    for (const RequestId& id : change.refused) Refuse(id);
    for (const RequestId& id : change.run) Start(id);
  }

  OverloadOptions m_options;
  AdmissionQueue m_queue;
  pcg32 m_random;
  TimeMs m_now;
  std::uint64_t m_next = 0;
  std::map<RequestId, TimeMs> m_arrived;
  std::deque<Running> m_running;
  OverloadResult m_result;
};

OverloadOptions DefaultOverload() {
  OverloadOptions options;
  options.admission.max_running = kPlaces;
  options.admission.max_queued = kPlaces;
  options.admission.first_service_time = kServiceTime;
  return options;
}

bool GoodputHolds(const OverloadResult& result) {
  return result.good * 10 >= result.capacity * 9;
}

}  // namespace

TEST_CASE("At ten times the capacity the goodput holds and refusals are early",
          "[overload]") {
  const OverloadResult result = Overload(DefaultOverload()).Run();
  INFO(result.good << " of " << result.capacity);
  CHECK(GoodputHolds(result));
  CHECK(result.late == 0);
  CHECK(result.refused_late == 0);
  CHECK(result.longest_refusal <= DurationMs(50));
  CHECK(result.refused_at_once > result.capacity);
}

TEST_CASE("The overload check fails for queues without bounds", "[overload]") {
  OverloadOptions options = DefaultOverload();
  options.admission.max_queued = 1'000'000;
  SECTION("refusals come late") {
    CHECK(Overload(options).Run().refused_late > 0);
  }
  SECTION("the service time is not known and places are too many") {
    options.admission.max_running = 1'000'000;
    options.deadline = DurationMs(20);
    CHECK_FALSE(GoodputHolds(Overload(options).Run()));
  }
}

TEST_CASE("Higher classes run first and displace lower ones", "[overload]") {
  AdmissionOptions options;
  options.max_running = 1;
  options.max_queued = 2;
  AdmissionQueue queue(options);
  std::optional<RequestId> displaced;
  const auto offer = [&](const char* id, Priority priority) {
    return queue.Offer(Ask(id, priority), 0, TimeMs(0), &displaced).verdict;
  };
  CHECK(offer("a", Priority::kBackground) == AdmissionVerdict::kRun);
  CHECK(offer("b", Priority::kBackground) == AdmissionVerdict::kQueued);
  CHECK(offer("c", Priority::kNormal) == AdmissionVerdict::kQueued);
  CHECK_FALSE(displaced);
  CHECK(offer("d", Priority::kInteractive) == AdmissionVerdict::kQueued);
  CHECK(displaced == RequestId("b"));
  CHECK(offer("e", Priority::kBackground) == AdmissionVerdict::kRefused);
  AdmissionChange change = queue.OnEnd(DurationMs(20), 0, TimeMs(20));
  CHECK(change.run == std::vector{RequestId("d")});
  change = queue.OnEnd(DurationMs(20), 0, TimeMs(40));
  CHECK(change.run == std::vector{RequestId("c")});
  CHECK_FALSE(queue.Cancel(RequestId("c")));
}

TEST_CASE("What cannot be served by its deadline is refused", "[overload]") {
  AdmissionOptions options;
  options.max_running = 1;
  options.first_service_time = DurationMs(100);
  AdmissionQueue queue(options);
  std::optional<RequestId> displaced;
  const auto offer = [&](const char* id, std::int64_t deadline) {
    return queue.Offer(Ask(id, Priority::kNormal, TimeMs(deadline)), 0.5,
                       TimeMs(0), &displaced);
  };
  CHECK(offer("a", 150).verdict == AdmissionVerdict::kRun);
  const AdmissionAnswer refused = offer("b", 150);
  CHECK(refused.verdict == AdmissionVerdict::kRefused);
  CHECK(refused.retry_after == DurationMs(1'500));
  CHECK(offer("c", 250).verdict == AdmissionVerdict::kQueued);
  CHECK(queue.Tick(0, TimeMs(140)).refused.empty());
  CHECK(queue.Tick(0, TimeMs(160)).refused == std::vector{RequestId("c")});
}

TEST_CASE("A circuit opens on a share of a minimum sample", "[overload]") {
  const CircuitOptions options;
  CircuitBreaker circuit(options);
  const auto call = [&](bool success, std::int64_t ms) {
    circuit.OnStart(TimeMs(ms));
    circuit.OnEnd(success, TimeMs(ms));
  };
  for (std::uint32_t i = 1; i < options.min_sample; ++i) call(false, 0);
  CHECK(circuit.state(TimeMs(0)) == CircuitState::kClosed);
  call(false, 0);
  CHECK(circuit.state(TimeMs(0)) == CircuitState::kOpen);
  CHECK_FALSE(circuit.Allows(TimeMs(1'999)));

  CHECK(circuit.Allows(TimeMs(2'000)));
  circuit.OnStart(TimeMs(2'000));
  CHECK_FALSE(circuit.Allows(TimeMs(2'000)));
  circuit.OnEnd(false, TimeMs(2'001));
  CHECK(circuit.state(TimeMs(4'000)) == CircuitState::kOpen);
  for (int i = 0; i < 3; ++i) call(true, 4'100);
  CHECK(circuit.state(TimeMs(4'100)) == CircuitState::kClosed);
}

TEST_CASE("A circuit stays closed below its share and forgets old failures",
          "[overload]") {
  CircuitBreaker circuit({});
  for (int i = 0; i < 100; ++i) circuit.OnEnd(i % 5 != 0, TimeMs(0));
  CHECK(circuit.state(TimeMs(0)) == CircuitState::kClosed);
  CircuitBreaker old({});
  for (int i = 0; i < 9; ++i) old.OnEnd(false, TimeMs(0));
  for (int i = 0; i < 9; ++i) old.OnEnd(false, TimeMs(20'000));
  CHECK(old.state(TimeMs(20'000)) == CircuitState::kClosed);
}

TEST_CASE("Shares of a limit never add up to more than the limit",
          "[overload]") {
  constexpr double kLimit = 800;
  constexpr std::int64_t kMs = 10'000;
  const auto run = [](std::size_t senders, std::size_t told) {
    std::uint64_t sent = 0;
    for (std::size_t i = 0; i < senders; ++i) {
      RateShare share(kLimit, told, DurationMs(3'000));
      share.OnGateways(told, TimeMs(0));
      for (std::int64_t ms = 0; ms < kMs; ++ms) {
        while (share.TryTake(TimeMs(ms))) ++sent;
      }
    }
    return static_cast<double>(sent) * 1'000 / kMs;
  };
  CHECK(run(8, 8) <= kLimit);
  CHECK(run(8, 8) >= kLimit * 0.95);
  // A gateway that does not count the others breaks the limit.
  CHECK(run(8, 1) > kLimit);
}

TEST_CASE("A share grows only after the others were gone for a while",
          "[overload]") {
  RateShare share(800, 8, DurationMs(3'000));
  share.OnGateways(8, TimeMs(0));
  CHECK(share.share() == 100);
  share.OnGateways(4, TimeMs(100));
  share.OnGateways(4, TimeMs(3'000));
  CHECK(share.share() == 100);
  share.OnGateways(4, TimeMs(3'100));
  CHECK(share.share() == 200);
  share.OnGateways(5, TimeMs(3'200));
  CHECK(share.share() == 160);
  while (share.TryTake(TimeMs(4'000))) continue;
  CHECK(share.WaitTime(TimeMs(4'000)) > DurationMs(0));
  CHECK(share.TryTake(TimeMs(4'000) + share.WaitTime(TimeMs(4'000))));
  CHECK(RateShare(0, 8, DurationMs(0)).TryTake(TimeMs(0)));
}

}  // namespace yuccamoor

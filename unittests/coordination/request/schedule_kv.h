/// \file
/// \brief Virtual time, and a key-value service that fails in every way that
/// its interface allows.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_KV_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_KV_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <pcg_random.hpp>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// A seeded source of events in virtual time.
class Timeline {
 public:
  explicit Timeline(std::uint64_t seed) : m_random(seed) {}

  TimeMs now() const { return m_now; }
  /// Returns a number below \p bound.
  std::uint32_t Below(std::uint32_t bound) { return m_random(bound); }
  bool Chance(double share) { return Share() < share; }
  double Share() { return m_random() / 4294967296.0; }
  /// Returns a delay from zero to \p most_ms.
  DurationMs Delay(std::uint32_t most_ms) {
    return DurationMs(Below(most_ms + 1));
  }

  void At(TimeMs when, std::function<void()> event) {
    m_events.push({std::max(when, m_now), m_next++, std::move(event)});
  }
  void After(DurationMs delay, std::function<void()> event) {
    At(m_now + delay, std::move(event));
  }

  /// Runs every event up to \p end.
  void RunUntil(TimeMs end) {
    while (!m_events.empty() && m_events.top().when <= end) {
      Event event = m_events.top();
      m_events.pop();
      m_now = event.when;
      event.run();
    }
    m_now = end;
  }

 private:
  struct Event {
    TimeMs when;
    std::uint64_t number;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return std::pair(other.when, other.number) < std::pair(when, number);
    }
  };

  pcg32 m_random;
  TimeMs m_now;
  std::uint64_t m_next = 0;
  std::priority_queue<Event> m_events;
};

/// The service. Each call's reply is handed over once, within the timeout.
class ScheduleKv {
 public:
  using Callback = std::function<void(KvReply)>;

  explicit ScheduleKv(Timeline& timeline) : m_timeline(timeline) {}

  /// The share of calls that fail outside of outages.
  void SetFaults(double share) { m_faults = share; }
  void SetOutage(bool down) { m_down = down; }
  std::uint64_t writes() const { return m_writes; }

  void Call(const KvRequest& request, Callback done) {
    m_writes += std::holds_alternative<KvGet>(request) ? 0 : 1;
    if (m_down) return CallWhileDown(request, std::move(done));
    if (!m_timeline.Chance(m_faults)) {
      return Arrive(request, m_timeline.Delay(8), std::move(done));
    }
    switch (m_timeline.Below(4)) {
      case 0:
        return Reply(KvStatus::kRateLimited, DurationMs(1), std::move(done));
      case 1:
        return Reply(KvStatus::kUnavailable, DurationMs(1), std::move(done));
      default:
        return Lose(request, std::move(done));
    }
  }

 private:
  static constexpr DurationMs kTimeout{300};

  void CallWhileDown(const KvRequest& request, Callback done) {
    if (m_timeline.Chance(0.5)) {
      return Reply(KvStatus::kUnavailable, DurationMs(1), std::move(done));
    }
    Lose(request, std::move(done));
  }

  /// Loses the answer; the call takes effect soon, after the timeout, or never.
  void Lose(const KvRequest& request, Callback done) {
    Reply(KvStatus::kUnknown, kTimeout, std::move(done));
    const std::uint32_t fate = m_timeline.Below(3);
    if (fate == 0) return;
    const DurationMs delay = m_timeline.Delay(fate == 1 ? 20 : 900);
    m_timeline.After(delay, [this, request] { Apply(request); });
  }

  void Reply(KvStatus status, DurationMs delay, Callback done) {
    KvReply reply;
    reply.status = status;
    m_timeline.After(delay, [reply, done = std::move(done)] { done(reply); });
  }

  void Arrive(const KvRequest& request, DurationMs delay, Callback done) {
    m_timeline.After(delay, [this, request, done = std::move(done)] {
      const KvReply reply = Apply(request);
      m_timeline.After(m_timeline.Delay(8), [reply, done] { done(reply); });
    });
  }

  KvReply Apply(const KvRequest& request) {
    if (const auto* write = std::get_if<KvCompareAndSwap>(&request)) {
      KvEntry& entry = m_entries[write->key];
      if (entry.version != write->expected) {
        return Current(write->key, KvStatus::kConflict);
      }
      entry = {write->key, write->value, KvVersion(++m_last_version)};
      KvReply reply;
      reply.status = KvStatus::kOk;
      reply.version = entry.version;
      return reply;
    }
    if (const auto* remove = std::get_if<KvDelete>(&request)) {
      const bool current = m_entries[remove->key].version == remove->expected;
      if (current) m_entries.erase(remove->key);
      KvReply reply;
      reply.status = current ? KvStatus::kOk : KvStatus::kConflict;
      return reply;
    }
    return Current(std::get<KvGet>(request).key, KvStatus::kOk);
  }

  KvReply Current(const std::string& key, KvStatus status) const {
    KvReply reply;
    reply.status = status;
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.version != KvVersion(0)) {
      reply.entries.push_back(found->second);
    } else if (status == KvStatus::kOk) {
      reply.status = KvStatus::kNotFound;
    }
    return reply;
  }

  Timeline& m_timeline;
  double m_faults = 0;
  bool m_down = false;
  std::uint64_t m_writes = 0;
  std::uint64_t m_last_version = 0;
  std::map<std::string, KvEntry> m_entries;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_KV_H_

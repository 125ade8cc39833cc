/// \file
/// \brief A model engine of the test world, which knows what truly runs.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_FAKE_ENGINE_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_FAKE_ENGINE_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/cell/world/world_basics.h"
#include "yuccamoor/state/engine.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor::world {

/// One request on an engine, shared with the gateway that sent it.
struct Stream {
  AdapterVersion target;
  /// The gateway serves its customer from this stream.
  bool serving = false;
  /// The gateway has ended it or is dead.
  bool abandoned = false;
  bool evicted = false;
};
using StreamPtr = std::shared_ptr<Stream>;

/// An engine's memory and the limits that it watches.
class FakeEngine {
 public:
  FakeEngine(WorkerId id, std::uint32_t slots, bool checks_epoch,
             bool allows_late_orders)
      : m_id(std::move(id)),
        m_slots(slots),
        m_checks_epoch(checks_epoch),
        m_allows_late_orders(allows_late_orders) {}

  /// Loses everything, as after a crash.
  void Restart() {
    ++m_life;
    m_highest = Epoch();
    m_resident.clear();
    m_loading.clear();
    m_sequence = Sequence();
  }

  std::uint64_t life() const { return m_life; }
  std::size_t LoadsInFlight() const { return m_loading.size(); }
  InstanceId instance() const {
    return InstanceId(m_id.str() + "/" + std::to_string(m_life));
  }

  /// Starts a stream if its target is resident.
  bool Start(const StreamPtr& stream) {
    const auto slot = m_resident.find(stream->target);
    if (slot == m_resident.end()) return false;
    slot->second.push_back(stream);
    return true;
  }

  /// Ends a stream. Returns whether it still ran.
  bool End(const StreamPtr& stream) {
    const auto slot = m_resident.find(stream->target);
    return slot != m_resident.end() && std::erase(slot->second, stream) > 0;
  }

  /// Begins a load or does an eviction. A load that begins has no status yet.
  std::optional<OrderStatus> Handle(const EngineOrder& order,
                                    Violations& violations) {
    if (order.epoch < m_highest) {
      if (m_checks_epoch) return OrderStatus::kStaleEpoch;
      if (!m_allows_late_orders) {
        violations.push_back("an order of an old epoch was carried out");
      }
    }
    m_highest = std::max(m_highest, order.epoch);
    if (order.kind == OrderKind::kEvict) return Evict(order, violations);
    if (m_resident.contains(order.target)) return OrderStatus::kFailed;
    if (m_resident.size() + m_loading.size() >= m_slots) {
      return OrderStatus::kNoSlot;
    }
    if (std::find(m_loading.begin(), m_loading.end(), order.target) !=
        m_loading.end()) {
      return OrderStatus::kFailed;
    }
    m_loading.push_back(order.target);
    return std::nullopt;
  }

  /// Ends a load that has begun.
  void FinishLoad(const AdapterVersion& target, bool loaded) {
    std::erase(m_loading, target);
    if (loaded) m_resident[target];
  }

  EngineReport Report() {
    EngineReport report;
    report.worker = m_id;
    report.instance = instance();
    report.sequence = m_sequence = m_sequence.Next();
    report.slots = m_slots;
    report.batch_capacity = 4;
    for (const auto& [target, streams] : m_resident) {
      report.residents.push_back(
          ResidentReport{target, static_cast<std::uint32_t>(streams.size())});
    }
    report.loading = m_loading;
    return report;
  }

 private:
  OrderStatus Evict(const EngineOrder& order, Violations& violations) {
    const auto slot = m_resident.find(order.target);
    if (slot == m_resident.end()) return OrderStatus::kFailed;
    for (const StreamPtr& stream : slot->second) {
      stream->evicted = true;
      if (stream->serving && !stream->abandoned) {
        violations.push_back("an adapter in use was evicted");
      }
    }
    m_resident.erase(slot);
    return OrderStatus::kDone;
  }

  WorkerId m_id;
  std::uint32_t m_slots;
  bool m_checks_epoch;
  /// Leaders are paused before they write, so that orders of an old epoch come
  /// late; the world checks them.
  bool m_allows_late_orders;
  std::uint64_t m_life = 1;
  Epoch m_highest;
  Sequence m_sequence;
  std::map<AdapterVersion, std::vector<StreamPtr>> m_resident;
  std::vector<AdapterVersion> m_loading;
};

/// Checks the store's limits from the starts of loads.
class StoreMeter {
 public:
  StoreMeter(double rate, double burst, std::size_t max_in_flight)
      : m_rate(rate), m_burst(burst), m_max(max_in_flight), m_tokens(burst) {}

  void OnLoad(TimeMs now, std::size_t in_flight, Violations& violations) {
    constexpr double kMsPerSecond = 1'000;
    const double seconds =
        static_cast<double>((now - m_last).ms()) / kMsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + seconds * m_rate) - 1;
    m_last = now;
    if (m_tokens < 0) violations.push_back("the store's rate was exceeded");
    if (in_flight > m_max) {
      violations.push_back("too many loads were in flight");
    }
  }

 private:
  double m_rate;
  double m_burst;
  std::size_t m_max;
  double m_tokens;
  TimeMs m_last;
};

/// The service with its one key.
class FakeKeyValue {
 public:
  KvReply Apply(const KvRequest& request) {
    KvReply reply;
    reply.status = KvStatus::kOk;
    if (const auto* swap = std::get_if<KvCompareAndSwap>(&request)) {
      if (swap->expected == m_version) {
        m_version = m_version.Next();
        m_value = swap->value;
        reply.version = m_version;
        return reply;
      }
      reply.status = KvStatus::kConflict;
    }
    if (m_version == KvVersion()) {
      if (reply.status == KvStatus::kOk) reply.status = KvStatus::kNotFound;
    } else {
      reply.entries.push_back(KvEntry{"key", m_value, m_version});
    }
    return reply;
  }

  const std::string& value() const { return m_value; }

 private:
  KvVersion m_version;
  std::string m_value;
};

}  // namespace yuccamoor::world

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_CELL_WORLD_FAKE_ENGINE_H_

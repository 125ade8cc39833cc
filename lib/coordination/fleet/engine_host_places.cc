#include <algorithm>
#include <cmath>

#include "yuccamoor/coordination/fleet/engine_host.h"

namespace yuccamoor::fleet {

namespace {

constexpr double kUseHalfLifeMs = 8'000;
// A node's word of what it uses may come this much later than its interval.
constexpr DurationMs kStatusDelay{150};
// An adapter that was used this recently is likely to be used again.
constexpr DurationMs kRecentUse{650};
// Places that are kept free, so that a load need not wait for an unload: at
// most this many, and this part of all.
constexpr std::size_t kMostSpares = 1;
constexpr std::size_t kSparePart = 8;

}  // namespace

AdapterSet EngineHost::Resident() const {
  AdapterSet adapters;
  for (const auto& [adapter, place] : m_places) {
    if (place.state == PlaceState::kResident) {
      adapters[adapter] = place.version;
    }
  }
  return adapters;
}

bool EngineHost::IsWanted(const AdapterRef& adapter) const {
  return std::any_of(
      m_waiting.begin(), m_waiting.end(),
      [&](const Waiting& waiting) { return waiting.adapter == adapter; });
}

// Nodes say in each status what runs, so that an interval without a word of it
// means that nothing does.
bool EngineHost::IsInUse(const Place& place, TimeMs now) const {
  const DurationMs silence = m_pace.status_interval + kStatusDelay;
  return now - place.last_used < std::max(kRecentUse, silence);
}

bool EngineHost::CanTake(const AdapterRef& adapter, AdapterRevision version,
                         TimeMs now) const {
  const auto it = m_places.find(adapter);
  if (it == m_places.end() || it->second.version >= version) return true;
  const PlaceState state = it->second.state;
  return state == PlaceState::kLoading || !IsInUse(it->second, now);
}

std::size_t EngineHost::PlacesToFree() const {
  const std::size_t spares =
      std::min(kMostSpares, m_options.adapter_slots / kSparePart);
  const bool one_waits = std::any_of(
      m_waiting.begin(), m_waiting.end(), [this](const Waiting& waiting) {
        return !m_places.contains(waiting.adapter);
      });
  return std::max<std::size_t>(spares, one_waits ? 1 : 0);
}

// Takes the adapters that are used least out of use, until enough places are
// free or will be.
void EngineHost::RetireSpares(TimeMs now, std::vector<AdapterRef>& retired) {
  const auto leaving = static_cast<std::size_t>(
      std::count_if(m_places.begin(), m_places.end(), [](const auto& item) {
        return item.second.state == PlaceState::kRetiring ||
               item.second.state == PlaceState::kUnloading;
      }));
  const std::size_t kept = m_places.size() - leaving;
  const std::size_t to_free = PlacesToFree();
  for (std::size_t i = m_options.adapter_slots; i < kept + to_free; ++i) {
    const auto victim = FindVictim(now);
    if (victim == m_places.end()) return;
    victim->second.state = PlaceState::kRetiring;
    victim->second.retired_at = now;
    retired.push_back(victim->first);
  }
}

std::map<AdapterRef, EngineHost::Place>::iterator EngineHost::FindVictim(
    TimeMs now) {
  auto victim = m_places.end();
  double least = 0;
  for (auto it = m_places.begin(); it != m_places.end(); ++it) {
    const Place& place = it->second;
    if (place.state != PlaceState::kResident) continue;
    if (IsInUse(place, now) || IsWanted(it->first)) continue;
    const double uses = DecayedUses(place, now);
    if (victim != m_places.end() && uses >= least) continue;
    victim = it;
    least = uses;
  }
  return victim;
}

bool EngineHost::WaitsForRuns() const {
  return std::any_of(m_places.begin(), m_places.end(), [](const auto& item) {
    return item.second.state == PlaceState::kUnloading ||
           item.second.state == PlaceState::kReplacing;
  });
}

// An engine carries out no other unload while one waits for runs, so that an
// adapter is unloaded only when no node can be sending requests for it.
std::optional<EngineOrder> EngineHost::UnloadRetired(TimeMs now) const {
  if (WaitsForRuns()) return std::nullopt;
  const AdapterRef* longest = nullptr;
  TimeMs since;
  for (const auto& [adapter, place] : m_places) {
    if (place.state != PlaceState::kRetiring) continue;
    if (now - place.retired_at < m_pace.retire_time) continue;
    if (longest && place.retired_at >= since) continue;
    longest = &adapter;
    since = place.retired_at;
  }
  if (!longest) return std::nullopt;
  return MakeOrder(false, *longest);
}

double EngineHost::DecayedUses(const Place& place, TimeMs now) const {
  const auto age = static_cast<double>((now - place.last_used).ms());
  return place.uses * std::exp2(-age / kUseHalfLifeMs);
}

}  // namespace yuccamoor::fleet

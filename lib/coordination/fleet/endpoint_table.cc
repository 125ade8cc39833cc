#include "yuccamoor/coordination/fleet/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {

// Endpoints register again within about two seconds after the store recovers.
constexpr DurationMs kReregisterTimeout{2'200};
// A holder reports its adapters several times a second.
constexpr DurationMs kHolderStatusLifetime{1'500};
// Longer than the copies of the store are old.
constexpr DurationMs kRemovedMemory{600'000};
constexpr DurationMs kMinConnectBackoff{150};
constexpr DurationMs kMaxConnectBackoff{1'200};

constexpr CircuitOptions kBreakerOptions{.window = DurationMs(3'000),
                                         .min_sample = 6,
                                         .failure_share = 0.5,
                                         .open_time = DurationMs(1'000),
                                         .max_probes = 2,
                                         .probes_to_close = 2};

}  // namespace

Endpoint::Endpoint(EndpointEntry listed)
    : entry(std::move(listed)),
      leaving(entry.draining),
      adapters(entry.adapters),
      breaker(kBreakerOptions) {}

bool Endpoint::HasModel(const ModelId& model) const {
  return std::find(entry.models.begin(), entry.models.end(), model) !=
         entry.models.end();
}

bool EndpointTable::NamesProcess(const EndpointEntry& entry) const {
  if (entry.start_unix_ms > 0) return true;
  const Endpoint* known = Find(entry.id);
  if (known && known->entry.start_unix_ms > 0) return false;
  const auto removed = m_removed.lower_bound({entry.id, 1});
  return removed == m_removed.end() || removed->first.endpoint != entry.id;
}

bool EndpointTable::Put(EndpointEntry entry, TimeMs now) {
  const auto it = m_endpoints.find(entry.id);
  if (it == m_endpoints.end()) {
    const EndpointId id = entry.id;
    m_endpoints.emplace(id, Recall(std::move(entry)));
    return true;
  }
  Endpoint& known = it->second;
  if (known.entry.start_unix_ms != entry.start_unix_ms ||
      known.entry.address != entry.address) {
    const std::uint32_t in_flight = known.in_flight;
    Remember(known, now);
    known = Recall(std::move(entry));
    known.in_flight = in_flight;
    return true;
  }
  known.reregister_deadline.reset();
  known.leaving = known.leaving || entry.draining;
  known.entry = std::move(entry);
  if (now - known.adapters_reported_at > kHolderStatusLifetime) {
    known.adapters = known.entry.adapters;
  }
  return false;
}

void EndpointTable::Remember(const Endpoint& endpoint, TimeMs now) {
  m_removed[{endpoint.entry.id, endpoint.entry.start_unix_ms}] = {
      endpoint.leaving, endpoint.intake, now + kRemovedMemory};
}

Endpoint EndpointTable::Recall(EndpointEntry entry) const {
  const auto removed = m_removed.find({entry.id, entry.start_unix_ms});
  Endpoint endpoint(std::move(entry));
  if (removed == m_removed.end()) return endpoint;
  endpoint.leaving = endpoint.leaving || removed->second.leaving;
  endpoint.intake = removed->second.intake;
  return endpoint;
}

void EndpointTable::Remove(const EndpointId& id, TimeMs now) {
  const auto it = m_endpoints.find(id);
  if (it == m_endpoints.end()) return;
  if (m_reregister_deadline && now < *m_reregister_deadline) {
    it->second.reregister_deadline = *m_reregister_deadline;
    return;
  }
  Erase(it, now);
}

void EndpointTable::Erase(Map::iterator endpoint, TimeMs now) {
  Remember(endpoint->second, now);
  m_endpoints.erase(endpoint);
}

void EndpointTable::RetainOnly(const std::vector<EndpointId>& listed,
                               TimeMs now) {
  std::vector<EndpointId> missing;
  for (const auto& [id, endpoint] : m_endpoints) {
    if (std::find(listed.begin(), listed.end(), id) == listed.end()) {
      missing.push_back(id);
    }
  }
  for (const EndpointId& id : missing) Remove(id, now);
}

void EndpointTable::OnStoreRecovered(TimeMs now) {
  m_reregister_deadline = now + kReregisterTimeout;
}

void EndpointTable::Expire(TimeMs now) {
  for (auto it = m_endpoints.begin(); it != m_endpoints.end();) {
    const auto endpoint = it++;
    const auto& deadline = endpoint->second.reregister_deadline;
    if (deadline && now >= *deadline) Erase(endpoint, now);
  }
  std::erase_if(m_removed,
                [now](const auto& item) { return now >= item.second.until; });
}

bool EndpointTable::MarkLeaving(const EndpointProcess& process, TimeMs now) {
  Endpoint* endpoint = Find(process.endpoint);
  if (endpoint && endpoint->entry.start_unix_ms == process.start_unix_ms) {
    return !std::exchange(endpoint->leaving, true);
  }
  Remembered& unlisted = m_removed[process];
  unlisted.until = now + kRemovedMemory;
  return !std::exchange(unlisted.leaving, true);
}

void EndpointTable::OnConnectFailed(const EndpointId& id, TimeMs now) {
  Endpoint* endpoint = Find(id);
  if (!endpoint) return;
  const std::uint32_t doublings =
      std::min<std::uint32_t>(endpoint->connect_failures++, 3);
  const DurationMs backoff =
      std::min(kMaxConnectBackoff, kMinConnectBackoff * (1LL << doublings));
  endpoint->unreachable_until = now + backoff;
}

void EndpointTable::OnConnected(const EndpointId& id) {
  if (Endpoint* endpoint = Find(id)) {
    endpoint->connect_failures = 0;
    endpoint->unreachable_until = TimeMs();
  }
}

bool EndpointTable::SetAdapters(const EndpointId& id,
                                const AdapterSet& adapters, TimeMs now) {
  Endpoint* endpoint = Find(id);
  if (!endpoint) return false;
  endpoint->adapters_reported_at = now;
  if (endpoint->adapters == adapters) return false;
  endpoint->adapters = adapters;
  return true;
}

Endpoint* EndpointTable::Find(const EndpointId& id) {
  const auto it = m_endpoints.find(id);
  return it == m_endpoints.end() ? nullptr : &it->second;
}

const Endpoint* EndpointTable::Find(const EndpointId& id) const {
  const auto it = m_endpoints.find(id);
  return it == m_endpoints.end() ? nullptr : &it->second;
}

bool EndpointTable::Usable(const Endpoint& endpoint, TimeMs now) {
  return !endpoint.leaving && now >= endpoint.unreachable_until;
}

}  // namespace yuccamoor::fleet

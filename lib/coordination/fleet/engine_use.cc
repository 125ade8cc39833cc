#include "yuccamoor/coordination/fleet/engine_use.h"

#include <cmath>
#include <iterator>

namespace yuccamoor::fleet {

namespace {

constexpr double kRateTimeConstantMs = 1'500;
constexpr double kMsPerSecond = 1'000;

double Decayed(double requests, TimeMs since, TimeMs now) {
  const auto age = static_cast<double>((now - since).ms());
  return requests * std::exp(-age / kRateTimeConstantMs);
}

}  // namespace

void EngineUseReports::OnRequest(TimeMs now) {
  m_recent_requests = Decayed(m_recent_requests, m_recent_at, now) + 1;
  m_recent_at = now;
}

void EngineUseReports::OnBegin(const EndpointId& engine,
                               const AdapterRef& adapter) {
  ++m_running[engine][adapter];
  ++m_begun[engine][adapter];
  m_changed.insert(engine);
}

void EngineUseReports::OnEnd(const EndpointId& engine,
                             const AdapterRef& adapter) {
  const auto running = m_running.find(engine);
  if (running == m_running.end()) return;
  m_changed.insert(engine);
  const auto it = running->second.find(adapter);
  if (it == running->second.end()) return;
  if (--it->second == 0) running->second.erase(it);
  if (running->second.empty()) m_running.erase(running);
}

std::map<NodeId, EngineUse> EngineUseReports::Take(
    const std::map<EndpointId, HolderRecord>& holders, TimeMs now) {
  std::map<NodeId, EngineUse> reports;
  for (const EndpointId& engine : m_changed) {
    const auto holder = holders.find(engine);
    if (holder != holders.end()) reports[holder->second.node];
  }
  m_changed.clear();
  for (const auto& [engine, adapters] : m_running) {
    const auto holder = holders.find(engine);
    if (holder == holders.end()) continue;
    const auto reported = m_reported.find(holder->second.node);
    const bool due = reported == m_reported.end() ||
                     now - reported->second >= kRepeatInterval;
    if (due) reports[holder->second.node];
  }
  // A report replaces the holder's earlier one, so it lists all its engines.
  for (const auto& [engine, adapters] : m_running) {
    const auto holder = holders.find(engine);
    if (holder == holders.end()) continue;
    const auto report = reports.find(holder->second.node);
    if (report == reports.end()) continue;
    for (const auto& [adapter, count] : adapters) {
      report->second.in_flight[engine] += count;
      report->second.used[engine][adapter] = 0;
    }
  }
  for (auto it = m_begun.begin(); it != m_begun.end();) {
    const auto holder = holders.find(it->first);
    const bool reported =
        holder != holders.end() && reports.contains(holder->second.node);
    if (reported) {
      auto& used = reports[holder->second.node].used[it->first];
      for (const auto& [adapter, count] : it->second) used[adapter] = count;
    }
    // Without a holder nobody counts them.
    const bool done = reported || holder == holders.end();
    it = done ? m_begun.erase(it) : std::next(it);
  }
  for (const auto& [node, report] : reports) m_reported[node] = now;
  std::erase_if(m_reported, [now](const auto& item) {
    return now - item.second > kRepeatInterval * 4;
  });
  return reports;
}

double EngineUseReports::RequestRate(TimeMs now) const {
  return Decayed(m_recent_requests, m_recent_at, now) * kMsPerSecond /
         kRateTimeConstantMs;
}

}  // namespace yuccamoor::fleet

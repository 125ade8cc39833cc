#include "yuccamoor/coordination/fleet/holder_claims.h"

#include <algorithm>
#include <cstddef>
#include <string>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Delay between the claims of nodes of consecutive ranks; long enough for the
// next node to see the claim of the one before.
constexpr DurationMs kClaimTurnInterval{400};
// Other nodes leave the first claim to the last holder for this time, since it
// can give orders without waiting.
constexpr DurationMs kLastHolderHeadStart{900};
// After this time the view shows which node has claimed the engine.
constexpr DurationMs kClaimBackoff{800};

std::size_t CountHeld(const std::map<EndpointId, NodeId>& holders,
                      const std::vector<EndpointId>& engines,
                      const NodeId& node) {
  return static_cast<std::size_t>(
      std::count_if(engines.begin(), engines.end(), [&](const auto& engine) {
        const auto it = holders.find(engine);
        return it != holders.end() && it->second == node;
      }));
}

std::uint64_t Score(const EndpointId& engine, const NodeId& node) {
  return StableBucketHash(engine.str() + "#" + node.str());
}

}  // namespace

std::optional<EndpointId> HolderClaims::NextClaim(
    const std::vector<EndpointId>& engines,
    const std::map<EndpointId, NodeId>& holders, const std::set<NodeId>& nodes,
    const std::set<EndpointId>& last_held_here,
    const std::set<EndpointId>& never_held, TimeMs now) {
  if (now < m_backoff_until) return std::nullopt;
  std::erase_if(m_unheld_since, [&](const auto& item) {
    return holders.contains(item.first) ||
           std::find(engines.begin(), engines.end(), item.first) ==
               engines.end();
  });
  const std::size_t live = std::max<std::size_t>(nodes.size(), 1);
  const std::size_t fair_share = (engines.size() + live - 1) / live;
  std::map<NodeId, std::size_t> held;
  for (const NodeId& node : nodes) {
    held[node] = CountHeld(holders, engines, node);
  }
  for (const EndpointId& engine : engines) {
    if (holders.contains(engine)) continue;
    const TimeMs since = m_unheld_since.try_emplace(engine, now).first->second;
    if (last_held_here.contains(engine)) return engine;
    // Nodes that hold fewer engines rank first, then those with a higher
    // rendezvous score.
    const std::size_t own = CountHeld(holders, engines, m_self);
    std::int64_t rank = own >= fair_share ? 2 : 0;
    for (const NodeId& node : nodes) {
      if (node == m_self) continue;
      const bool before =
          held[node] < own ||
          (held[node] == own && Score(engine, node) > Score(engine, m_self));
      if (before) ++rank;
    }
    const DurationMs head_start =
        never_held.contains(engine) ? DurationMs(0) : kLastHolderHeadStart;
    if (now - since >= head_start + kClaimTurnInterval * rank) return engine;
  }
  return std::nullopt;
}

void HolderClaims::OnClaimFailed(const EndpointId& engine, TimeMs now) {
  m_unheld_since.erase(engine);
  m_backoff_until = now + kClaimBackoff;
}

}  // namespace yuccamoor::fleet

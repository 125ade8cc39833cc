#include "yuccamoor/coordination/fleet/holder_claims.h"

#include <algorithm>
#include <cstddef>
#include <string>
#include <utility>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

// Delay between the claims of nodes of consecutive ranks; long enough for the
// next node to see the claim of the one before.
constexpr DurationMs kClaimTurnInterval{400};
// Other nodes leave the first claim to the last holder for this time, since it
// can give orders without waiting.
constexpr DurationMs kLastHolderHeadStart{900};
// Turns that a node leaves to others once it holds its fair share.
constexpr std::int64_t kSurplusRanks = 2;
// After this time the view shows which node has claimed the engine.
constexpr DurationMs kClaimBackoff{800};

// Returns how many of the engines each node holds.
std::map<NodeId, std::size_t> CountHeld(
    const std::map<EndpointId, NodeId>& holders,
    const std::vector<EndpointId>& engines) {
  std::map<NodeId, std::size_t> held;
  for (const EndpointId& engine : engines) {
    const auto it = holders.find(engine);
    if (it != holders.end()) ++held[it->second];
  }
  return held;
}

std::size_t HeldBy(const std::map<NodeId, std::size_t>& held,
                   const NodeId& node) {
  const auto it = held.find(node);
  return it == held.end() ? 0 : it->second;
}

std::uint64_t Score(const EndpointId& engine, const NodeId& node) {
  return StableBucketHash(engine.str() + "#" + node.str());
}

}  // namespace

std::vector<EndpointId> HolderClaims::UpdateUnheld(
    const std::vector<EndpointId>& engines,
    const std::map<EndpointId, NodeId>& holders, TimeMs now) {
  std::vector<EndpointId> unheld;
  std::map<EndpointId, TimeMs> since;
  for (const EndpointId& engine : engines) {
    if (holders.contains(engine)) continue;
    unheld.push_back(engine);
    const auto known = m_unheld_since.find(engine);
    since[engine] = known == m_unheld_since.end() ? now : known->second;
  }
  m_unheld_since = std::move(since);
  return unheld;
}

std::int64_t HolderClaims::ClaimRank(
    const EndpointId& engine, const std::set<NodeId>& nodes,
    const std::map<NodeId, std::size_t>& held) const {
  const std::size_t own = HeldBy(held, m_self);
  const std::uint64_t own_score = Score(engine, m_self);
  std::int64_t rank = 0;
  for (const NodeId& node : nodes) {
    if (node == m_self) continue;
    const std::size_t count = HeldBy(held, node);
    const bool before =
        count < own || (count == own && Score(engine, node) > own_score);
    if (before) ++rank;
  }
  return rank;
}

std::optional<EndpointId> HolderClaims::NextClaim(
    const std::vector<EndpointId>& engines,
    const std::map<EndpointId, NodeId>& holders, const std::set<NodeId>& nodes,
    const std::set<EndpointId>& last_held_here,
    const std::set<EndpointId>& never_held, TimeMs now) {
  if (now < m_backoff_until) return std::nullopt;
  const std::vector<EndpointId> unheld = UpdateUnheld(engines, holders, now);
  if (unheld.empty()) return std::nullopt;
  for (const EndpointId& engine : unheld) {
    if (last_held_here.contains(engine)) return engine;
  }
  const std::size_t live = std::max<std::size_t>(nodes.size(), 1);
  const std::size_t fair_share = (engines.size() + live - 1) / live;
  const std::map<NodeId, std::size_t> held = CountHeld(holders, engines);
  const std::int64_t surplus_ranks =
      HeldBy(held, m_self) >= fair_share ? kSurplusRanks : 0;
  for (const EndpointId& engine : unheld) {
    const DurationMs head_start =
        never_held.contains(engine) ? DurationMs(0) : kLastHolderHeadStart;
    const DurationMs waited = now - m_unheld_since.at(engine) - head_start;
    // The rank is at least this much; it takes a hash for every node.
    if (waited < kClaimTurnInterval * surplus_ranks) continue;
    const std::int64_t rank = surplus_ranks + ClaimRank(engine, nodes, held);
    if (waited >= kClaimTurnInterval * rank) return engine;
  }
  return std::nullopt;
}

void HolderClaims::OnClaimFailed(const EndpointId& engine, TimeMs now) {
  m_unheld_since.erase(engine);
  m_backoff_until = now + kClaimBackoff;
}

}  // namespace yuccamoor::fleet

#include "yuccamoor/coordination/quota/quota_members.h"

#include <algorithm>
#include <cstdint>

#include "yuccamoor/state/stable_hash.h"

namespace yuccamoor::fleet {

namespace {

constexpr std::string_view kJoining = "joining";
constexpr std::string_view kSettled = "settled";
// Others learn later than a node itself that it has lost the store.
constexpr DurationMs kMissingLonger{5'000};

void AppendLine(std::string& text, std::string_view word,
                const std::set<NodeId>& nodes) {
  text.append(word);
  for (const NodeId& node : nodes) text.append(" ").append(node.str());
  text.append("\n");
}

// Takes the next word off the front of the line.
std::string_view TakeWord(std::string_view& line) {
  const std::size_t space = std::min(line.find(' '), line.size());
  const std::string_view word = line.substr(0, space);
  line.remove_prefix(std::min(space + 1, line.size()));
  return word;
}

void ReadLine(std::string_view line, QuotaMembers& members) {
  const std::string_view kind = TakeWord(line);
  if (kind != kJoining && kind != kSettled) return;
  std::set<NodeId>& nodes =
      kind == kJoining ? members.joining : members.settled;
  while (!line.empty()) {
    const std::string_view name = TakeWord(line);
    if (!name.empty()) nodes.emplace(std::string(name));
  }
}

std::uint64_t Score(const NodeId& node) {
  return StableBucketHash("quota members!" + node.str());
}

// Keeps the time since when each of the nodes has been there without a break.
void Track(std::map<NodeId, TimeMs>& since, const std::set<NodeId>& nodes,
           TimeMs now) {
  std::erase_if(since, [&nodes](const auto& item) {
    return !nodes.contains(item.first);
  });
  for (const NodeId& node : nodes) since.try_emplace(node, now);
}

}  // namespace

QuotaTimes QuotaTimes::For(DurationMs max_propagation_delay) {
  QuotaTimes times;
  times.current = max_propagation_delay / 2;
  times.lent = max_propagation_delay / 5;
  times.activation = max_propagation_delay;
  return times;
}

std::string EncodeQuotaMembers(const QuotaMembers& members) {
  std::string text;
  AppendLine(text, kJoining, members.joining);
  AppendLine(text, kSettled, members.settled);
  return text;
}

QuotaMembers DecodeQuotaMembers(std::string_view text) {
  QuotaMembers members;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    ReadLine(text.substr(0, end), members);
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  // A node in both counts once.
  for (const NodeId& node : members.settled) members.joining.erase(node);
  return members;
}

bool QuotaMemberPlan::IsWriter(
    const std::map<NodeId, NodeRecord>& nodes) const {
  if (!nodes.contains(m_self)) return false;
  const std::uint64_t own = Score(m_self);
  return std::none_of(nodes.begin(), nodes.end(), [own](const auto& item) {
    return Score(item.first) < own;
  });
}

void QuotaMemberPlan::Observe(const std::map<NodeId, NodeRecord>& nodes,
                              const QuotaMembers& members, TimeMs now) {
  Track(m_joining_since, members.joining, now);
  std::set<NodeId> missing;
  for (const auto* kind : {&members.joining, &members.settled}) {
    for (const NodeId& node : *kind) {
      if (!nodes.contains(node)) missing.insert(node);
    }
  }
  Track(m_missing_since, missing, now);
}

std::optional<QuotaMembers> QuotaMemberPlan::Next(
    const std::map<NodeId, NodeRecord>& nodes, const QuotaMembers& members,
    TimeMs now) {
  Observe(nodes, members, now);
  if (!IsWriter(nodes)) return std::nullopt;
  QuotaMembers next = members;
  for (const auto& [node, since] : m_joining_since) {
    if (now - since < m_times.activation) continue;
    next.joining.erase(node);
    next.settled.insert(node);
  }
  for (const auto& [node, since] : m_missing_since) {
    if (now - since < m_times.without_store + kMissingLonger) continue;
    next.joining.erase(node);
    next.settled.erase(node);
  }
  for (const auto& [node, record] : nodes) {
    if (!next.Contains(node)) next.joining.insert(node);
  }
  if (next == members) return std::nullopt;
  return next;
}

}  // namespace yuccamoor::fleet

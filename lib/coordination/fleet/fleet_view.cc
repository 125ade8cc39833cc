#include "yuccamoor/coordination/fleet/fleet_view.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>
#include <system_error>
#include <utility>
#include <variant>

namespace yuccamoor::fleet {

namespace {

constexpr std::string_view kNodePrefix = "node/";
constexpr std::string_view kHolderPrefix = "holder/";
constexpr std::string_view kOrderingPrefix = "ordering/";
constexpr std::string_view kSharedPrefix = "shared/";
// Revisions stay below this for decades, and the sum of thousands of eras stays
// exact in any JSON reader.
constexpr std::uint64_t kRevisionsPerEra = 1ULL << 40;
// Holders that this view may have missed have given their last orders by then:
// those of an earlier era of the store, or between two full reads.
constexpr DurationMs kEarlierHolderTime{5'000};
// A node that lives has registered again by then: its earlier lease has run
// out.
constexpr DurationMs kRegisterAgainTime{5'000};
// No holder's record of a fleet that has just started runs out sooner.
constexpr DurationMs kLeastRecordTime{3'000};

// Whether the entries differ in more than what engines' holders report.
bool Differ(const EndpointEntry& a, const EndpointEntry& b) {
  return a.service != b.service || a.address != b.address ||
         a.domain != b.domain || a.slots != b.slots ||
         a.draining != b.draining || a.start_unix_ms != b.start_unix_ms ||
         a.models != b.models;
}

}  // namespace

Epoch FencingNumber(StoreEra era, Revision revision) {
  return Epoch(era.value() * kRevisionsPerEra + revision.value());
}

StoreEra EraOf(Epoch fence) {
  return StoreEra(fence.value() / kRevisionsPerEra);
}

AdapterRevision HeldRevision(const Endpoint& engine,
                             const AdapterRef& adapter) {
  const auto held = engine.adapters.find(adapter);
  return held == engine.adapters.end() ? AdapterRevision() : held->second;
}

std::string EncodeNodeRecord(const NodeRecord& record) {
  return ToString(record.peer_address) + " " +
         std::to_string(record.lease.value()) + " " + record.domain.str();
}

NodeRecord DecodeNodeRecord(std::string_view text) {
  NodeRecord record;
  const std::size_t space = std::min(text.find(' '), text.size());
  record.peer_address = ParseSocketAddress(text.substr(0, space));
  text.remove_prefix(std::min(space + 1, text.size()));
  std::uint64_t lease = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), lease);
  record.lease = StoreLease(lease);
  text.remove_prefix(static_cast<std::size_t>(parsed.ptr - text.data()));
  if (text.starts_with(' ')) {
    record.domain = FailureDomainId(std::string(text.substr(1)));
  }
  return record;
}

std::string EncodeFences(const std::set<Epoch>& fences) {
  std::string text;
  for (const Epoch& fence : fences) {
    if (!text.empty()) text += ' ';
    text += std::to_string(fence.value());
  }
  return text;
}

std::set<Epoch> DecodeFences(std::string_view text) {
  std::set<Epoch> fences;
  const char* at = text.data();
  const char* const end = at + text.size();
  for (;;) {
    std::uint64_t fence = 0;
    const auto parsed = std::from_chars(at, end, fence);
    if (parsed.ec != std::errc()) return fences;
    fences.insert(Epoch(fence));
    if (parsed.ptr == end || *parsed.ptr != ' ') return fences;
    at = parsed.ptr + 1;
  }
}

std::string FleetView::NodeKey(const NodeId& node) {
  return std::string(kNodePrefix) + node.str();
}

std::string FleetView::HolderKey(const EndpointId& engine) {
  return std::string(kHolderPrefix) + engine.str();
}

std::string FleetView::OrderingKey(const NodeId& node) {
  return std::string(kOrderingPrefix) + node.str();
}

std::string FleetView::SharedKey(const std::string& name) {
  return std::string(kSharedPrefix) + name;
}

SharedRecord FleetView::FindShared(const std::string& name) const {
  const auto it = m_shared.find(SharedKey(name));
  return it == m_shared.end() ? SharedRecord() : it->second;
}

FleetView::FleetView(RevisionTimes revision_times,
                     std::optional<TimeMs> first_started)
    : m_revision_times(revision_times), m_first_started(first_started) {}

ViewUpdate FleetView::Apply(StoreChange change, TimeMs now) {
  return Apply(std::move(change), now, now);
}

ViewUpdate FleetView::Apply(StoreChange change, TimeMs now,
                            TimeMs written_from) {
  if (const auto* published = std::get_if<AdapterRevisionPublished>(&change)) {
    return ApplyChange(*published, written_from);
  }
  return std::visit(
      [&](auto&& item) {
        return ApplyChange(std::forward<decltype(item)>(item), now);
      },
      std::move(change));
}

bool FleetView::IsNews(const StoreChange& change) const {
  if (const auto* removed = std::get_if<EndpointRemoved>(&change)) {
    return m_endpoints.Find(removed->id) != nullptr;
  }
  if (const auto* record = std::get_if<RecordWritten>(&change)) {
    return !record->key.starts_with(kOrderingPrefix);
  }
  const auto* written = std::get_if<EndpointWritten>(&change);
  if (!written) return true;
  const Endpoint* known = m_endpoints.Find(written->entry.id);
  if (!m_endpoints.NamesProcess(written->entry)) return known != nullptr;
  return !known || known->reregister_deadline.has_value() ||
         Differ(known->entry, written->entry);
}

void FleetView::OnStoreRestored(TimeMs now) {
  m_never_held_engines.clear();
  m_never_held_from = now + kEarlierHolderTime;
  m_endpoints.OnStoreRecovered(now);
}

void FleetView::Reset(const std::vector<StoreChange>& changes, TimeMs now,
                      TimeMs written_from) {
  const std::map<NodeId, NodeRecord> nodes_before = std::exchange(m_nodes, {});
  m_holders.clear();
  m_ordering.clear();
  m_shared.clear();
  std::vector<EndpointId> listed;
  for (const StoreChange& change : changes) {
    if (const auto* written = std::get_if<EndpointWritten>(&change)) {
      listed.push_back(written->entry.id);
    }
    Apply(change, now, written_from);
  }
  for (const auto& [node, record] : nodes_before) {
    if (!m_nodes.contains(node)) NoteNodeGone(node, now);
  }
  m_never_held_engines.clear();
  if (!ShowsAllHolders(now)) {
    m_never_held_from = std::max(m_never_held_from, now + kEarlierHolderTime);
  }
  m_was_read = true;
  m_endpoints.RetainOnly(listed, now);
}

void FleetView::NoteNodeGone(const NodeId& node, TimeMs now) {
  std::erase_if(m_nodes_gone, [now](const auto& item) {
    return now - item.second >= kRegisterAgainTime;
  });
  m_nodes_gone[node] = now;
}

// Holders may have been added and removed between two reads, or before the
// first one: their records run out with their leases, and they may still give
// orders then. Only of a fleet that has just started is it known that there
// were none.
bool FleetView::ShowsAllHolders(TimeMs now) const {
  return !m_was_read && m_holders.empty() && m_first_started &&
         now - *m_first_started < kLeastRecordTime;
}

ViewUpdate FleetView::ApplyChange(ConfigWritten change, TimeMs /*now*/) {
  if (m_routes && change.config.version <= m_routes->config().version) {
    return ViewUpdate::kConfigIgnored;
  }
  m_routes = std::make_shared<const RouteTable>(std::move(change.config));
  return ViewUpdate::kConfigApplied;
}

ViewUpdate FleetView::ApplyChange(const AdapterRevisionPublished& change,
                                  TimeMs written_from) {
  const bool is_newer =
      m_revisions[change.adapter].Learn(change.revision, written_from);
  return is_newer ? ViewUpdate::kAdapterRevision : ViewUpdate::kUnchanged;
}

ViewUpdate FleetView::ApplyChange(EndpointWritten change, TimeMs now) {
  const EndpointId id = change.entry.id;
  // Whatever wrote it, the entry names no endpoint to use.
  if (!m_endpoints.NamesProcess(change.entry)) {
    return ApplyChange(EndpointRemoved{id}, now);
  }
  const Endpoint* known = m_endpoints.Find(id);
  const bool was_leaving = known && known->leaving;
  const bool leaving = change.entry.draining;
  if (m_endpoints.Put(std::move(change.entry), now)) {
    if (!known && !m_once_held_engines.contains(id) &&
        now >= m_never_held_from) {
      m_never_held_engines.insert(id);
    }
    return ViewUpdate::kEndpointAdded;
  }
  return leaving && !was_leaving ? ViewUpdate::kEndpointLeaving
                                 : ViewUpdate::kUnchanged;
}

ViewUpdate FleetView::ApplyChange(const EndpointRemoved& change, TimeMs now) {
  if (!m_endpoints.Find(change.id)) return ViewUpdate::kUnchanged;
  m_endpoints.Remove(change.id, now);
  m_never_held_engines.erase(change.id);
  return ViewUpdate::kEndpointRemoved;
}

ViewUpdate FleetView::ApplyChange(const RecordWritten& change, TimeMs /*now*/) {
  const std::string_view key = change.key;
  if (key.starts_with(kNodePrefix)) {
    const NodeId node(std::string(key.substr(kNodePrefix.size())));
    m_nodes[node] = DecodeNodeRecord(change.value);
    m_nodes_gone.erase(node);
    return ViewUpdate::kNodeChanged;
  }
  if (key.starts_with(kHolderPrefix)) {
    const EndpointId engine(std::string(key.substr(kHolderPrefix.size())));
    m_holders[engine] = {NodeId(change.value),
                         FencingNumber(change.era, change.revision)};
    m_never_held_engines.erase(engine);
    m_once_held_engines.insert(engine);
    return ViewUpdate::kHolderChanged;
  }
  if (key.starts_with(kOrderingPrefix)) {
    const NodeId node(std::string(key.substr(kOrderingPrefix.size())));
    m_ordering[node] = DecodeFences(change.value);
    return ViewUpdate::kUnchanged;
  }
  if (key.starts_with(kSharedPrefix)) {
    m_shared[change.key] = {change.value, change.revision};
  }
  return ViewUpdate::kUnchanged;
}

ViewUpdate FleetView::ApplyChange(const RecordRemoved& change, TimeMs now) {
  const std::string_view key = change.key;
  if (key.starts_with(kNodePrefix)) {
    const NodeId node(std::string(key.substr(kNodePrefix.size())));
    if (m_nodes.erase(node) > 0) NoteNodeGone(node, now);
    return ViewUpdate::kNodeChanged;
  }
  if (key.starts_with(kHolderPrefix)) {
    m_holders.erase(EndpointId(std::string(key.substr(kHolderPrefix.size()))));
    return ViewUpdate::kHolderChanged;
  }
  if (key.starts_with(kOrderingPrefix)) {
    m_ordering.erase(NodeId(std::string(key.substr(kOrderingPrefix.size()))));
    return ViewUpdate::kUnchanged;
  }
  m_shared.erase(change.key);
  return ViewUpdate::kUnchanged;
}

AdapterRevision FleetView::NewestRevision(const AdapterRef& adapter) const {
  const auto it = m_revisions.find(adapter);
  return it == m_revisions.end() ? AdapterRevision() : it->second.newest();
}

DurationMs FleetView::NewestRevisionAge(const AdapterRef& adapter,
                                        TimeMs now) const {
  const auto it = m_revisions.find(adapter);
  return it == m_revisions.end() ? DurationMs(0) : it->second.NewestAge(now);
}

AdapterRevision FleetView::LeastRevision(const AdapterRef& adapter,
                                         TimeMs now) const {
  return LeastRevisionAt(adapter, now, m_revision_times.send);
}

AdapterRevision FleetView::LeastRevisionToBegin(const AdapterRef& adapter,
                                                TimeMs now) const {
  return LeastRevisionAt(adapter, now, m_revision_times.begin);
}

AdapterRevision FleetView::LeastRevisionAt(const AdapterRef& adapter,
                                           TimeMs now, DurationMs ago) const {
  const auto it = m_revisions.find(adapter);
  return it == m_revisions.end() ? AdapterRevision()
                                 : it->second.LeastAt(now, ago);
}

bool FleetView::ServesRequests(const Endpoint& engine,
                               const AdapterRef& adapter, TimeMs now) const {
  if (adapter.name.empty()) return true;
  return HeldRevision(engine, adapter) >= LeastRevision(adapter, now);
}

std::set<Epoch> FleetView::OrderingFences(const NodeId& node) const {
  const auto it = m_ordering.find(node);
  return it == m_ordering.end() ? std::set<Epoch>() : it->second;
}

std::set<NodeId> FleetView::NodeIds() const {
  std::set<NodeId> ids;
  for (const auto& [node, record] : m_nodes) ids.insert(node);
  return ids;
}

std::set<NodeId> FleetView::NodesGoneLately() const {
  std::set<NodeId> ids;
  for (const auto& [node, gone] : m_nodes_gone) {
    if (!m_current_at || *m_current_at - gone < kRegisterAgainTime) {
      ids.insert(node);
    }
  }
  return ids;
}

std::map<EndpointId, NodeId> FleetView::HolderIds() const {
  std::map<EndpointId, NodeId> ids;
  for (const auto& [engine, holder] : m_holders) ids[engine] = holder.node;
  return ids;
}

std::vector<EndpointId> FleetView::Engines() const {
  std::vector<EndpointId> engines;
  for (const auto& [id, endpoint] : m_endpoints.all()) {
    if (endpoint.leaving || !EngineOf(endpoint.entry.service)) continue;
    engines.push_back(id);
  }
  return engines;
}

const EngineSpec* FleetView::EngineOf(const ServiceId& service) const {
  if (!m_routes) return nullptr;
  const auto& services = m_routes->config().services;
  const auto it = services.find(service);
  if (it == services.end() || !it->second.engine) return nullptr;
  return &*it->second.engine;
}

}  // namespace yuccamoor::fleet

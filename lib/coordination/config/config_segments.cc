/// \file
/// \brief Implementation of the segment table.

#include "yuccamoor/coordination/config/config_segments.h"

#include <cassert>
#include <unordered_set>
#include <utility>

namespace yuccamoor {
namespace {

/// Adds the unit's parts to the snapshot without copying them: each shares the
/// unit's ownership.
void AddUnit(const std::shared_ptr<const ConfigUnit>& unit,
             ConfigSnapshot& snapshot) {
  for (const CellConfig& cell : unit->cells) {
    snapshot.cells.emplace(cell.id,
                           std::shared_ptr<const CellConfig>(unit, &cell));
  }
  for (const ServiceConfig& service : unit->services) {
    snapshot.services.emplace(
        service.id, std::shared_ptr<const ServiceConfig>(unit, &service));
  }
  for (const AliasConfig& alias : unit->aliases) {
    snapshot.aliases.emplace(alias.name,
                             std::shared_ptr<const AliasConfig>(unit, &alias));
  }
  for (const TenantConfig& tenant : unit->tenants) {
    snapshot.tenants.emplace(
        tenant.id, std::shared_ptr<const TenantConfig>(unit, &tenant));
  }
}

}  // namespace

std::vector<SegmentNeed> SegmentsOf(const Manifest& manifest) {
  std::vector<SegmentNeed> needs;
  needs.reserve(manifest.units.size() + manifest.buckets.size());
  for (const ManifestUnit& unit : manifest.units) {
    needs.push_back({unit.segment, SegmentKind::kUnit});
  }
  for (const ManifestBucket& bucket : manifest.buckets) {
    needs.push_back({bucket.segment, SegmentKind::kAdapters});
  }
  return needs;
}

bool ConfigSegments::Add(const SegmentNeed& need, std::string bytes) {
  if (HashSegment(bytes) != need.hash) return false;
  Segment segment;
  if (need.kind == SegmentKind::kUnit) {
    auto unit = m_codec.DecodeUnit(bytes);
    if (unit.has_error()) return false;
    segment.unit = std::make_shared<const ConfigUnit>(std::move(unit.value()));
  } else {
    auto adapters = m_codec.DecodeAdapters(bytes);
    if (adapters.has_error()) return false;
    segment.adapters =
        std::make_shared<const Adapters>(std::move(adapters.value()));
  }
  segment.bytes = std::move(bytes);
  m_segments.insert_or_assign(need.hash, std::move(segment));
  return true;
}

const std::string* ConfigSegments::Find(const SegmentHash& hash) const {
  const auto it = m_segments.find(hash);
  return it == m_segments.end() ? nullptr : &it->second.bytes;
}

std::vector<SegmentNeed> ConfigSegments::Missing(
    const Manifest& manifest) const {
  std::vector<SegmentNeed> missing;
  std::unordered_set<SegmentHash> seen;
  for (SegmentNeed& need : SegmentsOf(manifest)) {
    if (m_segments.contains(need.hash)) continue;
    if (seen.insert(need.hash).second) missing.push_back(std::move(need));
  }
  return missing;
}

std::shared_ptr<const ConfigSnapshot> ConfigSegments::Assemble(
    const Manifest& manifest, Revision revision) const {
  auto snapshot = std::make_shared<ConfigSnapshot>();
  snapshot->revision = revision;
  for (const ManifestUnit& unit : manifest.units) {
    const auto it = m_segments.find(unit.segment);
    assert(it != m_segments.end() && it->second.unit && "segment is missing");
    AddUnit(it->second.unit, *snapshot);
  }
  snapshot->adapter_buckets.reserve(manifest.buckets.size());
  for (const ManifestBucket& bucket : manifest.buckets) {
    const auto it = m_segments.find(bucket.segment);
    assert(it != m_segments.end() && it->second.adapters &&
           "segment is missing");
    snapshot->adapter_buckets.push_back(
        {bucket.first_hash, it->second.adapters});
  }
  return snapshot;
}

ConfigUnits ConfigSegments::Units(const Manifest& manifest) const {
  ConfigUnits units;
  for (const ManifestUnit& entry : manifest.units) {
    const auto it = m_segments.find(entry.segment);
    assert(it != m_segments.end() && it->second.unit && "segment is missing");
    ConfigUnit& unit = units[entry.owner] = *it->second.unit;
    unit.source = "in force, owner " + entry.owner.str();
  }
  for (const ManifestBucket& bucket : manifest.buckets) {
    const auto it = m_segments.find(bucket.segment);
    assert(it != m_segments.end() && it->second.adapters &&
           "segment is missing");
    for (const AdapterConfig& adapter : *it->second.adapters) {
      units[adapter.owner].adapters.push_back(adapter);
    }
  }
  return units;
}

void ConfigSegments::Retain(const Manifest& current, const Manifest& next) {
  std::unordered_set<SegmentHash> needed;
  for (const SegmentNeed& need : SegmentsOf(current)) needed.insert(need.hash);
  for (const SegmentNeed& need : SegmentsOf(next)) needed.insert(need.hash);
  std::erase_if(m_segments, [&needed](const auto& entry) {
    return !needed.contains(entry.first);
  });
}

}  // namespace yuccamoor

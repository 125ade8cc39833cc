/// \file
/// \brief The second half of a publication: checks, segments, and the swap of
/// the root record.

#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/config/publisher.h"

namespace yuccamoor {

KvCalls Publisher::Prepare() {
  if (RefuseOverlap()) return {};
  ConfigUnits units = m_segments.Units(m_manifest);
  if (m_request.dry_run) m_outcome.before = units;
  ApplyChange(m_request.change, units);
  m_outcome.findings = CheckUnits(units);
  if (!m_outcome.findings.empty()) {
    End(PublishStatus::kInvalid, m_root.current.revision);
    return {};
  }
  EncodedConfig encoded =
      EncodeConfig(units, m_manifest, m_root.current.revision.Next(),
                   m_request.publisher, m_codec);
  if (encoded.manifest == m_manifest) {
    End(PublishStatus::kUnchanged, m_root.current.revision);
    return {};
  }
  if (RefuseLargeSegments(encoded)) return {};
  if (m_request.dry_run) {
    m_outcome.after = std::move(units);
    End(PublishStatus::kWouldPublish, m_root.current.revision);
    return {};
  }
  QueueWrites(std::move(encoded));
  return WriteNext();
}

KvCalls Publisher::PrepareRollback() {
  const Revision base = m_root.current.revision;
  if (!m_base_revision) m_base_revision = base;
  if (*m_base_revision != base) {
    m_outcome.winner = m_root.current.publisher;
    End(PublishStatus::kOverlap, base);
    return {};
  }
  const RootEntry* entry = FindRevision(m_root, *m_request.rollback);
  if (entry == nullptr || base == Revision()) {
    End(PublishStatus::kUnknownRevision, base);
    return {};
  }
  if (entry->manifest == m_root.current.manifest) {
    End(PublishStatus::kUnchanged, base);
    return {};
  }
  m_new_manifest = entry->manifest;
  return Swap();
}

bool Publisher::RefuseOverlap() {
  if (!m_base) {
    m_base = m_manifest;
    return false;
  }
  std::vector<OwnerId> owners = m_request.change.removals;
  for (const ConfigUnit& unit : m_request.change.draft.units) {
    owners.push_back(unit.owner);
  }
  for (const OwnerId& owner : owners) {
    const ManifestUnit* before = FindUnit(*m_base, owner);
    const ManifestUnit* now = FindUnit(m_manifest, owner);
    const bool same = before == nullptr || now == nullptr
                          ? before == now
                          : before->digest == now->digest;
    if (same) continue;
    m_outcome.overlap = owner;
    m_outcome.winner =
        now == nullptr ? m_root.current.publisher : now->publisher;
    End(PublishStatus::kOverlap, m_root.current.revision);
    return true;
  }
  return false;
}

bool Publisher::RefuseLargeSegments(const EncodedConfig& encoded) {
  for (const ManifestUnit& unit : encoded.manifest.units) {
    const std::string& bytes = encoded.segments.at(unit.segment);
    if (bytes.size() <= kKvMaxValueBytes) continue;
    m_outcome.findings.Add(Place{"owner " + unit.owner.str(), "", 0, 0},
                           "cells, services, aliases and tenants need " +
                               std::to_string(bytes.size()) +
                               " bytes, more than the " +
                               std::to_string(kKvMaxValueBytes) +
                               " that the key-value service holds",
                           "split the file over two owners");
  }
  if (m_outcome.findings.empty()) return false;
  End(PublishStatus::kInvalid, m_root.current.revision);
  return true;
}

void Publisher::QueueWrites(EncodedConfig encoded) {
  m_writes.clear();
  for (const SegmentNeed& need : SegmentsOf(m_manifest)) {
    encoded.segments.erase(need.hash);
  }
  for (auto& [hash, bytes] : encoded.segments) {
    QueueWrite(hash, std::move(bytes));
  }
  std::string bytes = m_codec.EncodeManifest(encoded.manifest);
  m_new_manifest = HashSegment(bytes);
  QueueWrite(m_new_manifest, std::move(bytes));
}

void Publisher::QueueWrite(const SegmentHash& hash, std::string bytes) {
  Pending pending;
  pending.step = Step::kWrite;
  pending.segment = hash;
  pending.request =
      KvCompareAndSwap{SegmentKey(hash), KvVersion(), std::move(bytes), {}};
  m_writes.push_back(std::move(pending));
}

KvCalls Publisher::WriteNext() {
  KvCalls calls;
  while (!m_writes.empty() && m_pending.size() < kMaxPublisherCalls) {
    calls.push_back(Send(std::move(m_writes.front())));
    m_writes.pop_front();
  }
  if (m_writes.empty() && m_pending.empty()) return Swap();
  return calls;
}

KvCalls Publisher::OnWrite(Pending pending, const KvReply& reply) {
  if (reply.status == KvStatus::kOk) return WriteNext();
  if (reply.status == KvStatus::kConflict) {
    // It exists or vanished: write it with the version that it has now, so that
    // a collector's delete with an earlier version fails.
    auto& write = std::get<KvCompareAndSwap>(pending.request);
    write.expected =
        reply.entries.empty() ? KvVersion() : reply.entries.front().version;
  }
  if (reply.status == KvStatus::kTooLarge) {
    m_outcome.findings.Add(Place{SegmentKey(pending.segment), "", 0, 0},
                           "the key-value service refuses the segment's size");
    End(PublishStatus::kInvalid, m_root.current.revision);
    return {};
  }
  return Retry(std::move(pending));
}

KvCalls Publisher::Swap(std::uint32_t failures) {
  RootRecord next = m_root;
  next.current.revision = m_root.current.revision.Next();
  next.current.manifest = m_new_manifest;
  next.current.publisher = m_request.publisher;
  next.current.nonce = m_request.nonce;
  if (m_root.current.revision != Revision()) {
    next.history.insert(next.history.begin(), m_root.current);
  }
  if (next.history.size() > kMaxConfigHistory) {
    next.history.resize(kMaxConfigHistory);
  }
  Pending pending;
  pending.step = Step::kSwap;
  pending.failures = failures;
  pending.request = KvCompareAndSwap{
      kConfigRootKey, m_root_version, m_codec.EncodeRoot(next), {}};
  return {Send(std::move(pending))};
}

KvCalls Publisher::OnSwap(const Pending& pending, const KvReply& reply) {
  const Revision revision = m_root.current.revision.Next();
  switch (reply.status) {
    case KvStatus::kOk:
      End(PublishStatus::kAccepted, revision);
      return {};
    case KvStatus::kConflict:
      return reply.entries.empty() ? ReadRoot()
                                   : UseRoot(reply.entries.front());
    case KvStatus::kTooLarge:
      m_outcome.findings.Add(Place{kConfigRootKey, "", 0, 0},
                             "the key-value service refuses the root's size");
      End(PublishStatus::kInvalid, m_root.current.revision);
      return {};
    case KvStatus::kUnknown:
      // Sent again, the same swap either takes effect once or meets the root
      // that tells what became of the first.
      m_unsettled = Unsettled{m_root_version, revision};
      return Retry(pending);
    default:
      return Retry(pending);
  }
}

}  // namespace yuccamoor

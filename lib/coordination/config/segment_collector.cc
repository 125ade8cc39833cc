/// \file
/// \brief Implementation of the collection of old segments.

#include "yuccamoor/coordination/config/segment_collector.h"

#include <string_view>
#include <utility>

#include "yuccamoor/coordination/config/config_segments.h"

namespace yuccamoor {
namespace {

/// Segments are listed by the first digit of their hash, to bound an answer.
constexpr std::string_view kHashDigits = "0123456789abcdef";

}  // namespace

KvCalls SegmentCollector::Begin() { return List(); }

KvCalls SegmentCollector::Send(Step step, KvRequest request) {
  m_step = step;
  m_call = m_call.Next();
  return {KvCall{m_call, std::move(request), {}}};
}

KvCalls SegmentCollector::Abort() {
  m_status = CollectStatus::kAborted;
  return {};
}

KvCalls SegmentCollector::OnReply(KvCallId id, const KvReply& reply) {
  if (id != m_call || m_status != CollectStatus::kPending) return {};
  if (m_step == Step::kDelete) {
    // A conflict: it was written again meanwhile and is in use.
    if (reply.status == KvStatus::kOk) ++m_deleted;
    return DeleteNext();
  }
  if (reply.status != KvStatus::kOk) return Abort();
  switch (m_step) {
    case Step::kList:
      return OnList(reply);
    case Step::kRoot:
      return OnRoot(reply);
    case Step::kManifest:
      return OnManifest(reply);
    default:
      return DeleteNext();
  }
}

KvCalls SegmentCollector::List() {
  if (m_listed_digits == kHashDigits.size()) {
    return Send(Step::kRoot, KvGet{kConfigRootKey});
  }
  return Send(Step::kList, KvList{std::string(kConfigSegmentPrefix) +
                                  kHashDigits[m_listed_digits]});
}

KvCalls SegmentCollector::OnList(const KvReply& reply) {
  for (const KvEntry& entry : reply.entries) {
    m_unused.emplace(entry.key, entry.version);
  }
  ++m_listed_digits;
  return List();
}

KvCalls SegmentCollector::OnRoot(const KvReply& reply) {
  if (reply.entries.empty()) return Abort();
  const KvEntry& entry = reply.entries.front();
  auto root = m_codec.DecodeRoot(entry.value);
  if (root.has_error()) return Abort();
  m_root = std::move(root.value());
  m_root_version = entry.version;
  m_manifests.push_back(m_root.current.manifest);
  for (const RootEntry& e : m_root.history) m_manifests.push_back(e.manifest);
  return NextManifest();
}

KvCalls SegmentCollector::NextManifest() {
  if (m_manifests.empty()) return Swap();
  return Send(Step::kManifest, KvGet{SegmentKey(m_manifests.front())});
}

KvCalls SegmentCollector::OnManifest(const KvReply& reply) {
  if (reply.entries.empty()) return Abort();
  const auto manifest = m_codec.DecodeManifest(reply.entries.front().value);
  if (manifest.has_error()) return Abort();
  m_unused.erase(SegmentKey(m_manifests.front()));
  m_manifests.pop_front();
  for (const SegmentNeed& need : SegmentsOf(manifest.value())) {
    m_unused.erase(SegmentKey(need.hash));
  }
  return NextManifest();
}

KvCalls SegmentCollector::Swap() {
  if (m_unused.empty()) {
    m_status = CollectStatus::kDone;
    return {};
  }
  ++m_root.collections;
  return Send(
      Step::kSwap,
      KvCompareAndSwap{
          kConfigRootKey, m_root_version, m_codec.EncodeRoot(m_root), {}});
}

KvCalls SegmentCollector::DeleteNext() {
  if (m_unused.empty()) {
    m_status = CollectStatus::kDone;
    return {};
  }
  const auto first = m_unused.extract(m_unused.begin());
  return Send(Step::kDelete, KvDelete{first.key(), first.mapped()});
}

}  // namespace yuccamoor

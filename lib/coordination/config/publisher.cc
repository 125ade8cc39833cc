/// \file
/// \brief Implementation of one publication's state machine: its calls, and the
/// reading of what is in force.

#include "yuccamoor/coordination/config/publisher.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace yuccamoor {
namespace {

constexpr BackoffLimits kRetryLimits{DurationMs(20), DurationMs(2'000)};

bool IsAbsent(const KvReply& reply) {
  return reply.status == KvStatus::kNotFound ||
         (reply.status == KvStatus::kOk && reply.entries.empty());
}

}  // namespace

Publisher::Publisher(PublishRequest request, const ConfigCodec& codec,
                     double random)
    : m_request(std::move(request)),
      m_codec(codec),
      m_random(random),
      m_segments(codec) {}

KvCalls Publisher::Begin() { return ReadRoot(); }

KvCalls Publisher::OnReply(KvCallId id, const KvReply& reply) {
  const auto it = m_pending.find(id);
  if (it == m_pending.end()) return {};
  Pending pending = std::move(it->second);
  m_pending.erase(it);
  if (finished()) return {};
  switch (pending.step) {
    case Step::kRoot:
      return OnRoot(pending, reply);
    case Step::kManifest:
      return OnManifest(pending, reply);
    case Step::kSegment:
      return OnSegment(pending, reply);
    case Step::kWrite:
      return OnWrite(std::move(pending), reply);
    case Step::kSwap:
      return OnSwap(pending, reply);
  }
  return {};
}

void Publisher::GiveUp() {
  if (finished()) return;
  const bool swapping =
      std::any_of(m_pending.begin(), m_pending.end(),
                  [](const auto& p) { return p.second.step == Step::kSwap; });
  End(swapping || m_unsettled ? PublishStatus::kUnknown
                              : PublishStatus::kGaveUp,
      m_root.current.revision);
}

KvCall Publisher::Send(Pending pending) {
  m_last_call = m_last_call.Next();
  DurationMs delay;
  if (pending.failures > 0) {
    constexpr double kStep = 0.618;
    m_random = std::fmod(m_random + kStep, 1.0);
    delay = BackoffDelay(kRetryLimits, pending.failures, m_random);
  }
  KvCall call{m_last_call, pending.request, delay};
  m_pending.emplace(m_last_call, std::move(pending));
  return call;
}

KvCalls Publisher::Retry(Pending pending) {
  ++pending.failures;
  return {Send(std::move(pending))};
}

KvCalls Publisher::ReadRoot() {
  Pending pending;
  pending.step = Step::kRoot;
  pending.request = KvGet{kConfigRootKey};
  return {Send(std::move(pending))};
}

KvCalls Publisher::OnRoot(const Pending& pending, const KvReply& reply) {
  if (IsAbsent(reply) && m_root_version == KvVersion()) {
    if (m_request.rollback) return PrepareRollback();
    return Prepare();
  }
  // A root that was there before does not vanish: an absent one is an answer
  // from the past.
  if (reply.status != KvStatus::kOk || reply.entries.empty()) {
    return Retry(pending);
  }
  return UseRoot(reply.entries.front());
}

KvCalls Publisher::UseRoot(const KvEntry& entry) {
  const auto root = m_codec.DecodeRoot(entry.value);
  if (root.has_error()) {
    m_outcome.findings = root.error();
    End(m_unsettled ? PublishStatus::kUnknown : PublishStatus::kInvalid);
    return {};
  }
  if (Settle(root.value(), entry.version)) return {};
  if (m_unsettled) {
    constexpr std::uint32_t kTriedBefore = 1;
    return Swap(kTriedBefore);
  }
  m_root = root.value();
  m_root_version = entry.version;
  if (m_request.rollback) return PrepareRollback();
  Pending pending;
  pending.step = Step::kManifest;
  pending.segment = m_root.current.manifest;
  pending.request = KvGet{SegmentKey(m_root.current.manifest)};
  return {Send(std::move(pending))};
}

bool Publisher::Settle(const RootRecord& root, KvVersion version) {
  if (!m_unsettled) return false;
  // The swap may be under way still: only a later root tells.
  if (version <= m_unsettled->root_version) return false;
  const Revision revision = m_unsettled->revision;
  const RootEntry* entry = FindRevision(root, revision);
  if (entry == nullptr && root.current.revision >= revision) {
    End(PublishStatus::kUnknown, root.current.revision);
    return true;
  }
  m_unsettled.reset();
  if (entry == nullptr || entry->nonce != m_request.nonce) return false;
  End(PublishStatus::kAccepted, revision);
  return true;
}

KvCalls Publisher::OnManifest(const Pending& pending, const KvReply& reply) {
  // An absent manifest was collected since: the root has moved on.
  if (IsAbsent(reply)) {
    Pending again;
    again.request = KvGet{kConfigRootKey};
    again.failures = pending.failures;
    return Retry(std::move(again));
  }
  if (reply.status != KvStatus::kOk) return Retry(pending);
  const std::string& bytes = reply.entries.front().value;
  auto manifest = m_codec.DecodeManifest(bytes);
  if (manifest.has_error() || HashSegment(bytes) != pending.segment) {
    return Retry(pending);
  }
  m_manifest = std::move(manifest.value());
  const auto missing = m_segments.Missing(m_manifest);
  m_reads.assign(missing.begin(), missing.end());
  return ReadNext();
}

KvCalls Publisher::ReadNext() {
  KvCalls calls;
  while (!m_reads.empty() && m_pending.size() < kMaxPublisherCalls) {
    Pending pending;
    pending.step = Step::kSegment;
    pending.segment = m_reads.front().hash;
    pending.kind = m_reads.front().kind;
    pending.request = KvGet{SegmentKey(pending.segment)};
    m_reads.pop_front();
    calls.push_back(Send(std::move(pending)));
  }
  if (m_reads.empty() && m_pending.empty()) return Prepare();
  return calls;
}

KvCalls Publisher::OnSegment(const Pending& pending, const KvReply& reply) {
  if (IsAbsent(reply)) {
    m_reads.clear();
    m_pending.clear();
    Pending again;
    again.request = KvGet{kConfigRootKey};
    again.failures = pending.failures;
    return Retry(std::move(again));
  }
  if (reply.status != KvStatus::kOk ||
      !m_segments.Add({pending.segment, pending.kind},
                      reply.entries.front().value)) {
    return Retry(pending);
  }
  return ReadNext();
}

void Publisher::End(PublishStatus status, Revision revision) {
  m_outcome.status = status;
  m_outcome.revision = revision;
  m_reads.clear();
  m_writes.clear();
}

}  // namespace yuccamoor

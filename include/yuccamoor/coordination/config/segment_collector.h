/// \file
/// \brief Deletes segments and manifests that no listed publication needs.
///
/// The collector lists what is stored with its versions, then reads the root,
/// then swaps the root with its count of collections raised, then deletes what
/// was unused, each under the version that was listed. A publication that was
/// prepared before the swap fails its own; one prepared after it has written
/// its segments again, under versions that the deletes do not match.

#ifndef YUCCAMOOR_COORDINATION_CONFIG_SEGMENT_COLLECTOR_H_
#define YUCCAMOOR_COORDINATION_CONFIG_SEGMENT_COLLECTOR_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "yuccamoor/coordination/config/config_codec.h"
#include "yuccamoor/coordination/config/kv_call.h"
#include "yuccamoor/state/config_records.h"

namespace yuccamoor {

/// How a collection ended.
enum class CollectStatus : std::uint8_t {
  kPending,
  kDone,
  /// A call failed or the root changed meanwhile. Nothing is harmed; what was
  /// not deleted is left to the next collection.
  kAborted,
};

/// One collection. Sends nothing itself. Not safe for use from several threads.
class SegmentCollector {
 public:
  /// \p codec must outlive the collector.
  explicit SegmentCollector(const ConfigCodec& codec) : m_codec(codec) {}

  /// Returns the first calls.
  KvCalls Begin();
  KvCalls OnReply(KvCallId id, const KvReply& reply);

  CollectStatus status() const { return m_status; }
  std::size_t deleted() const { return m_deleted; }

 private:
  enum class Step : std::uint8_t { kList, kRoot, kManifest, kSwap, kDelete };

  KvCalls List();
  KvCalls OnList(const KvReply& reply);
  KvCalls OnRoot(const KvReply& reply);
  KvCalls OnManifest(const KvReply& reply);
  KvCalls NextManifest();
  KvCalls Swap();
  KvCalls DeleteNext();
  KvCalls Send(Step step, KvRequest request);
  KvCalls Abort();

  const ConfigCodec& m_codec;
  CollectStatus m_status = CollectStatus::kPending;
  std::size_t m_deleted = 0;
  Step m_step = Step::kList;
  KvCallId m_call;

  std::size_t m_listed_digits = 0;
  /// What is stored and not known to be used, with the versions listed.
  std::map<std::string, KvVersion> m_unused;
  KvVersion m_root_version;
  RootRecord m_root;
  std::deque<SegmentHash> m_manifests;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_CONFIG_SEGMENT_COLLECTOR_H_

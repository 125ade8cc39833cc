/// \file
/// \brief Sizes of shard records and the form of keys.

#include "yuccamoor/coordination/request/idempotency_record.h"

#include <algorithm>

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxKeyBytes = 128;
/// Field names, numbers and punctuation of one encoded entry.
constexpr std::size_t kEntryOverheadBytes = 220;

}  // namespace

SegmentName SegmentNameOf(const AttemptNonce& claim) {
  return SegmentName(claim.owner.node.str() + "." +
                     std::to_string(claim.owner.incarnation.value()) + "." +
                     std::to_string(claim.owner.salt) + "." +
                     std::to_string(claim.number));
}

std::size_t EncodedBytesBound(const IdempotencyKey& key,
                              const ShardEntry& entry) {
  const std::size_t body = (entry.answer.body.size() + 2) / 3 * 4;
  const std::size_t type = (entry.answer.content_type.size() + 2) / 3 * 4;
  return kEntryOverheadBytes + key.str().size() +
         entry.nonce.owner.node.str().size() + type + body;
}

bool IsValidKey(const IdempotencyKey& key) {
  const std::string& text = key.str();
  if (text.empty() || text.size() > kMaxKeyBytes) return false;
  return std::all_of(text.begin(), text.end(), [](char c) {
    return c > ' ' && c < '\x7f' && c != '"' && c != '\\';
  });
}

}  // namespace yuccamoor

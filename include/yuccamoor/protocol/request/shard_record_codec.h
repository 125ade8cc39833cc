/// \file
/// \brief The JSON form of idempotency shard records.

#ifndef YUCCAMOOR_PROTOCOL_REQUEST_SHARD_RECORD_CODEC_H_
#define YUCCAMOOR_PROTOCOL_REQUEST_SHARD_RECORD_CODEC_H_

#include <optional>
#include <string>

#include "yuccamoor/coordination/request/idempotency_record.h"

namespace yuccamoor {

/// Encodes records as
///
///   {"format":1,"generation":G,"owners":[[node,incarnation,salt],...],
///    "entries":[[key,hash,state,owner,number,ended,status,type,body],...]}
///
/// where `owner` is an index into `owners`, the parts from `status` on are
/// there for answered keys only, and `type` and `body` are base64; a body that
/// was not kept is null.
class JsonShardRecordCodec final : public ShardRecordCodec {
 public:
  std::string Encode(const ShardRecord& record) const override;
  std::optional<ShardRecord> Decode(const std::string& value) const override;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_REQUEST_SHARD_RECORD_CODEC_H_

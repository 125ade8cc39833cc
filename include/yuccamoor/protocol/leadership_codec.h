/// \file
/// \brief JSON codec of leadership records and of the messages about them.

#ifndef YUCCAMOOR_PROTOCOL_LEADERSHIP_CODEC_H_
#define YUCCAMOOR_PROTOCOL_LEADERSHIP_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/leadership/election.h"
#include "yuccamoor/coordination/leadership/leadership_record.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// The record's codec.
class JsonRecordCodec final : public RecordCodec {
 public:
  std::string Encode(const LeadershipRecord& record) const override;
  std::optional<LeadershipRecord> Decode(
      const std::string& text) const override;
};

std::string EncodeCandidate(const Candidate& candidate);
std::optional<Candidate> DecodeCandidate(std::string_view text);

std::string EncodeHoldRequest(const HoldRequest& request);
std::string EncodeHoldReply(const HoldReply& reply);
Result<HoldRequest> DecodeHoldRequest(std::string_view text);
Result<HoldReply> DecodeHoldReply(std::string_view text);

std::string EncodeSettleRequest(const SettleRequest& request);
std::string EncodeSettleReply(const SettleReply& reply);
Result<SettleRequest> DecodeSettleRequest(std::string_view text);
Result<SettleReply> DecodeSettleReply(std::string_view text);

/// The answer of a scheduler that does not lead the cell. The leader's address
/// is empty if it is not known.
struct NotLeader {
  std::string leader_address;
};

std::string EncodeNotLeader(const NotLeader& answer);
/// Returns nothing if the text is another answer.
std::optional<NotLeader> DecodeNotLeader(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_LEADERSHIP_CODEC_H_

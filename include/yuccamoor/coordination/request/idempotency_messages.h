/// \file
/// \brief What goes into an idempotency shard and what comes out: requests with
/// keys, the actions that they lead to, and the shard's limits.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_MESSAGES_H_
#define YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_MESSAGES_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "yuccamoor/coordination/request/idempotency_record.h"
#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

/// The limits of one shard.
struct ShardOptions {
  /// The record's key in the key-value service.
  std::string record_key;
  /// How long the first intent waits for others to share its write.
  DurationMs gather_window{10};
  /// The least time between the starts of two writes.
  DurationMs min_write_interval{50};
  /// Ended entries are kept at least this long after their end.
  DurationMs retention{3'600'000};
  /// How long an intent may wait for its commit.
  DurationMs max_commit_wait{2'000};
  /// How long another gateway's intent is told as running.
  DurationMs running_grace{30'000};
  /// The wait after a failed call of the key-value service.
  DurationMs failure_pause{100};
  std::size_t max_waiting = 1'000;
  std::size_t max_record_bytes = 900'000;
  /// Ended entries of this many bytes are moved from the record to a segment.
  std::size_t seal_bytes = 65'536;
  /// Segments per shard. With all in use, new keys are refused rather than
  /// old ones forgotten.
  std::size_t max_segments = 256;
  std::size_t max_answer_bytes = 4'096;
};

/// Why a request with a key is not dispatched now.
enum class ShardRefusal : std::uint8_t {
  /// The key is held by a request that has not ended.
  kRunning,
  /// The key's request may have run; its answer will not be known.
  kOutcomeUnknown,
  /// The key was used with another method, path or body.
  kBodyMismatch,
  /// The intent could not be committed in time.
  kServiceDown,
  /// The caller states that it first used the key before the retention.
  kPastRetention,
  /// The record or the queue has no room.
  kShardFull,
  /// The key does not have the form that callers may use.
  kInvalidKey,
};

/// Returns the refusal's name on the wire.
std::string_view ShardRefusalName(ShardRefusal refusal);

/// What a refusal says of the request. Only the first sending of a key is ever
/// told kNotRun: an earlier one may still wait at a gateway that nobody hears.
Outcome OutcomeOf(ShardRefusal refusal, bool first_sending);

/// A request with a key.
struct ShardBegin {
  IdempotencyKey key;
  BodyHash body_hash;
  /// Unique for each arrival of the request at a gateway.
  RequestId request;
  TimeMs deadline = TimeMs::Never();
  /// The time since the caller first sent the key; nothing on the first time.
  std::optional<DurationMs> first_sent_ago;
};

/// Asks for a call; its reply goes to OnKvReply with the same number.
struct ShardKvCall {
  std::uint64_t number = 0;
  KvRequest request;
};

/// Gives the right to dispatch the request, once.
struct ShardDispatch {
  IdempotencyKey key;
  RequestId request;
};

/// Answers the request with the stored answer of the key.
struct ShardReplay {
  IdempotencyKey key;
  RequestId request;
  StoredAnswer answer;
};

/// Ends the request without a dispatch.
struct ShardRefuse {
  IdempotencyKey key;
  RequestId request;
  ShardRefusal reason = ShardRefusal::kServiceDown;
  Outcome outcome = Outcome::kUnknown;
  DurationMs retry_after;
};

using ShardAction =
    std::variant<ShardKvCall, ShardDispatch, ShardReplay, ShardRefuse>;
using ShardActions = std::vector<ShardAction>;

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_IDEMPOTENCY_MESSAGES_H_

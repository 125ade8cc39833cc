/// \file
/// \brief Puts the frames of one streamed answer in order, and says whether it
/// is whole and of the right target.

#ifndef YUCCAMOOR_COORDINATION_REQUEST_STREAM_ASSEMBLER_H_
#define YUCCAMOOR_COORDINATION_REQUEST_STREAM_ASSEMBLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// The number of one attempt of a request.
using AttemptNumber = NumberId<struct AttemptNumberTag>;
/// A token's place in its answer, from zero.
using TokenIndex = NumberId<struct TokenIndexTag>;

/// One frame of an engine's stream. The last one has `done` set, no text, and
/// as its index the number of tokens in the answer.
struct TokenFrame {
  RequestId request;
  AttemptNumber attempt;
  AdapterVersion target;
  InstanceId instance;
  TokenIndex index;
  std::string text;
  bool done = false;
};

/// What became of a frame.
enum class FrameVerdict : std::uint8_t {
  kAccepted,
  /// Seen before; ignored.
  kDuplicate,
  /// Of another request, attempt or engine life; ignored.
  kForeign,
  /// Of another adapter or version, or at odds with an earlier frame: the
  /// answer is void.
  kMismatch,
  /// Too far ahead of the gap to be held: the attempt is resumed instead.
  kOverflow,
  /// The answer was void before.
  kVoid,
};

/// The answer to one request over all its attempts. Tokens come out once each,
/// in order and without a gap.
class StreamAssembler {
 public:
  /// Holds at most \p max_held frames that wait behind a gap.
  StreamAssembler(RequestId request, AdapterVersion target,
                  std::size_t max_held);

  /// Goes on with an answer of which \p instance has generated the tokens
  /// before \p next and the caller has taken them.
  static StreamAssembler Resumed(RequestId request, AdapterVersion target,
                                 const InstanceId& instance, TokenIndex next,
                                 std::size_t max_held);

  /// Whether an attempt on \p instance may go on with this answer: always while
  /// nothing was taken, afterwards only on the engine life that generated what
  /// was taken, since another one may word the answer differently.
  bool CanAttempt(const InstanceId& instance) const;

  /// Starts an attempt; frames of earlier ones are foreign from now on. Returns
  /// the index from which the engine is to send. Throws std::logic_error if
  /// CanAttempt does not hold.
  TokenIndex StartAttempt(AttemptNumber attempt, const InstanceId& instance);

  FrameVerdict OnFrame(const TokenFrame& frame);

  /// Takes the tokens that are ready, in order.
  std::vector<std::string> Take();

  /// The index of the next token to be taken; also the SSE event id.
  TokenIndex next() const { return m_next; }
  /// Whether every token up to the done frame was taken.
  bool Whole() const;
  bool Void() const { return m_void; }

 private:
  FrameVerdict OnDone(const TokenFrame& frame);
  FrameVerdict Reject();

  RequestId m_request;
  AdapterVersion m_target;
  std::size_t m_max_held;
  AttemptNumber m_attempt;
  InstanceId m_instance;
  TokenIndex m_next;
  std::optional<TokenIndex> m_total;
  std::map<TokenIndex, std::string> m_held;
  bool m_void = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_REQUEST_STREAM_ASSEMBLER_H_

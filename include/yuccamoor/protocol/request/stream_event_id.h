/// \file
/// \brief The ids of a streamed answer's events. Each names the stream and the
/// event's place in it, so that a caller can reconnect through any gateway.

#ifndef YUCCAMOOR_PROTOCOL_REQUEST_STREAM_EVENT_ID_H_
#define YUCCAMOOR_PROTOCOL_REQUEST_STREAM_EVENT_ID_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/request/stream_assembler.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// Names one engine's stream of an answer.
struct StreamHandle {
  /// The request's id, as its caller knows it.
  RequestId request;
  /// The id that the engine knows the request by. It cannot be guessed, so that
  /// only the caller of the request can name its stream.
  RequestId generation;
  AdapterVersion target;
  WorkerId worker;
  InstanceId instance;
  AttemptNumber attempt;

  friend bool operator==(const StreamHandle&, const StreamHandle&) = default;
};

/// An event's id: a stream and the event's token.
struct StreamEventId {
  StreamHandle stream;
  TokenIndex index;
};

/// Returns the part that the ids of all the stream's events begin with.
std::string EncodeStreamHandle(const StreamHandle& stream);
/// Returns the id of one event.
std::string EncodeStreamEventId(std::string_view encoded_stream,
                                TokenIndex index);
/// Returns the id, or nothing if the text is not exactly one that the encoder
/// gives.
std::optional<StreamEventId> DecodeStreamEventId(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_REQUEST_STREAM_EVENT_ID_H_

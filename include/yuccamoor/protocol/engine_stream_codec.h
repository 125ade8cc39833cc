/// \file
/// \brief JSON codec of generation requests to engines and of the frames that
/// answer them.

#ifndef YUCCAMOOR_PROTOCOL_ENGINE_STREAM_CODEC_H_
#define YUCCAMOOR_PROTOCOL_ENGINE_STREAM_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/coordination/request/stream_assembler.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/priority.h"

namespace yuccamoor {

/// Asks an engine for an answer, from the given token on.
struct GenerateRequest {
  RequestId request;
  AttemptNumber attempt;
  AdapterVersion target;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  Priority priority = Priority::kNormal;
  TokenIndex resume_from;
};

std::string EncodeGenerateRequest(const GenerateRequest& request);

/// Returns the body that asks an engine to end a request.
std::string EncodeCancelRequest(const RequestId& request);

/// Returns nothing if the text is no frame.
std::optional<TokenFrame> DecodeTokenFrame(std::string_view text);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_ENGINE_STREAM_CODEC_H_

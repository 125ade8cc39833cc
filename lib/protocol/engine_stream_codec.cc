/// \file
/// \brief Implementation of the codec of engine streams.

#include "yuccamoor/protocol/engine_stream_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

static void from_json(const Json& json, TokenFrame& frame) {
  json.at("request_id").get_to(frame.request);
  json.at("attempt").get_to(frame.attempt);
  json.at("target").get_to(frame.target);
  json.at("instance").get_to(frame.instance);
  frame.done = json.value("done", false);
  if (frame.done) {
    json.at("tokens").get_to(frame.index);
    return;
  }
  json.at("index").get_to(frame.index);
  json.at("token").get_to(frame.text);
}

std::string EncodeGenerateRequest(const GenerateRequest& request) {
  return Json{{"request_id", request.request},
              {"attempt", request.attempt},
              {"target", request.target},
              {"prompt", request.prompt},
              {"max_tokens", request.max_tokens},
              {"priority", static_cast<int>(request.priority)},
              {"resume_from", request.resume_from}}
      .dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string EncodeCancelRequest(const RequestId& request) {
  return Json{{"request_id", request}}.dump(-1, ' ', false,
                                            Json::error_handler_t::replace);
}

std::optional<TokenFrame> DecodeTokenFrame(std::string_view text) {
  return DecodeJson<TokenFrame>(text);
}

}  // namespace yuccamoor

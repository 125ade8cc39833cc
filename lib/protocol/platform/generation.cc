/// \file
/// \brief JSON form of generation requests and events.

#include "yuccamoor/protocol/platform/generation.h"

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/enum_names.h"
#include "yuccamoor/protocol/sse.h"

namespace yuccamoor {
namespace {

constexpr std::array<EnumName<Priority>, 3> kPriorityNames = {{
    {Priority::kInteractive, "interactive"},
    {Priority::kNormal, "normal"},
    {Priority::kBackground, "background"},
}};

GenerateRequest ReadRequest(const Json& json) {
  GenerateRequest request;
  request.request_id = json.at("request_id").get<RequestId>();
  request.attempt = GetUnsigned32(json.value("attempt", Json(1U)));
  request.target = json.at("target").get<AdapterVersion>();
  request.prompt = json.at("prompt").get<std::string>();
  request.max_tokens = GetUnsigned32(json.at("max_tokens"));
  request.priority = EnumOf<Priority>(
      kPriorityNames, json.value("priority", std::string("normal")));
  request.resume_from = GetUnsigned32(json.value("resume_from", Json(0U)));
  return request;
}

TokenEvent ReadEvent(const Json& json) {
  TokenEvent event;
  event.request_id = json.at("request_id").get<RequestId>();
  event.attempt = GetUnsigned32(json.at("attempt"));
  event.target = json.at("target").get<AdapterVersion>();
  event.instance = json.at("instance").get<InstanceId>();
  event.done = json.value("done", false);
  event.index = GetUnsigned32(json.at(event.done ? "tokens" : "index"));
  if (!event.done) event.token = json.at("token").get<std::string>();
  return event;
}

}  // namespace

std::string EncodeGenerateRequest(const GenerateRequest& request) {
  return Json{{"request_id", request.request_id},
              {"attempt", request.attempt},
              {"target", request.target},
              {"prompt", request.prompt},
              {"max_tokens", request.max_tokens},
              {"priority", PriorityName(request.priority)},
              {"resume_from", request.resume_from}}
      .dump();
}

std::optional<GenerateRequest> DecodeGenerateRequest(std::string_view text) {
  try {
    return ReadRequest(Json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string EncodeTokenEvent(const TokenEvent& event) {
  Json json = {{"request_id", event.request_id},
               {"attempt", event.attempt},
               {"target", event.target},
               {"instance", event.instance}};
  if (event.done) {
    json["done"] = true;
    json["tokens"] = event.index;
  } else {
    json["index"] = event.index;
    json["token"] = event.token;
  }
  return EncodeSse(SseEvent{"", json.dump()});
}

std::optional<TokenEvent> DecodeTokenEvent(std::string_view data) {
  try {
    return ReadEvent(Json::parse(data));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::string PriorityName(Priority priority) {
  return NameOf(kPriorityNames, priority);
}

std::optional<Priority> ParsePriority(std::string_view name) {
  for (const auto& entry : kPriorityNames) {
    if (entry.name == name) return entry.value;
  }
  return std::nullopt;
}

}  // namespace yuccamoor

/// \file
/// \brief JSON form of generation requests and events.

#include "yuccamoor/protocol/platform/generation.h"

#include <stdexcept>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/enum_names.h"

namespace yuccamoor {
namespace {

constexpr std::array<EnumName<Priority>, 3> kPriorityNames = {{
    {Priority::kInteractive, "interactive"},
    {Priority::kNormal, "normal"},
    {Priority::kBackground, "background"},
}};

constexpr std::string_view kDataField = "data: ";
constexpr std::string_view kEventEnd = "\n\n";
constexpr std::size_t kMaxEventBytes = 1'048'576;

GenerateRequest ReadRequest(const Json& json) {
  GenerateRequest request;
  request.request_id = json.at("request_id").get<RequestId>();
  request.attempt = json.value("attempt", std::uint32_t{1});
  request.target = json.at("target").get<AdapterVersion>();
  request.prompt = json.at("prompt").get<std::string>();
  request.max_tokens = json.at("max_tokens").get<std::uint32_t>();
  request.priority = EnumOf<Priority>(
      kPriorityNames, json.value("priority", std::string("normal")));
  request.resume_from = json.value("resume_from", std::uint32_t{0});
  return request;
}

TokenEvent ReadEvent(const Json& json) {
  TokenEvent event;
  event.request_id = json.at("request_id").get<RequestId>();
  event.attempt = json.at("attempt").get<std::uint32_t>();
  event.target = json.at("target").get<AdapterVersion>();
  event.instance = json.at("instance").get<InstanceId>();
  event.done = json.value("done", false);
  event.index = json.at(event.done ? "tokens" : "index").get<std::uint32_t>();
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
  return std::string(kDataField) + json.dump() + std::string(kEventEnd);
}

std::optional<TokenEvent> DecodeTokenEvent(std::string_view data) {
  try {
    return ReadEvent(Json::parse(data));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

void SseReader::Append(std::string_view piece) {
  if (m_buffer.size() + piece.size() > kMaxEventBytes) {
    throw std::length_error("server-sent event too long");
  }
  m_buffer += piece;
}

std::optional<std::string> SseReader::Next() {
  const std::size_t end = m_buffer.find(kEventEnd);
  if (end == std::string::npos) return std::nullopt;
  std::string event = m_buffer.substr(0, end);
  m_buffer.erase(0, end + kEventEnd.size());
  if (event.starts_with(kDataField)) event.erase(0, kDataField.size());
  return event;
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

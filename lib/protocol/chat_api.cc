/// \file
/// \brief Implementation of the chat interface.

#include "yuccamoor/protocol/chat_api.h"

#include "yuccamoor/protocol/field_reader.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kMaxTokens = 32'768;
constexpr const char* kSource = "request";

void ReadMessages(const Json& root, Findings& findings,
                  std::vector<ChatMessage>& messages) {
  const auto it = root.find("messages");
  if (it == root.end() || !it->is_array() || it->empty()) {
    findings.Add(Place{kSource, "/messages", 0, 0}, "is not a filled array",
                 "give at least one message");
    return;
  }
  for (std::size_t i = 0; i < it->size(); ++i) {
    const Json& entry = (*it)[i];
    const std::string pointer = "/messages/" + std::to_string(i);
    if (!entry.is_object()) {
      findings.Add(Place{kSource, pointer, 0, 0}, "is not an object");
      continue;
    }
    ChatMessage message;
    FieldReader reader(entry, kSource, pointer, findings);
    reader.RequiredString("role", message.role);
    reader.RequiredString("content", message.content);
    messages.push_back(std::move(message));
  }
}

Json ChatHead(const RequestId& request, const AdapterVersion& target,
              const char* object) {
  return Json{{"id", request}, {"object", object}, {"model", target}};
}

}  // namespace

Result<ChatRequest> ParseChatRequest(std::string_view body) {
  auto json = ParseJson(body, kSource);
  if (!json) return json.error();
  const Json& root = json.value();
  if (!root.is_object()) {
    return Findings(
        Finding{Place{kSource, "", 0, 0}, "is not a JSON object", ""});
  }
  ChatRequest request;
  Findings findings;
  FieldReader reader(root, kSource, "", findings);
  reader.RequiredString("model", request.model);
  reader.OptionalBool("stream", request.stream);
  std::uint64_t max_tokens = request.max_tokens;
  reader.OptionalCount("max_tokens", 1, kMaxTokens, max_tokens);
  request.max_tokens = static_cast<std::uint32_t>(max_tokens);
  reader.OptionalString("user", request.user);
  ReadMessages(root, findings, request.messages);
  if (!findings.empty()) return findings;
  return request;
}

std::string BuildPrompt(const ChatRequest& request) {
  std::string prompt;
  for (const ChatMessage& message : request.messages) {
    if (!prompt.empty()) prompt += '\n';
    prompt += message.role + ": " + message.content;
  }
  return prompt;
}

std::string EncodeChatAnswer(const ChatAnswer& answer) {
  Json json = ChatHead(answer.request, answer.target, "chat.completion");
  json["choices"] = Json::array(
      {{{"index", 0},
        {"message", {{"role", "assistant"}, {"content", answer.text}}},
        {"finish_reason", "stop"}}});
  json["usage"] = {{"completion_tokens", answer.tokens}};
  return json.dump();
}

ChatChunkEncoder::ChatChunkEncoder(const RequestId& request,
                                   const AdapterVersion& target)
    : m_tail(
          R"(},"index":0}],)" +
          ChatHead(request, target, "chat.completion.chunk").dump().substr(1)) {
}

std::string ChatChunkEncoder::Encode(std::string_view token) const {
  return R"({"choices":[{"delta":{"content":)" + Json(token).dump() + m_tail;
}

std::string EncodeChatEnd(const RequestId& request,
                          const AdapterVersion& target, std::uint32_t tokens) {
  Json json = ChatHead(request, target, "chat.completion.chunk");
  json["choices"] = Json::array(
      {{{"index", 0}, {"delta", Json::object()}, {"finish_reason", "stop"}}});
  json["usage"] = {{"completion_tokens", tokens}};
  return json.dump();
}

}  // namespace yuccamoor

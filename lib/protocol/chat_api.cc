/// \file
/// \brief Implementation of the chat interface.

#include "yuccamoor/protocol/chat_api.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

constexpr std::uint32_t kMaxTokens = 32'768;
constexpr const char* kSource = "request";

/// Reads fields of a JSON object and collects what is wrong with them.
class FieldReader {
 public:
  FieldReader(const Json& object, std::string pointer, Findings& findings)
      : m_object(object), m_pointer(std::move(pointer)), m_findings(findings) {}

  void RequiredString(const char* name, std::string& out) {
    const auto it = m_object.find(name);
    if (it == m_object.end()) {
      Report(name, "is missing", "give a string");
      return;
    }
    ReadString(name, *it, out);
    if (it->is_string() && out.empty()) Report(name, "is empty", "");
  }

  void OptionalString(const char* name, std::string& out) {
    const auto it = m_object.find(name);
    if (it != m_object.end()) ReadString(name, *it, out);
  }

  void OptionalBool(const char* name, bool& out) {
    const auto it = m_object.find(name);
    if (it == m_object.end()) return;
    if (!it->is_boolean()) return Report(name, "is not true or false", "");
    out = it->get<bool>();
  }

  void OptionalCount(const char* name, std::uint32_t max, std::uint32_t& out) {
    const auto it = m_object.find(name);
    if (it == m_object.end()) return;
    const bool in_range = it->is_number_unsigned() &&
                          it->get<std::uint64_t>() >= 1 &&
                          it->get<std::uint64_t>() <= max;
    if (!in_range) {
      return Report(name, "is not a whole number in range",
                    "give 1 to " + std::to_string(max));
    }
    out = it->get<std::uint32_t>();
  }

 private:
  void ReadString(const char* name, const Json& value, std::string& out) {
    if (!value.is_string()) return Report(name, "is not a string", "");
    out = value.get<std::string>();
  }

  void Report(const char* name, std::string message, std::string hint) {
    m_findings.Add(Place{kSource, m_pointer + "/" + name, 0, 0},
                   std::move(message), std::move(hint));
  }

  const Json& m_object;
  std::string m_pointer;
  Findings& m_findings;
};

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
    FieldReader reader(entry, pointer, findings);
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
  FieldReader reader(root, "", findings);
  reader.RequiredString("model", request.model);
  reader.OptionalBool("stream", request.stream);
  reader.OptionalCount("max_tokens", kMaxTokens, request.max_tokens);
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

std::string EncodeChatChunk(const RequestId& request,
                            const AdapterVersion& target,
                            std::string_view token) {
  Json json = ChatHead(request, target, "chat.completion.chunk");
  json["choices"] =
      Json::array({{{"index", 0}, {"delta", {{"content", token}}}}});
  return json.dump();
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

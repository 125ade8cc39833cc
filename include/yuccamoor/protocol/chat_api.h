/// \file
/// \brief The callers' chat interface, after the chat completions convention.

#ifndef YUCCAMOOR_PROTOCOL_CHAT_API_H_
#define YUCCAMOOR_PROTOCOL_CHAT_API_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/result.h"

namespace yuccamoor {

/// One message of a conversation.
struct ChatMessage {
  std::string role;
  std::string content;
};

/// A caller's request.
struct ChatRequest {
  /// "adapter@version" or an alias.
  std::string model;
  std::vector<ChatMessage> messages;
  bool stream = false;
  std::uint32_t max_tokens = 256;
  /// The caller's own key, which picks an alias's target; may be empty.
  std::string user;
};

/// A whole answer.
struct ChatAnswer {
  RequestId request;
  AdapterVersion target;
  std::string text;
  std::uint32_t tokens = 0;
};

/// Parses a request body. Every wrong field is a finding with its pointer.
Result<ChatRequest> ParseChatRequest(std::string_view body);

/// Returns the prompt that the engine is given: the messages in order.
std::string BuildPrompt(const ChatRequest& request);

/// Returns the body of a whole answer.
std::string EncodeChatAnswer(const ChatAnswer& answer);

/// Encodes the data of an answer's streamed tokens. What all of them have in
/// common is encoded once.
class ChatChunkEncoder {
 public:
  ChatChunkEncoder(const RequestId& request, const AdapterVersion& target);

  std::string Encode(std::string_view token) const;

 private:
  /// What follows the token.
  std::string m_tail;
};

/// Returns the data of the event before the last, which tells that the answer
/// is whole.
std::string EncodeChatEnd(const RequestId& request,
                          const AdapterVersion& target, std::uint32_t tokens);

/// The data of a whole stream's last event.
constexpr std::string_view kChatDone = "[DONE]";

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_CHAT_API_H_

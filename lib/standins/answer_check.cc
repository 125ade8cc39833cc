/// \file
/// \brief Checking of streamed answers.

#include "yuccamoor/standins/answer_check.h"

#include <exception>
#include <utility>

#include "yuccamoor/protocol/chat_api.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/standins/token_rule.h"

namespace yuccamoor {

std::string_view AnswerFaultName(AnswerFault fault) {
  switch (fault) {
    case AnswerFault::kNone:
      return "none";
    case AnswerFault::kCut:
      return "cut";
    case AnswerFault::kMalformed:
      return "malformed";
    case AnswerFault::kWrongTarget:
      return "wrong_target";
    case AnswerFault::kMixedRequests:
      return "mixed_requests";
    case AnswerFault::kWrongText:
      return "wrong_text";
  }
  return "unknown";
}

AnswerCheck::AnswerCheck(AdapterVersion target, std::string prompt,
                         std::uint32_t tokens)
    : m_target(std::move(target)),
      m_prompt(std::move(prompt)),
      m_tokens(tokens) {}

void AnswerCheck::Feed(std::string_view piece) {
  try {
    for (const SseEvent& event : m_parser.Feed(piece)) TakeEvent(event.data);
  } catch (const std::exception&) {
    Note(AnswerFault::kMalformed);
  }
}

void AnswerCheck::TakeEvent(const std::string& data) {
  if (data == kChatDone) {
    m_done = true;
    return;
  }
  const Json json = Json::parse(data);
  // An error in the stream's place of an end: the answer is not whole.
  if (json.contains("error")) return;
  if (json.at("model").get<AdapterVersion>() != m_target) {
    Note(AnswerFault::kWrongTarget);
  }
  const auto request = json.at("id").get<std::string>();
  if (m_request.empty()) m_request = request;
  if (request != m_request) Note(AnswerFault::kMixedRequests);
  m_text += json.at("choices").at(0).at("delta").value("content", "");
}

AnswerFault AnswerCheck::Finish(bool whole) {
  if (m_fault != AnswerFault::kNone) return m_fault;
  if (!whole || !m_done) return AnswerFault::kCut;
  const bool right = m_text == ExpectedAnswer(m_target, m_prompt, m_tokens);
  return right ? AnswerFault::kNone : AnswerFault::kWrongText;
}

void AnswerCheck::Note(AnswerFault fault) {
  if (m_fault == AnswerFault::kNone) m_fault = fault;
}

}  // namespace yuccamoor

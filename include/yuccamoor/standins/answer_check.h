/// \file
/// \brief Checks a streamed answer: whether it is whole, by the right target,
/// and the answer to its own request.

#ifndef YUCCAMOOR_STANDINS_ANSWER_CHECK_H_
#define YUCCAMOOR_STANDINS_ANSWER_CHECK_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "yuccamoor/protocol/sse.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// What is wrong with an answer.
enum class AnswerFault : std::uint8_t {
  kNone,
  /// The stream ended early.
  kCut,
  /// An event that is none of an answer's.
  kMalformed,
  kWrongTarget,
  /// Events of more than one request.
  kMixedRequests,
  /// Not the tokens that the stand-in engine gives for this prompt.
  kWrongText,
};

/// Returns the fault's name in reports.
std::string_view AnswerFaultName(AnswerFault fault);

/// Reads the events of one streamed chat answer.
class AnswerCheck {
 public:
  /// \p prompt is the prompt that the gateway gives to the engine.
  AnswerCheck(AdapterVersion target, std::string prompt, std::uint32_t tokens);

  /// Takes the next piece of the body.
  void Feed(std::string_view piece);
  /// Returns the verdict once the body has ended; \p whole tells whether the
  /// transport saw it end as it should.
  AnswerFault Finish(bool whole);
  /// Whether a token has come.
  bool started() const { return !m_text.empty(); }

 private:
  void TakeEvent(const std::string& data);
  void Note(AnswerFault fault);

  AdapterVersion m_target;
  std::string m_prompt;
  std::uint32_t m_tokens;
  SseParser m_parser;
  AnswerFault m_fault = AnswerFault::kNone;
  std::string m_request;
  std::string m_text;
  bool m_done = false;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_ANSWER_CHECK_H_

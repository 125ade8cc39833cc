/// \file
/// \brief How the end of a request is told to its caller.

#include "yuccamoor/protocol/request/call_response.h"

#include <algorithm>
#include <charconv>
#include <system_error>

#include "yuccamoor/protocol/api_error.h"

namespace yuccamoor {
namespace {

constexpr std::int64_t kMsPerSecond = 1'000;

int StatusOfShard(ShardRefusal refusal) {
  switch (refusal) {
    case ShardRefusal::kRunning:
    case ShardRefusal::kOutcomeUnknown:
    case ShardRefusal::kPastRetention:
      return 409;
    case ShardRefusal::kBodyMismatch:
      return 422;
    case ShardRefusal::kInvalidKey:
      return 400;
    case ShardRefusal::kServiceDown:
    case ShardRefusal::kShardFull:
      break;
  }
  return 503;
}

int StatusOf(const CallEnd& end) {
  if (end.shard) return StatusOfShard(*end.shard);
  switch (end.error) {
    case CallError::kMissingKey:
      return 400;
    case CallError::kAnswerLost:
    case CallError::kNotSent:
      return 502;
    case CallError::kDeadline:
      return 504;
    default:
      break;
  }
  return 503;
}

std::string_view MessageOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "the request was not run and may be sent again";
    case Outcome::kAnswered:
      return "the request was answered";
    case Outcome::kUnknown:
      break;
  }
  return "the request may have run; send it again only with the same key";
}

}  // namespace

std::string RetryAfterSeconds(DurationMs retry_after) {
  const std::int64_t ms = std::max<std::int64_t>(retry_after.ms(), 0);
  return std::to_string((ms + kMsPerSecond - 1) / kMsPerSecond);
}

CallResponse ResponseOf(const CallEnd& end) {
  CallResponse response;
  response.outcome = end.outcome;
  response.replayed = end.replayed;
  response.retry_after = end.retry_after;
  if (end.answer && end.answer->body_kept) {
    response.status = end.answer->status;
    response.content_type = end.answer->content_type;
    response.body = end.answer->body;
    return response;
  }
  ApiError error;
  error.outcome = end.outcome;
  error.retry_after = end.retry_after;
  if (end.answer) {
    error.type = "answer_not_kept";
    error.message = "the request was answered with status " +
                    std::to_string(end.answer->status) +
                    "; the answer was too large to keep";
    response.status = 409;
  } else {
    error.type =
        end.shard ? ShardRefusalName(*end.shard) : CallErrorName(end.error);
    error.message = MessageOf(end.outcome);
    response.status = StatusOf(end);
  }
  response.content_type = "application/json";
  response.body = EncodeApiError(error);
  return response;
}

std::optional<DurationMs> ParseFirstSentAgo(std::string_view value) {
  std::int64_t ms = 0;
  const char* end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, ms);
  if (error != std::errc() || rest != end || ms < 0) return std::nullopt;
  return DurationMs(ms);
}

}  // namespace yuccamoor

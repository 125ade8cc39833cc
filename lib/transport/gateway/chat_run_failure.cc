/// \file
/// \brief What a caller is told of a chat request that has failed.

#include "chat_run.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kRetryAfterResume(1'000);

}  // namespace

ApiError ChatRun::FailureOf(const AcquireResult& result) const {
  if (result.engine_lost) return Cut();
  ApiError error = MakeApiError(504, "deadline_exceeded",
                                "the request's time limit has passed");
  const bool in_time = m_services.clock.Now() < m_job.deadline;
  if (result.refusal) {
    error =
        MakeApiError(503, "overloaded", "the adapter cannot be served in time");
    error.retry_after = result.refusal->retry_after;
  } else if (m_sink.Committed() && in_time) {
    error = MakeApiError(503, "resume_unavailable",
                         "the engine that holds the answer cannot be used now");
    error.retry_after = kRetryAfterResume;
  }
  error.outcome = m_dispatched ? Outcome::kUnknown : Outcome::kNotRun;
  return error;
}

ApiError ChatRun::Cut() const {
  ApiError error = MakeApiError(502, "answer_cut",
                                "the answer was lost before it was whole");
  if (m_job.resume) {
    error = MakeApiError(410, "not_resumable",
                         "no engine holds the rest of this answer");
  }
  error.outcome = Outcome::kUnknown;
  return error;
}

}  // namespace yuccamoor

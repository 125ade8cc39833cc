/// \file
/// \brief The endpoint's ledger of what ran and what callers were told of it,
/// and the promises that both must keep.

#ifndef YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_LEDGER_H_
#define YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_LEDGER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/plain_call.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// Faults that are planted to see the checks fail.
enum class PlantedFault : std::uint8_t {
  kNone,
  kDispatchBeforeCommit,
  kRetryAfterLostAnswer,
  kKeyByConnection,
  kLeaseAsGuard,
  kLostWriteAssumedDone,
  kOwnersAlike,
  kLostAnswerToldNotRun,
  kAnswerOfAnotherKey,
  kSegmentsForgotten,
};

/// One sending of a key that arrived at a gateway.
struct Sending {
  RequestId request;
  IdempotencyKey key;
  bool repeat = false;
};

/// Totals over schedules, so that a run that tested nothing shows.
struct ScheduleTotals {
  std::uint64_t runs = 0;
  std::uint64_t answered = 0;
  std::uint64_t replayed = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
  std::uint64_t unended = 0;
};

/// Returns the answer of the endpoint to a key.
inline std::string AnswerTo(const IdempotencyKey& key) {
  return "paid " + key.str();
}

/// Collects runs and ends, and finds what breaks a promise.
class ScheduleLedger {
 public:
  void OnRun(const IdempotencyKey& key, const RequestId& request) {
    ++m_totals.runs;
    m_ran.insert(request);
    if (++m_runs[key] > 1) Violate("double run of " + key.str());
    if (m_told_not_run.contains(request)) {
      Violate("ran after not run: " + request.str());
    }
  }

  void OnTold(const Sending& sending, const CallEnd& end) {
    switch (end.outcome) {
      case Outcome::kAnswered:
        ++(end.replayed ? m_totals.replayed : m_totals.answered);
        if (!end.answer || end.answer->body != AnswerTo(sending.key)) {
          Violate("foreign answer for " + sending.key.str());
        }
        if (!m_runs.contains(sending.key)) {
          Violate("answer without a run of " + sending.key.str());
        }
        return;
      case Outcome::kNotRun:
        ++m_totals.not_run;
        m_told_not_run.insert(sending.request);
        // An earlier sending may yet run, so a repeat must never hear this.
        if (sending.repeat) Violate("repeat told not run");
        if (m_ran.contains(sending.request)) {
          Violate("false not run: " + sending.request.str());
        }
        return;
      case Outcome::kUnknown:
        ++m_totals.unknown;
        return;
    }
  }

  void OnUnended() { ++m_totals.unended; }

  const std::vector<std::string>& violations() const { return m_violations; }
  const ScheduleTotals& totals() const { return m_totals; }

 private:
  void Violate(std::string what) { m_violations.push_back(std::move(what)); }

  std::map<IdempotencyKey, std::uint32_t> m_runs;
  std::set<RequestId> m_ran;
  std::set<RequestId> m_told_not_run;
  std::vector<std::string> m_violations;
  ScheduleTotals m_totals;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_COORDINATION_REQUEST_SCHEDULE_LEDGER_H_

/// \file
/// \brief The recent requests of a daemon, for operators who ask why one
/// waited or failed.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_REQUEST_LOG_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_REQUEST_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "yuccamoor/coordination/request/outcome.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"

namespace yuccamoor {

/// One attempt at a worker or an endpoint.
struct AttemptRecord {
  /// The worker or endpoint.
  std::string where;
  /// How it ended, in a word.
  std::string end;
  DurationMs duration;
};

/// One request that has ended.
struct RequestRecord {
  RequestId id;
  /// The adapter version or the service.
  std::string target;
  /// Time that it waited for an adapter to arrive.
  DurationMs waited;
  DurationMs duration;
  Outcome outcome = Outcome::kNotRun;
  int status = 0;
  /// The failure's type; empty if there was none.
  std::string error;
  std::vector<AttemptRecord> attempts;
};

/// Keeps the last requests. Safe to use from several threads.
class RequestLog {
 public:
  static constexpr std::size_t kMaxRequests = 10'000;

  void Add(RequestRecord record);
  std::optional<RequestRecord> Find(const RequestId& id) const;

 private:
  mutable std::mutex m_mutex;
  std::unordered_map<RequestId, RequestRecord> m_records;
  std::deque<RequestId> m_order;
};

/// Returns the record as JSON text.
std::string EncodeRequestRecord(const RequestRecord& record);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_REQUEST_LOG_H_

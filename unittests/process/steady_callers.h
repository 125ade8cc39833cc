/// \file
/// \brief Callers that send one request after the other while a process test
/// does something to the cluster.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_STEADY_CALLERS_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_STEADY_CALLERS_H_

#include <atomic>
#include <functional>
#include <string>
#include <thread>

#include "process/cluster.h"

namespace yuccamoor {

/// How one call ended.
struct SteadyResult {
  /// Whether any byte of it was written.
  bool sent = true;
  /// What went wrong, or an empty string.
  std::string failure;
};

/// Makes the call of the given number through a gateway.
using SteadyCall = std::function<SteadyResult(int gateway, int number)>;

/// Returns the end of a call that must be answered with success.
SteadyResult ResultOf(const HttpReply& reply);

/// Calls through all ready gateways in turn until stopped, as the balancer
/// does, from a thread of its own.
class SteadyCallers {
 public:
  /// The cluster must outlive the callers.
  SteadyCallers(Cluster& cluster, int gateways, SteadyCall call);
  ~SteadyCallers();
  SteadyCallers(const SteadyCallers&) = delete;
  SteadyCallers& operator=(const SteadyCallers&) = delete;

  /// Ends the calls. Idempotent.
  void Stop();

  int answered() const { return m_answered; }
  int failed() const { return m_failed; }
  /// Calls of which nothing could be sent; they are neither of the above.
  int unsent() const { return m_unsent; }
  /// What the last failure said. Read after Stop.
  const std::string& failure() const { return m_failure; }

 private:
  void Run();

  Cluster& m_cluster;
  const int m_gateways;
  const SteadyCall m_call;
  std::atomic<bool> m_stop{false};
  std::atomic<int> m_answered{0};
  std::atomic<int> m_failed{0};
  std::atomic<int> m_unsent{0};
  std::string m_failure;
  std::thread m_thread;
};

/// Asks for short answers of the first two adapters in turn.
SteadyCall ShortChats(Cluster& cluster);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_STEADY_CALLERS_H_

/// \file
/// \brief One caller: sends a planned call, sends it again where that is safe,
/// and checks the answer.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_CALLER_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_CALLER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "load_report.h"
#include "yuccamoor/standins/workload.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class HttpClient;
struct HttpRequest;

/// How callers behave.
struct CallerOptions {
  std::vector<std::string> gateways;
  /// The path of charges, such as "/services/booking/deposits".
  std::string charge_path;
  std::uint32_t max_tokens = 16;
  /// The most sendings of one call.
  std::uint32_t max_sendings = 3;
  /// The longest wait for a chat's next piece, or for a charge's answer.
  DurationMs timeout{30'000};
  /// Tells the keys of this run from those of others.
  std::string run;
};

/// Makes calls. Used from the pool's coroutines.
class Caller {
 public:
  /// The client, the clock and the report must outlive this object.
  Caller(HttpClient& client, const Clock& clock, CallerOptions options,
         LoadReport& report);

  /// Makes the call and reports its end. \p planned is its time on the clock.
  Awaitable<void> Make(PlannedCall call, TimeMs planned);

  /// Returns the idempotency key of a charge.
  std::string KeyOf(const PlannedCall& call) const;

 private:
  /// What one sending led to.
  struct Sending {
    std::string outcome;
    /// Whether the call may be sent again.
    bool again = false;
    DurationMs retry_after;
    TimeMs first;
  };

  Awaitable<Sending> SendChat(std::string gateway, PlannedCall call);
  Awaitable<Sending> SendCharge(std::string gateway, PlannedCall call,
                                DurationMs since_first);
  HttpRequest ChatRequestOf(const PlannedCall& call) const;

  HttpClient& m_client;
  const Clock& m_clock;
  CallerOptions m_options;
  LoadReport& m_report;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_CALLER_H_

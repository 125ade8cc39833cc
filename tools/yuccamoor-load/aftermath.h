/// \file
/// \brief What the other programs say after a run: ledgers, engine counters and
/// gateway metrics.

#ifndef YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_AFTERMATH_H_
#define YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_AFTERMATH_H_

#include <string>
#include <vector>

#include "load_report.h"
#include "yuccamoor/transport/asio.h"

namespace yuccamoor {

class HttpClient;

/// Whom to ask, each as "ip:port".
struct AftermathOptions {
  std::vector<std::string> engines;
  std::vector<std::string> endpoints;
  /// The operators' listeners of gateways and schedulers.
  std::vector<std::string> operators;
  /// Only ledger entries with this prefix are of the run.
  std::string run;
};

/// Reads them and adds figures and breaches to the report: the engines' batch
/// fill, evictions in use, charges that ran twice, load stalls.
Awaitable<void> ReadAftermath(HttpClient& client, AftermathOptions options,
                              LoadReport& report);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TOOLS_YUCCAMOOR_LOAD_AFTERMATH_H_

/// \file
/// \brief What the other programs say after a run.

#include "aftermath.h"

#include <map>
#include <optional>
#include <sstream>
#include <utility>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_client.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;

/// Returns the body, or nothing if the program does not answer.
Awaitable<std::optional<std::string>> Get(HttpClient& client,
                                          std::string address,
                                          std::string target) {
  HttpRequest request;
  request.target = std::move(target);
  const HttpCallOptions options;
  HttpReply reply =
      co_await client.Call(std::move(address), std::move(request), options);
  const bool answered = reply.progress == HttpProgress::kAnswered &&
                        reply.response.status == kHttpOk;
  if (!answered) co_return std::nullopt;
  co_return std::move(reply.response.body);
}

Awaitable<void> ReadEngines(HttpClient& client,
                            std::vector<std::string> engines,
                            LoadReport& report) {
  double tokens = 0;
  double places = 0;
  std::uint64_t loads = 0;
  for (const std::string& engine : engines) {
    const auto body = co_await Get(client, engine, "/counters");
    if (!body) continue;
    const Json json = Json::parse(*body);
    tokens += json.at("tokens").get<double>();
    places += json.at("busy_steps").get<double>() *
              json.at("batch_capacity").get<double>();
    loads += GetUnsigned(json.at("loads_done"));
    const std::uint64_t in_use = GetUnsigned(json.at("evictions_in_use"));
    if (in_use == 0) continue;
    report.AddBreach("engine " + engine + ": " + std::to_string(in_use) +
                     " evictions in use");
  }
  if (engines.empty()) co_return;
  report.AddFigure("engine_batch_fill", places > 0 ? tokens / places : 0);
  report.AddFigure("engine_loads", static_cast<double>(loads));
}

Awaitable<void> ReadLedgers(HttpClient& client,
                            std::vector<std::string> endpoints, std::string run,
                            LoadReport& report) {
  std::map<std::string, std::uint64_t> runs;
  for (const std::string& endpoint : endpoints) {
    const auto body = co_await Get(client, endpoint, "/ledger");
    if (!body) continue;
    const Json json = Json::parse(*body);
    for (const Json& entry : json.at("entries")) {
      const auto key = entry.at("key").get<std::string>();
      if (key.starts_with(run)) ++runs[key];
    }
  }
  for (const auto& [key, count] : runs) {
    if (count < 2) continue;
    report.AddBreach("charge " + key + " ran " + std::to_string(count) +
                     " times");
  }
  if (endpoints.empty()) co_return;
  report.AddFigure("charges_run", static_cast<double>(runs.size()));
}

/// Copies the metrics that the users weigh most, with their program.
Awaitable<void> ReadMetrics(HttpClient& client,
                            std::vector<std::string> operators,
                            LoadReport& report) {
  for (const std::string& address : operators) {
    const auto body = co_await Get(client, address, "/metrics");
    if (!body) continue;
    std::istringstream lines(*body);
    for (std::string line; std::getline(lines, line);) {
      const bool wanted = line.starts_with("yuccamoor_load_stall") ||
                          line.starts_with("yuccamoor_batch_fill");
      const std::size_t space = line.rfind(' ');
      if (!wanted || space == std::string::npos) continue;
      report.AddFigure(address + " " + line.substr(0, space),
                       std::stod(line.substr(space + 1)));
    }
  }
}

}  // namespace

Awaitable<void> ReadAftermath(HttpClient& client, AftermathOptions options,
                              LoadReport& report) {
  co_await ReadEngines(client, options.engines, report);
  co_await ReadLedgers(client, options.endpoints, options.run, report);
  co_await ReadMetrics(client, options.operators, report);
}

}  // namespace yuccamoor

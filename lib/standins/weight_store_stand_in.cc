/// \file
/// \brief Stand-in for the platform's weight store.

#include "yuccamoor/standins/weight_store_stand_in.h"

#include <algorithm>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpNotFound = 404;
constexpr int kHttpTooMany = 429;
constexpr int kHttpFailed = 500;
constexpr DurationMs kTransferStep(5);

}  // namespace

WeightStoreStandIn::WeightStoreStandIn(const WeightStoreOptions& options)
    : m_options(options),
      m_bucket(options.loads_per_second, std::max(1.0, options.burst)) {}

Awaitable<void> WeightStoreStandIn::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/faults") SetFailures(request.body);
  if (co_await HandleFaults(exchange, m_faults)) co_return;
  if (request.target == "/counters") {
    co_await exchange.Send(JsonResponse(kHttpOk, CountersJson()));
    co_return;
  }
  if (co_await HandleOutage(exchange, m_faults)) co_return;
  if (request.target != "/fetch") {
    co_await exchange.Send(JsonResponse(kHttpNotFound, "{}"));
    co_return;
  }
  co_await HandleFetch(exchange);
}

Awaitable<void> WeightStoreStandIn::HandleFetch(HttpExchange& exchange) {
  if (!Begin()) {
    co_await exchange.Send(
        JsonResponse(kHttpTooMany, R"({"error":"rate_limited"})"));
    co_return;
  }
  co_await Transfer();
  const bool failed = !End();
  if (m_faults.TakeLostAnswer()) co_return;
  HttpResponse response = JsonResponse(kHttpOk, "{}");
  if (failed) response = JsonResponse(kHttpFailed, R"({"error":"failed"})");
  co_await exchange.Send(std::move(response));
}

Awaitable<void> WeightStoreStandIn::Transfer() {
  const auto whole = static_cast<double>(m_options.load_time.ms());
  double left = whole;
  TimeMs last = m_clock.Now();
  while (left > 0) {
    co_await SleepFor(std::min(
        kTransferStep, DurationMs(static_cast<std::int64_t>(left) + 1)));
    const TimeMs now = m_clock.Now();
    const std::lock_guard lock(m_mutex);
    const double share =
        std::max(1.0, static_cast<double>(m_in_flight) /
                          static_cast<double>(m_options.full_speed_in_flight));
    left -= static_cast<double>((now - last).ms()) / share;
    last = now;
  }
}

bool WeightStoreStandIn::Begin() {
  const std::lock_guard lock(m_mutex);
  if (!m_bucket.Take(m_clock.Now())) {
    ++m_rate_breaches;
    return false;
  }
  ++m_fetches;
  ++m_in_flight;
  m_max_in_flight = std::max(m_max_in_flight, m_in_flight);
  return true;
}

bool WeightStoreStandIn::End() {
  const std::lock_guard lock(m_mutex);
  --m_in_flight;
  if (m_fail_next == 0) return true;
  --m_fail_next;
  ++m_failed;
  return false;
}

bool WeightStoreStandIn::SetFailures(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("fail_next")) return false;
  const std::lock_guard lock(m_mutex);
  m_fail_next = json["fail_next"].get<std::uint32_t>();
  return true;
}

std::string WeightStoreStandIn::CountersJson() const {
  const std::lock_guard lock(m_mutex);
  return Json{{"fetches", m_fetches},
              {"failed", m_failed},
              {"rate_breaches", m_rate_breaches},
              {"in_flight", m_in_flight},
              {"max_in_flight", m_max_in_flight}}
      .dump();
}

}  // namespace yuccamoor

/// \file
/// \brief Stand-in for a plain service.

#include "yuccamoor/standins/plain_service_stand_in.h"

#include <utility>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;
constexpr const char* kNotRunHeader = "Yuccamoor-Not-Run";
constexpr std::size_t kMaxLedgerEntries = 1'000'000;

std::string KeyOf(const HttpRequest& request) {
  const std::string_view key = request.headers.Find("Idempotency-Key");
  if (!key.empty()) return std::string(key);
  return std::string(request.headers.Find("X-Request-Id"));
}

}  // namespace

PlainServiceStandIn::PlainServiceStandIn(EndpointId endpoint)
    : m_endpoint(std::move(endpoint)) {}

Awaitable<void> PlainServiceStandIn::Handle(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  if (request.target == "/faults") SetFaults(request.body);
  if (co_await HandleFaults(exchange, m_faults)) co_return;
  if (request.target == "/ledger") {
    co_await exchange.Send(JsonResponse(kHttpOk, LedgerJson()));
    co_return;
  }
  if (RefuseAsLeaving()) {
    HttpResponse refusal =
        JsonResponse(kHttpUnavailable, R"({"error":"leaving"})");
    refusal.headers.Add("Connection", "close");
    refusal.headers.Add(kNotRunHeader, "true");
    co_await exchange.Send(std::move(refusal));
    co_return;
  }
  if (co_await HandleOutage(exchange, m_faults)) co_return;
  co_await HandleCall(exchange);
}

Awaitable<void> PlainServiceStandIn::HandleCall(HttpExchange& exchange) {
  const HttpRequest& request = exchange.request();
  const std::string key = KeyOf(request);
  Append(request, key);
  const DurationMs run_time = RunTime();
  if (run_time > DurationMs(0)) co_await SleepFor(run_time);
  if (m_faults.TakeLostAnswer()) co_return;
  const Json body = {{"endpoint", m_endpoint},
                     {"key", key},
                     {"method", request.method},
                     {"path", request.target},
                     {"body", request.body}};
  co_await exchange.Send(JsonResponse(
      kHttpOk, body.dump(-1, ' ', false, Json::error_handler_t::replace)));
}

void PlainServiceStandIn::SetFaults(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object()) return;
  const std::lock_guard lock(m_mutex);
  m_run_time = DurationMs(json.value("run_ms", m_run_time.ms()));
  if (!json.contains("leaving")) return;
  m_leaving_since =
      json["leaving"].get<bool>() ? std::optional(m_clock.Now()) : std::nullopt;
}

bool PlainServiceStandIn::RefuseAsLeaving() {
  const std::lock_guard lock(m_mutex);
  if (!m_leaving_since) return false;
  ++m_refused;
  m_last_refusal = m_clock.Now() - *m_leaving_since;
  return true;
}

void PlainServiceStandIn::Append(const HttpRequest& request,
                                 const std::string& key) {
  const std::lock_guard lock(m_mutex);
  m_ledger.push_back(LedgerEntry{key, request.method, request.target});
  if (m_ledger.size() <= kMaxLedgerEntries) return;
  m_ledger.pop_front();
  ++m_dropped_entries;
}

DurationMs PlainServiceStandIn::RunTime() const {
  const std::lock_guard lock(m_mutex);
  return m_run_time;
}

std::string PlainServiceStandIn::LedgerJson() const {
  const std::lock_guard lock(m_mutex);
  Json entries = Json::array();
  for (const LedgerEntry& entry : m_ledger) {
    entries.push_back(
        {{"key", entry.key}, {"method", entry.method}, {"path", entry.path}});
  }
  Json json = {{"endpoint", m_endpoint},
               {"dropped_entries", m_dropped_entries},
               {"refused_while_leaving", m_refused},
               {"last_refusal_ms", m_last_refusal}};
  json["entries"] = std::move(entries);
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace yuccamoor

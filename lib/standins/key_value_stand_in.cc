/// \file
/// \brief Stand-in for the platform's key-value service.

#include "yuccamoor/standins/key_value_stand_in.h"

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/key_value_codec.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kWatchPoll(5);
constexpr int kHttpOk = 200;
constexpr int kHttpBadRequest = 400;
constexpr int kHttpNotFound = 404;

/// A burst of a tenth of a second's calls, and at least one.
TokenBucket MakeBucket(double per_second) {
  constexpr double kBurstSeconds = 0.1;
  return {per_second, std::max(1.0, per_second * kBurstSeconds)};
}

}  // namespace

KeyValueStandIn::KeyValueStandIn(const KeyValueStandInOptions& options)
    : m_writes(MakeBucket(options.writes_per_second)),
      m_reads(MakeBucket(options.reads_per_second)) {}

Awaitable<void> KeyValueStandIn::Handle(HttpExchange& exchange) {
  if (co_await HandleFaults(exchange, m_faults)) co_return;
  if (exchange.request().target == "/counters") {
    co_await exchange.Send(JsonResponse(kHttpOk, CountersJson()));
    co_return;
  }
  if (co_await HandleOutage(exchange, m_faults)) co_return;
  if (exchange.request().target != "/kv") {
    co_await exchange.Send(JsonResponse(kHttpNotFound, "{}"));
    co_return;
  }
  const auto request = DecodeKvRequest(exchange.request().body);
  if (!request) {
    co_await exchange.Send(JsonResponse(kHttpBadRequest, "{}"));
    co_return;
  }
  const KvReply reply = co_await HandleCall(*request);
  std::string body = EncodeKvReply(reply);
  Count("bytes_in", exchange.request().body.size());
  Count("bytes_out", body.size());
  if (m_faults.TakeLostAnswer()) co_return;
  co_await exchange.Send(JsonResponse(kHttpOk, std::move(body)));
}

Awaitable<KvReply> KeyValueStandIn::HandleCall(KvRequest request) {
  const KvReply reply = ApplyWithinRate(request);
  const auto* watch = std::get_if<KvWatch>(&request);
  if (watch == nullptr || reply.status != KvStatus::kOk) co_return reply;
  co_await WaitForChange(*watch);
  const std::lock_guard lock(m_mutex);
  co_return m_table.Apply(request, m_clock.Now());
}

KvReply KeyValueStandIn::ApplyWithinRate(const KvRequest& request) {
  const std::lock_guard lock(m_mutex);
  ++m_counters[std::string(KvOperationName(request))];
  TokenBucket& bucket = IsKvWrite(request) ? m_writes : m_reads;
  if (!bucket.Take(m_clock.Now())) {
    ++m_counters["rate_limited"];
    KvReply reply;
    reply.status = KvStatus::kRateLimited;
    return reply;
  }
  return m_table.Apply(request, m_clock.Now());
}

Awaitable<void> KeyValueStandIn::WaitForChange(KvWatch watch) {
  const TimeMs end = m_clock.Now() + watch.wait;
  while (m_clock.Now() < end && !m_faults.down()) {
    {
      const std::lock_guard lock(m_mutex);
      if (m_table.WatchReady(watch, m_clock.Now())) co_return;
    }
    co_await SleepFor(kWatchPoll);
  }
}

std::string KeyValueStandIn::CountersJson() const {
  const std::lock_guard lock(m_mutex);
  return Json(m_counters).dump();
}

void KeyValueStandIn::Count(const std::string& name, std::uint64_t amount) {
  const std::lock_guard lock(m_mutex);
  m_counters[name] += amount;
}

}  // namespace yuccamoor

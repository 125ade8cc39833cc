/// \file
/// \brief Driver of the engines' order and report side over HTTP.

#include "yuccamoor/transport/platform/http_engine_client.h"

#include <exception>
#include <utility>

#include "yuccamoor/protocol/platform/engine_codec.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;

OrderResult ResultOf(const EngineOrder& order, OrderStatus status) {
  OrderResult result;
  result.worker = order.worker;
  result.epoch = order.epoch;
  result.number = order.number;
  result.status = status;
  return result;
}

/// Maps how far the call came to what is known of the order.
OrderResult ToOrderResult(const HttpReply& reply, const EngineOrder& order) {
  if (reply.progress == HttpProgress::kNotSent) {
    return ResultOf(order, OrderStatus::kNotSent);
  }
  OrderResult unknown = ResultOf(order, OrderStatus::kUnknown);
  if (reply.progress == HttpProgress::kNoAnswer) return unknown;
  if (reply.response.status != kHttpOk) return unknown;
  const auto result = DecodeOrderResult(reply.response.body);
  if (!result) return unknown;
  // An answer to another order says nothing of this one.
  const bool own = result->worker == order.worker &&
                   result->epoch == order.epoch &&
                   result->number == order.number;
  return own ? *result : unknown;
}

Awaitable<OrderResult> OrderOnce(HttpClient& client, std::string address,
                                 EngineOrder order, HttpCallOptions options) {
  HttpRequest message;
  message.method = "POST";
  message.target = "/orders";
  message.body = EncodeEngineOrder(order);
  try {
    const HttpReply reply = co_await client.Call(
        std::move(address), std::move(message), std::move(options));
    co_return ToOrderResult(reply, order);
  } catch (const std::exception&) {
    co_return ResultOf(order, OrderStatus::kUnknown);
  }
}

Awaitable<std::optional<EngineReport>> ReportOnce(HttpClient& client,
                                                  std::string address,
                                                  DurationMs timeout) {
  try {
    const std::optional<std::string> body =
        co_await GetBody(client, std::move(address), "/report", timeout);
    if (!body) co_return std::nullopt;
    co_return DecodeEngineReport(*body);
  } catch (const std::exception&) {
    co_return std::nullopt;
  }
}

}  // namespace

std::unique_ptr<HttpEngineClient> HttpEngineClient::Create(WorkerPool& pool,
                                                           HttpClient& client,
                                                           const Clock& clock) {
  return std::unique_ptr<HttpEngineClient>(
      new HttpEngineClient(pool, client, clock));
}

HttpEngineClient::HttpEngineClient(WorkerPool& pool, HttpClient& client,
                                   const Clock& clock)
    : m_pool(pool), m_client(client), m_clock(clock) {}

void HttpEngineClient::Order(const std::string& address,
                             const EngineOrder& order, TimeMs send_before,
                             DurationMs timeout, OrderCallback done) {
  HttpCallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  options.may_send = [&clock = m_clock, send_before] {
    return clock.Now() < send_before;
  };
  m_pool.Spawn([&client = m_client, address, order, options,
                done = std::move(done)]() -> Awaitable<void> {
    OrderResult result = co_await OrderOnce(client, address, order, options);
    done(std::move(result));
  });
}

void HttpEngineClient::Report(const std::string& address, DurationMs timeout,
                              ReportCallback done) {
  m_pool.Spawn([&client = m_client, address, timeout,
                done = std::move(done)]() -> Awaitable<void> {
    auto report = co_await ReportOnce(client, address, timeout);
    done(std::move(report));
  });
}

}  // namespace yuccamoor

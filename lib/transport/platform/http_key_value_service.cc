/// \file
/// \brief Driver of the key-value service over HTTP.

#include "yuccamoor/transport/platform/http_key_value_service.h"

#include <exception>
#include <utility>

#include "yuccamoor/protocol/platform/key_value_codec.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr int kHttpOk = 200;
constexpr int kHttpUnavailable = 503;

KvReply ReplyOf(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

/// Maps how far the call came to what is known of its effect.
KvReply ToKvReply(const HttpReply& reply, bool write) {
  KvReply lost = ReplyOf(write ? KvStatus::kUnknown : KvStatus::kUnavailable);
  if (reply.progress == HttpProgress::kNotSent) {
    return ReplyOf(KvStatus::kUnavailable);
  }
  if (reply.progress == HttpProgress::kNoAnswer) return lost;
  if (reply.response.status == kHttpUnavailable) {
    return ReplyOf(KvStatus::kUnavailable);
  }
  if (reply.response.status != kHttpOk) return lost;
  return DecodeKvReply(reply.response.body).value_or(lost);
}

Awaitable<KvReply> CallOnce(HttpClient& client, std::string address,
                            KvRequest request, DurationMs timeout) {
  const bool write = IsKvWrite(request);
  HttpRequest message;
  message.method = "POST";
  message.target = "/kv";
  try {
    message.body = EncodeKvRequest(request);
  } catch (const std::exception&) {
    co_return ReplyOf(KvStatus::kUnavailable);
  }
  HttpCallOptions options;
  options.timeout = timeout;
  try {
    const HttpReply reply = co_await client.Call(
        std::move(address), std::move(message), std::move(options));
    co_return ToKvReply(reply, write);
  } catch (const std::exception&) {
    co_return ReplyOf(write ? KvStatus::kUnknown : KvStatus::kUnavailable);
  }
}

}  // namespace

std::unique_ptr<HttpKeyValueService> HttpKeyValueService::Create(
    WorkerPool& pool, HttpClient& client, std::string address) {
  return std::unique_ptr<HttpKeyValueService>(
      new HttpKeyValueService(pool, client, std::move(address)));
}

HttpKeyValueService::HttpKeyValueService(WorkerPool& pool, HttpClient& client,
                                         std::string address)
    : m_pool(pool), m_client(client), m_address(std::move(address)) {}

void HttpKeyValueService::Call(KvRequest request, DurationMs timeout,
                               Callback done) {
  m_pool.Spawn([&client = m_client, address = m_address,
                request = std::move(request), timeout,
                done = std::move(done)]() -> Awaitable<void> {
    KvReply reply = co_await CallOnce(client, address, request, timeout);
    done(std::move(reply));
  });
}

}  // namespace yuccamoor

/// \file
/// \brief Implementation of the blocking HTTP caller.

#include "process/http_caller.h"

namespace yuccamoor {

HttpCaller::HttpCaller() : m_pool(2), m_client(HttpClient::Create(m_pool)) {
  m_pool.Start();
}

HttpCaller::~HttpCaller() { m_pool.Stop(); }

std::future<HttpReply> HttpCaller::Start(const std::string& address,
                                         HttpRequest request,
                                         DurationMs timeout) {
  auto promise = std::make_shared<std::promise<HttpReply>>();
  HttpCallOptions options;
  options.timeout = timeout;
  options.fresh_connection = true;
  m_pool.Spawn([this, promise, address, request = std::move(request),
                options]() -> Awaitable<void> {
    promise->set_value(co_await m_client->Call(address, request, options));
  });
  return promise->get_future();
}

HttpReply HttpCaller::Call(const std::string& address, HttpRequest request,
                           DurationMs timeout) {
  return Start(address, std::move(request), timeout).get();
}

std::string HttpCaller::Get(const std::string& address,
                            const std::string& target) {
  HttpRequest request;
  request.target = target;
  const HttpReply reply = Call(address, std::move(request), DurationMs(2'000));
  return reply.progress == HttpProgress::kAnswered ? reply.response.body : "";
}

HttpReply HttpCaller::Post(const std::string& address,
                           const std::string& target, const std::string& body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = body;
  return Call(address, std::move(request));
}

}  // namespace yuccamoor

/// \file
/// \brief Runs a stand-in on loopback for the contract tests of the drivers.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_PLATFORM_STAND_IN_FIXTURE_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_PLATFORM_STAND_IN_FIXTURE_H_

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/standins/stand_in.h"
#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/http_server.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {

/// A pool, a client, and stand-ins that serve on free ports.
class StandInHost {
 public:
  StandInHost() : m_pool(2), m_client(HttpClient::Create(m_pool)) {
    m_pool.Start();
  }
  ~StandInHost() { m_pool.Stop(); }

  WorkerPool& pool() { return m_pool; }
  HttpClient& client() { return *m_client; }

  /// Serves the stand-in and returns its address.
  std::string Serve(const std::shared_ptr<StandIn>& stand_in) {
    m_stand_ins.push_back(stand_in);
    m_servers.push_back(
        HttpServer::Create(m_pool, {}, [stand_in](HttpExchange& exchange) {
          return stand_in->Handle(exchange);
        }).value());
    return "127.0.0.1:" + std::to_string(m_servers.back()->port());
  }

  /// Sends a request and waits for its end.
  HttpReply Call(const std::string& address, const std::string& method,
                 const std::string& target, const std::string& body = {},
                 HttpHeaders headers = {}) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.headers = std::move(headers);
    request.body = body;
    std::promise<HttpReply> promise;
    auto future = promise.get_future();
    m_pool.Spawn([&]() -> Awaitable<void> {
      const HttpCallOptions options;
      promise.set_value(co_await m_client->Call(address, request, options));
    });
    return future.get();
  }

  /// Sends a request and returns the JSON of its answer.
  Json CallJson(const std::string& address, const std::string& method,
                const std::string& target, const std::string& body = {}) {
    return Json::parse(Call(address, method, target, body).response.body);
  }

  void SetFaults(const std::string& address, const std::string& json) {
    Call(address, "POST", "/faults", json);
  }

 private:
  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
  std::vector<std::shared_ptr<StandIn>> m_stand_ins;
  std::vector<std::unique_ptr<HttpServer>> m_servers;
};

/// Waits for an interface that reports by callback.
template <class T>
T Await(const std::function<void(std::function<void(T)>)>& start) {
  auto promise = std::make_shared<std::promise<T>>();
  auto future = promise->get_future();
  start([promise](T value) { promise->set_value(std::move(value)); });
  return future.get();
}

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_PLATFORM_STAND_IN_FIXTURE_H_

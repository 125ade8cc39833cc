/// \file
/// \brief Routes callers' requests to plain services, at most once where the
/// configuration says so.

#ifndef YUCCAMOOR_TRANSPORT_GATEWAY_SERVICE_PROXY_H_
#define YUCCAMOOR_TRANSPORT_GATEWAY_SERVICE_PROXY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "yuccamoor/coordination/request/endpoint_set.h"
#include "yuccamoor/coordination/request/endpoint_tracker.h"
#include "yuccamoor/coordination/request/plain_call.h"
#include "yuccamoor/coordination/request/rate_share.h"
#include "yuccamoor/coordination/request/retry_budget.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/config_snapshot.h"
#include "yuccamoor/transport/asio.h"
#include "yuccamoor/transport/http.h"

namespace yuccamoor {

class HttpClient;
class HttpExchange;
struct HttpReply;
class RequestScope;
class ShardHost;
class Telemetry;

/// Callers' requests to services begin with this.
constexpr std::string_view kServicesPrefix = "/services/";
/// Set between gateways on requests that must not be forwarded once more.
constexpr const char* kForwardedHeader = "Yuccamoor-Forwarded";
/// Set between gateways on the refusal of a forwarded request of which nothing
/// was begun: the gateway does not know the service yet, or is shutting down.
constexpr const char* kNotTakenHeader = "Yuccamoor-Not-Taken";

/// What the proxy uses. All of it must outlive the proxy.
struct ServiceProxyServices {
  HttpClient& client;
  const Clock& clock;
  std::shared_ptr<ShardHost> shards;
  Telemetry& telemetry;
};

/// The proxy. Safe to use from several threads: one mutex guards the state of
/// all services; no call leaves the process while it is held, and no other
/// mutex is taken under it.
class ServiceProxy {
 public:
  ServiceProxy(ServiceProxyServices services, NodeId self,
               std::uint64_t random_seed);
  ~ServiceProxy();

  /// Takes the configuration in force.
  void OnConfig(std::shared_ptr<const ConfigSnapshot> config);
  /// Takes the platform's list of VMs.
  void OnVmList(const std::vector<VmEntry>& vms);
  /// Takes the live gateways: their peer addresses by id, this one included.
  void OnGateways(std::map<NodeId, std::string> gateways);
  /// Takes a peer's word on leaving VMs.
  void OnGossip(const LeavingGossip& gossip);
  /// Returns what to tell peers, if something new was learned.
  std::optional<LeavingGossip> TakeGossip();
  /// Forgets what is old.
  void Tick();

  /// Answers one request under kServicesPrefix.
  Awaitable<void> Handle(HttpExchange& exchange, RequestId id);

 private:
  struct ServiceState;
  /// A request that has been found valid.
  struct Job {
    std::shared_ptr<const ServiceConfig> service;
    std::shared_ptr<ServiceState> state;
    /// The target at the endpoint.
    std::string path;
    PlainCallSpec spec;
    /// The request's telemetry; outlives the job.
    RequestScope* scope = nullptr;
  };

  /// Fills in the job, or returns the response that refuses the request.
  std::optional<HttpResponse> Prepare(const HttpRequest& request,
                                      const RequestId& id, Job& job);
  std::optional<HttpResponse> CheckKey(const HttpRequest& request, Job& job);
  std::optional<HttpResponse> Admit(const Job& job);
  /// The gateway that the key's shard is homed on, if it is another one.
  std::optional<std::string> HomeElsewhere(const HttpRequest& request,
                                           const Job& job) const;
  Awaitable<HttpReply> Forward(const HttpRequest& request, const Job& job,
                               std::string address);
  Awaitable<HttpResponse> Answer(const HttpRequest& request, Job& job);
  Awaitable<HttpResponse> Run(const HttpRequest& request, const Job& job);
  Awaitable<PlainSteps> BeginKey(const Job& job, PlainCall& call,
                                 ShardBegin begin);
  Awaitable<PlainSteps> SendOnce(const HttpRequest& request, const Job& job,
                                 PlainCall& call, SendStep step);
  double Random() { return m_uniform(m_random); }

  ServiceProxyServices m_services;
  const NodeId m_self;

  mutable std::mutex m_mutex;
  std::mt19937_64 m_random;
  std::uniform_real_distribution<double> m_uniform{0, 1};
  EndpointTracker m_tracker;
  std::shared_ptr<const ConfigSnapshot> m_config;
  std::map<ServiceId, std::shared_ptr<ServiceState>> m_states;
  std::map<NodeId, std::string> m_gateways;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_GATEWAY_SERVICE_PROXY_H_

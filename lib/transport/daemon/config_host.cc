/// \file
/// \brief Implementation of the configuration host.

#include "yuccamoor/transport/daemon/config_host.h"

#include <utility>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/config/config_message_codec.h"
#include "yuccamoor/transport/daemon/member_registry.h"
#include "yuccamoor/transport/json_rpc.h"

namespace yuccamoor {
namespace {

/// Time for the answer beyond that for which a watch waits.
constexpr DurationMs kKvSlack(1'000);
/// Time after which a call to a peer counts as failed.
constexpr DurationMs kPeerTimeout(1'000);

ConfigReplicaOptions OptionsOf(const DaemonSettings& settings,
                               std::string address, std::uint64_t seed) {
  ConfigReplicaOptions options;
  options.self = settings.node;
  options.address = std::move(address);
  options.failure_domain = settings.failure_domain;
  options.peers = settings.peers;
  options.seed = seed;
  return options;
}

DurationMs TimeoutOf(const KvRequest& request) {
  const auto* watch = std::get_if<KvWatch>(&request);
  return watch == nullptr ? kKvSlack : watch->wait + kKvSlack;
}

}  // namespace

std::shared_ptr<ConfigHost> ConfigHost::Create(ConfigHostServices services,
                                               const DaemonSettings& settings,
                                               std::string address,
                                               std::uint64_t seed) {
  return std::shared_ptr<ConfigHost>(
      new ConfigHost(services, OptionsOf(settings, std::move(address), seed)));
}

ConfigHost::ConfigHost(ConfigHostServices services,
                       ConfigReplicaOptions options)
    : m_services(services),
      m_address(options.address),
      m_replica(std::move(options), m_codec, services.clock.Now()) {}

template <class Input>
void ConfigHost::Apply(Input input) {
  ConfigReplicaActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = input(m_replica, m_services.clock.Now());
  }
  Send(actions);
}

void ConfigHost::AddPeerMethods(JsonRpcDispatcher& dispatcher) {
  dispatcher.AddMethod(
      kConfigExchangeMethod, [this](const std::string& parameters) {
        const auto message = DecodeConfigAnnounce(parameters);
        if (!message) throw JsonRpcError(message.error().ToString());
        Apply([&](ConfigReplica& replica, TimeMs now) {
          return replica.OnExchange(message.value(), now);
        });
        const std::lock_guard lock(m_mutex);
        return EncodeConfigAnnounce(m_replica.Announce(m_services.clock.Now()));
      });
  dispatcher.AddMethod(
      kConfigFetchMethod, [this](const std::string& parameters) {
        const auto message = DecodeConfigFetch(parameters);
        if (!message) throw JsonRpcError(message.error().ToString());
        const std::lock_guard lock(m_mutex);
        return EncodeConfigBlobs(m_replica.OnFetch(message.value()));
      });
}

void ConfigHost::Tick() {
  Apply([&](ConfigReplica& replica, TimeMs now) {
    for (const MemberRole role :
         {MemberRole::kGateway, MemberRole::kScheduler}) {
      for (const Member& member : m_services.members.Live(role)) {
        if (member.address != m_address) replica.AddPeer(member.address);
      }
    }
    return replica.Tick(now);
  });
}

std::shared_ptr<const ConfigSnapshot> ConfigHost::Current() const {
  const std::lock_guard lock(m_mutex);
  return m_replica.current();
}

bool ConfigHost::Ready() const {
  const std::lock_guard lock(m_mutex);
  return m_replica.ready(m_services.clock.Now());
}

void ConfigHost::Send(const ConfigReplicaActions& actions) {
  for (const KvCall& call : actions.kv) SendKvCall(call);
  for (const ConfigExchangeCall& call : actions.exchanges) SendExchange(call);
  for (const ConfigFetchCall& call : actions.fetches) SendFetch(call);
}

void ConfigHost::SendKvCall(const KvCall& call) {
  m_services.key_value.Call(
      call.request, TimeoutOf(call.request),
      [self = shared_from_this(), id = call.id](const KvReply& reply) {
        self->Apply([&](ConfigReplica& replica, TimeMs now) {
          return replica.OnKvReply(id, reply, now);
        });
      });
}

void ConfigHost::SendExchange(const ConfigExchangeCall& call) {
  m_services.peers.Call(call.to, kConfigExchangeMethod,
                        EncodeConfigAnnounce(call.message), kPeerTimeout,
                        [self = shared_from_this(),
                         id = call.id](const std::optional<std::string>& text) {
                          std::optional<ConfigAnnounce> reply;
                          if (text) {
                            auto decoded = DecodeConfigAnnounce(*text);
                            if (decoded) reply = std::move(decoded).value();
                          }
                          self->Apply([&](ConfigReplica& replica, TimeMs now) {
                            return replica.OnExchangeReply(id, reply, now);
                          });
                        });
}

void ConfigHost::SendFetch(const ConfigFetchCall& call) {
  m_services.peers.Call(call.to, kConfigFetchMethod,
                        EncodeConfigFetch(call.message), kPeerTimeout,
                        [self = shared_from_this(),
                         id = call.id](const std::optional<std::string>& text) {
                          std::optional<ConfigBlobs> reply;
                          if (text) {
                            auto decoded = DecodeConfigBlobs(*text);
                            if (decoded) reply = std::move(decoded).value();
                          }
                          self->Apply([&](ConfigReplica& replica, TimeMs now) {
                            return replica.OnFetchReply(id, reply, now);
                          });
                        });
}

}  // namespace yuccamoor

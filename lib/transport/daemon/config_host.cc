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
/// Names the static peers of the settings, which are known by address only.
constexpr const char* kSeedPeerPrefix = "seed:";

ConfigReplicaOptions OptionsOf(const DaemonSettings& settings,
                               std::uint64_t seed) {
  ConfigReplicaOptions options;
  options.self = settings.node;
  options.failure_domain = settings.failure_domain;
  options.seed = seed;
  for (const std::string& address : settings.peers) {
    options.peers.push_back(
        ConfigPeer{NodeId(kSeedPeerPrefix + address), address, {}});
  }
  return options;
}

std::vector<ConfigPeer> LivePeers(const MemberRegistry& members,
                                  const NodeId& self) {
  std::vector<ConfigPeer> peers;
  for (const MemberRole role : {MemberRole::kGateway, MemberRole::kScheduler}) {
    for (const Member& member : members.Live(role)) {
      if (member.id == self) continue;
      peers.push_back(
          ConfigPeer{member.id, member.address, member.failure_domain});
    }
  }
  return peers;
}

DurationMs TimeoutOf(const KvRequest& request) {
  const auto* watch = std::get_if<KvWatch>(&request);
  return watch == nullptr ? kKvSlack : watch->wait + kKvSlack;
}

}  // namespace

std::shared_ptr<ConfigHost> ConfigHost::Create(ConfigHostServices services,
                                               const DaemonSettings& settings,
                                               std::uint64_t seed) {
  return std::shared_ptr<ConfigHost>(
      new ConfigHost(services, OptionsOf(settings, seed)));
}

ConfigHost::ConfigHost(ConfigHostServices services,
                       ConfigReplicaOptions options)
    : m_services(services),
      m_self(options.self),
      m_options(std::move(options)),
      m_replica(m_options, m_codec, services.clock.Now()) {}

template <class Input>
void ConfigHost::Apply(Input input) {
  ConfigReplicaActions actions;
  {
    const std::lock_guard lock(m_mutex);
    actions = input(m_replica, m_services.clock.Now());
  }
  Send(std::move(actions));
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
  std::vector<ConfigPeer> peers = LivePeers(m_services.members, m_self);
  // The settings' peers serve until the members are known.
  if (peers.empty()) peers = m_options.peers;
  Apply([&](ConfigReplica& replica, TimeMs now) {
    replica.SetPeers(std::move(peers));
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

void ConfigHost::Send(ConfigReplicaActions actions) {
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
  m_services.peers.Call(call.to.address, kConfigExchangeMethod,
                        EncodeConfigAnnounce(call.message),
                        m_options.peer_timeout,
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
  m_services.peers.Call(call.to.address, kConfigFetchMethod,
                        EncodeConfigFetch(call.message), m_options.peer_timeout,
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

/// \file
/// \brief Keeps a daemon's copy of the configuration current: carries the
/// replica's calls to the key-value service and to peers.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_CONFIG_HOST_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_CONFIG_HOST_H_

#include <memory>
#include <mutex>
#include <string>

#include "yuccamoor/coordination/config/config_replica.h"
#include "yuccamoor/protocol/config/json_config_codec.h"
#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

class JsonRpcDispatcher;
class KeyValueService;
class MemberRegistry;
class PeerChannel;

/// What a host uses. All of it must outlive the host.
struct ConfigHostServices {
  KeyValueService& key_value;
  PeerChannel& peers;
  const MemberRegistry& members;
  const Clock& clock;
};

/// The host. Safe to use from several threads; its mutex is a leaf of the lock
/// order, and no call leaves the process while it is held.
class ConfigHost : public std::enable_shared_from_this<ConfigHost> {
 public:
  /// \p address is where peers call this daemon.
  static std::shared_ptr<ConfigHost> Create(ConfigHostServices services,
                                            const DaemonSettings& settings,
                                            std::string address,
                                            std::uint64_t seed);

  /// Adds the methods by which peers exchange configurations.
  void AddPeerMethods(JsonRpcDispatcher& dispatcher);

  /// Does what is due. Called about every 100 ms.
  void Tick();

  /// The configuration in force as far as known, or null.
  std::shared_ptr<const ConfigSnapshot> Current() const;
  /// Whether the daemon may take requests.
  bool Ready() const;

 private:
  ConfigHost(ConfigHostServices services, ConfigReplicaOptions options);

  /// Applies one input to the replica and carries out what it asks for.
  template <class Input>
  void Apply(Input input);
  void Send(const ConfigReplicaActions& actions);
  void SendKvCall(const KvCall& call);
  void SendExchange(const ConfigExchangeCall& call);
  void SendFetch(const ConfigFetchCall& call);

  ConfigHostServices m_services;
  const std::string m_address;
  JsonConfigCodec m_codec;
  mutable std::mutex m_mutex;
  ConfigReplica m_replica;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_CONFIG_HOST_H_

/// \file
/// \brief Keeps a daemon registered and its table of members fresh.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_

#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "yuccamoor/coordination/membership/member_replica.h"
#include "yuccamoor/coordination/membership/member_table.h"
#include "yuccamoor/protocol/member_codec.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

class JsonRpcDispatcher;
class KeyValueService;
class PeerChannel;

/// What a registry uses. All of it must outlive the registry.
struct MemberRegistryServices {
  KeyValueService& key_value;
  /// May be null.
  VmList* vms;
  PeerChannel& peers;
  const Clock& clock;
};

/// The registry. Safe to use from several threads; its mutex is a leaf of the
/// lock order.
class MemberRegistry : public std::enable_shared_from_this<MemberRegistry> {
 public:
  static std::shared_ptr<MemberRegistry> Create(Member self,
                                                MemberRegistryServices services,
                                                MemberReplicaOptions options);

  /// Adds the method by which peers exchange news.
  void AddPeerMethods(JsonRpcDispatcher& dispatcher);

  /// Does what is due, and registers what is not registered. Called about every
  /// second.
  void Refresh();
  /// Removes the process's own entry, on shutdown.
  void Remove();

  std::vector<Member> Live(MemberRole role) const;
  /// Whether the table has been read at least once.
  bool Known() const;
  /// When the read began that gave the table.
  TimeMs ListedAt() const;
  /// When the newest successful read of the list of VMs began; as ListedAt if
  /// there is no such list.
  TimeMs VmsListedAt() const;
  Incarnation incarnation() const;
  /// The last list of VMs; empty before the first.
  std::vector<VmEntry> Vms() const;

 private:
  MemberRegistry(Member self, MemberRegistryServices services,
                 const MemberReplicaOptions& options);

  /// Applies one input to the replica and carries out what it asks for.
  template <class Input>
  void Apply(Input input);
  void UpdateTable(TimeMs now);
  void Read();
  void ReadVms();
  /// Takes a list whose read was sent at \p sent; nothing if it failed.
  void OnVms(std::optional<std::vector<VmEntry>> vms, TimeMs sent);
  void Send(const MemberExchangeCall& call);
  void Write(const KvRequest& request);
  void OnWriteReply(const KvRequest& request, const KvReply& reply);

  MemberRegistryServices m_services;
  JsonMemberCodec m_codec;
  mutable std::mutex m_mutex;
  MemberTable m_table;
  MemberReplica m_replica;
  bool m_removed = false;
  TimeMs m_vms_listed_at;
  TimeMs m_next_vm_read;
  std::vector<VmEntry> m_vms;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_

/// \file
/// \brief Keeps a daemon registered and its table of members fresh.

#ifndef YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_
#define YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_

#include <functional>
#include <memory>
#include <mutex>
#include <vector>

#include "yuccamoor/coordination/membership/member_table.h"
#include "yuccamoor/protocol/member_codec.h"
#include "yuccamoor/state/clock.h"

namespace yuccamoor {

class KeyValueService;

/// The registry. Safe to use from several threads; its mutex is a leaf of the
/// lock order.
class MemberRegistry : public std::enable_shared_from_this<MemberRegistry> {
 public:
  /// The services must outlive the registry. \p vms may be null.
  static std::shared_ptr<MemberRegistry> Create(Member self,
                                                KeyValueService& key_value,
                                                VmList* vms,
                                                const Clock& clock);

  /// Reads the lists and registers what is not registered. Called about every
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
  MemberRegistry(Member self, KeyValueService& key_value, VmList* vms,
                 const Clock& clock);

  void OnMembers(const KvReply& reply, TimeMs sent);

  KeyValueService& m_key_value;
  VmList* m_vm_list;
  const Clock& m_clock;
  JsonMemberCodec m_codec;
  mutable std::mutex m_mutex;
  MemberTable m_table;
  TimeMs m_listed_at;
  TimeMs m_vms_listed_at;
  std::vector<VmEntry> m_vms;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_TRANSPORT_DAEMON_MEMBER_REGISTRY_H_

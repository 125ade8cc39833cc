/// \file
/// \brief Implementation of the member registry.

#include "yuccamoor/transport/daemon/member_registry.h"

#include <algorithm>
#include <utility>

#include "yuccamoor/coordination/key_value_service.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kCallTimeout(500);

}  // namespace

std::shared_ptr<MemberRegistry> MemberRegistry::Create(
    Member self, KeyValueService& key_value, VmList* vms, const Clock& clock) {
  return std::shared_ptr<MemberRegistry>(
      new MemberRegistry(std::move(self), key_value, vms, clock));
}

MemberRegistry::MemberRegistry(Member self, KeyValueService& key_value,
                               VmList* vms, const Clock& clock)
    : m_key_value(key_value),
      m_vm_list(vms),
      m_clock(clock),
      m_table(std::move(self), m_codec) {}

void MemberRegistry::Refresh() {
  m_key_value.Call(KvList{kMemberPrefix}, kCallTimeout,
                   [self = shared_from_this(), sent = m_clock.Now()](
                       const KvReply& reply) { self->OnMembers(reply, sent); });
  if (m_vm_list == nullptr) return;
  m_vm_list->Read(
      kCallTimeout, [self = shared_from_this(), sent = m_clock.Now()](
                        std::optional<std::vector<VmEntry>> vms) {
        if (!vms) return;
        const std::lock_guard lock(self->m_mutex);
        self->m_table.OnVmList(*vms, self->m_clock.Now());
        self->m_vms = std::move(*vms);
        self->m_vms_listed_at = std::max(self->m_vms_listed_at, sent);
      });
}

void MemberRegistry::OnMembers(const KvReply& reply, TimeMs sent) {
  std::vector<KvRequest> writes;
  {
    const std::lock_guard lock(m_mutex);
    const TimeMs now = m_clock.Now();
    m_table.OnList(reply, now);
    if (reply.status != KvStatus::kOk) return;
    m_listed_at = std::max(m_listed_at, sent);
    writes = m_table.Cleanups(now);
    if (auto registration = m_table.Registration()) {
      writes.push_back(std::move(*registration));
    }
  }
  for (KvRequest& write : writes) {
    // The next list tells what became of it.
    m_key_value.Call(std::move(write), kCallTimeout, [](const KvReply&) {});
  }
}

void MemberRegistry::Remove() {
  std::optional<KvRequest> removal;
  {
    const std::lock_guard lock(m_mutex);
    removal = m_table.Removal();
  }
  if (!removal) return;
  m_key_value.Call(std::move(*removal), kCallTimeout, [](const KvReply&) {});
}

std::vector<Member> MemberRegistry::Live(MemberRole role) const {
  const std::lock_guard lock(m_mutex);
  return m_table.Live(role, m_clock.Now());
}

bool MemberRegistry::Known() const {
  const std::lock_guard lock(m_mutex);
  return m_table.Known();
}

TimeMs MemberRegistry::ListedAt() const {
  const std::lock_guard lock(m_mutex);
  return m_listed_at;
}

TimeMs MemberRegistry::VmsListedAt() const {
  const std::lock_guard lock(m_mutex);
  return m_vm_list == nullptr ? m_listed_at : m_vms_listed_at;
}

Incarnation MemberRegistry::incarnation() const {
  const std::lock_guard lock(m_mutex);
  return m_table.self().incarnation;
}

std::vector<VmEntry> MemberRegistry::Vms() const {
  const std::lock_guard lock(m_mutex);
  return m_vms;
}

}  // namespace yuccamoor

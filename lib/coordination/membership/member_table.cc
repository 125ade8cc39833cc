/// \file
/// \brief Implementation of the member table.

#include "yuccamoor/coordination/membership/member_table.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {

std::string MemberKey(const NodeId& id) { return kMemberPrefix + id.str(); }

MemberTable::MemberTable(Member self, const MemberCodec& codec,
                         MemberTableOptions options)
    : m_self(std::move(self)), m_codec(codec), m_options(options) {}

void MemberTable::OnList(const KvReply& reply, TimeMs now) {
  if (reply.status != KvStatus::kOk) return;
  std::map<std::string, Entry> entries;
  for (const KvEntry& kv : reply.entries) {
    auto member = m_codec.Decode(kv.value);
    if (!member) continue;
    const auto known = m_entries.find(kv.key);
    const TimeMs first_seen =
        known == m_entries.end() ? now : known->second.first_seen;
    entries.emplace(kv.key, Entry{std::move(*member), kv.version, first_seen});
  }
  m_entries = std::move(entries);
  m_known = true;
}

void MemberTable::OnVmList(const std::vector<VmEntry>& vms, TimeMs now) {
  std::map<VmId, VmSight> sights;
  for (const VmEntry& vm : vms) sights[vm.id].listed = true;
  for (const auto& [id, sight] : m_vms) {
    if (sights.contains(id)) continue;
    // Only VMs of members need to be remembered once they are not listed.
    const bool needed =
        std::any_of(m_entries.begin(), m_entries.end(),
                    [&](const auto& e) { return e.second.member.vm == id; });
    if (!needed) continue;
    sights[id] = VmSight{false, sight.listed ? now : sight.missing_since};
  }
  m_vms = std::move(sights);
  m_have_vms = true;
}

std::optional<KvRequest> MemberTable::Registration() {
  if (!m_known || Registered()) return std::nullopt;
  const std::string key = MemberKey(m_self.id);
  KvVersion expected;
  const auto it = m_entries.find(key);
  if (it != m_entries.end()) {
    expected = it->second.version;
    m_self.incarnation =
        std::max(m_self.incarnation, it->second.member.incarnation.Next());
  }
  return KvCompareAndSwap{key, expected, m_codec.Encode(m_self), KvLease()};
}

std::optional<KvRequest> MemberTable::Removal() const {
  if (!Registered()) return std::nullopt;
  const std::string key = MemberKey(m_self.id);
  return KvDelete{key, m_entries.at(key).version};
}

std::vector<KvRequest> MemberTable::Cleanups(TimeMs now) const {
  std::vector<KvRequest> deletes;
  for (const auto& [key, entry] : m_entries) {
    if (IsGone(entry, now)) deletes.push_back(KvDelete{key, entry.version});
  }
  return deletes;
}

std::vector<Member> MemberTable::Live(MemberRole role, TimeMs now) const {
  std::vector<Member> live;
  for (const auto& [key, entry] : m_entries) {
    if (entry.member.role != role || IsGone(entry, now)) continue;
    live.push_back(entry.member);
  }
  return live;
}

bool MemberTable::Registered() const {
  const auto it = m_entries.find(MemberKey(m_self.id));
  return it != m_entries.end() && it->second.member == m_self;
}

bool MemberTable::IsGone(const Entry& entry, TimeMs now) const {
  if (!m_have_vms || entry.member.vm == m_self.vm) return false;
  const auto sight = m_vms.find(entry.member.vm);
  if (sight == m_vms.end()) {
    return now - entry.first_seen >= m_options.never_listed_after;
  }
  return !sight->second.listed &&
         now - sight->second.missing_since >= m_options.gone_after;
}

}  // namespace yuccamoor

/// \file
/// \brief The table of the key-value stand-in.

#include "yuccamoor/standins/key_value_table.h"

namespace yuccamoor {
namespace {

KvReply ReplyOf(KvStatus status) {
  KvReply reply;
  reply.status = status;
  return reply;
}

}  // namespace

KvReply KeyValueTable::Apply(const KvRequest& request, TimeMs now) {
  ExpireLeases(now);
  return std::visit([&](const auto& r) { return Do(r, now); }, request);
}

bool KeyValueTable::WatchReady(const KvWatch& watch, TimeMs now) {
  ExpireLeases(now);
  for (const KvEntry& entry : ReadPrefix(watch.prefix).entries) {
    if (entry.version > watch.after) return true;
  }
  return false;
}

KvReply KeyValueTable::Do(const KvGet& request, TimeMs) {
  const auto found = m_records.find(request.key);
  if (found == m_records.end()) return ReplyOf(KvStatus::kNotFound);
  KvReply reply = ReplyOf(KvStatus::kOk);
  const Record& record = found->second;
  reply.version = record.version;
  reply.lease = record.lease;
  reply.entries.push_back(KvEntry{request.key, record.value, record.version});
  return reply;
}

KvReply KeyValueTable::Do(const KvList& request, TimeMs) {
  return ReadPrefix(request.prefix);
}

KvReply KeyValueTable::Do(const KvWatch& request, TimeMs) {
  return ReadPrefix(request.prefix);
}

KvReply KeyValueTable::Do(const KvCompareAndSwap& request, TimeMs) {
  if (request.value.size() > kKvMaxValueBytes) {
    return ReplyOf(KvStatus::kTooLarge);
  }
  KvReply reply = Check(request.key, request.expected);
  if (reply.status != KvStatus::kOk) return reply;
  if (request.lease != KvLease() && !m_leases.contains(request.lease)) {
    return ReplyOf(KvStatus::kNotFound);
  }
  m_last_version = m_last_version.Next();
  m_records[request.key] = Record{request.value, m_last_version, request.lease};
  reply.version = m_last_version;
  return reply;
}

KvReply KeyValueTable::Do(const KvDelete& request, TimeMs) {
  KvReply reply = Check(request.key, request.expected);
  if (reply.status != KvStatus::kOk) return reply;
  if (m_records.erase(request.key) == 0) return ReplyOf(KvStatus::kNotFound);
  return reply;
}

KvReply KeyValueTable::Do(const KvLeaseGrant& request, TimeMs now) {
  m_last_lease = m_last_lease.Next();
  m_leases[m_last_lease] = Lease{request.ttl, now + request.ttl};
  KvReply reply = ReplyOf(KvStatus::kOk);
  reply.lease = m_last_lease;
  return reply;
}

KvReply KeyValueTable::Do(const KvLeaseRenew& request, TimeMs now) {
  const auto found = m_leases.find(request.lease);
  if (found == m_leases.end()) return ReplyOf(KvStatus::kNotFound);
  found->second.expires = now + found->second.ttl;
  KvReply reply = ReplyOf(KvStatus::kOk);
  reply.lease = request.lease;
  return reply;
}

void KeyValueTable::ExpireLeases(TimeMs now) {
  const auto lapsed = std::erase_if(m_leases, [now](const auto& lease) {
    return lease.second.expires <= now;
  });
  if (lapsed == 0) return;
  std::erase_if(m_records, [this](const auto& record) {
    const KvLease lease = record.second.lease;
    return lease != KvLease() && !m_leases.contains(lease);
  });
}

KvReply KeyValueTable::Check(const std::string& key, KvVersion expected) const {
  const auto found = m_records.find(key);
  const bool exists = found != m_records.end();
  const KvVersion current = exists ? found->second.version : KvVersion();
  if (current == expected) return ReplyOf(KvStatus::kOk);
  KvReply reply = ReplyOf(KvStatus::kConflict);
  reply.version = current;
  if (exists) {
    reply.entries.push_back(KvEntry{key, found->second.value, current});
  }
  return reply;
}

KvReply KeyValueTable::ReadPrefix(const std::string& prefix) const {
  KvReply reply = ReplyOf(KvStatus::kOk);
  for (auto it = m_records.lower_bound(prefix);
       it != m_records.end() && it->first.starts_with(prefix); ++it) {
    reply.entries.push_back(
        KvEntry{it->first, it->second.value, it->second.version});
  }
  return reply;
}

}  // namespace yuccamoor

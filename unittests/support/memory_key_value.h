/// \file
/// \brief A key-value service in memory, for tests: handles one request at a
/// time and never fails. It keeps the contract but for leases.

#ifndef YUCCAMOOR_UNITTESTS_SUPPORT_MEMORY_KEY_VALUE_H_
#define YUCCAMOOR_UNITTESTS_SUPPORT_MEMORY_KEY_VALUE_H_

#include <map>
#include <string>
#include <variant>

#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

class MemoryKeyValue {
 public:
  KvReply Apply(const KvRequest& request) {
    return std::visit([this](const auto& r) { return this->Handle(r); },
                      request);
  }

  const std::map<std::string, KvEntry>& entries() const { return m_entries; }

 private:
  static KvReply Status(KvStatus status) {
    KvReply reply;
    reply.status = status;
    return reply;
  }

  KvReply Handle(const KvGet& get) const {
    const auto it = m_entries.find(get.key);
    if (it == m_entries.end()) return Status(KvStatus::kNotFound);
    KvReply reply = Status(KvStatus::kOk);
    reply.entries.push_back(it->second);
    return reply;
  }

  KvReply List(const std::string& prefix) const {
    KvReply reply = Status(KvStatus::kOk);
    for (auto it = m_entries.lower_bound(prefix);
         it != m_entries.end() && it->first.starts_with(prefix); ++it) {
      reply.entries.push_back(it->second);
    }
    return reply;
  }

  KvReply Handle(const KvList& list) const { return List(list.prefix); }
  KvReply Handle(const KvWatch& watch) const { return List(watch.prefix); }

  KvReply Conflict(const std::string& key) const {
    KvReply reply = Status(KvStatus::kConflict);
    const auto it = m_entries.find(key);
    if (it != m_entries.end()) reply.entries.push_back(it->second);
    return reply;
  }

  KvVersion VersionOf(const std::string& key) const {
    const auto it = m_entries.find(key);
    return it == m_entries.end() ? KvVersion() : it->second.version;
  }

  KvReply Handle(const KvCompareAndSwap& write) {
    if (write.value.size() > kKvMaxValueBytes) {
      return Status(KvStatus::kTooLarge);
    }
    if (VersionOf(write.key) != write.expected) return Conflict(write.key);
    m_version = m_version.Next();
    m_entries[write.key] = KvEntry{write.key, write.value, m_version};
    KvReply reply = Status(KvStatus::kOk);
    reply.version = m_version;
    return reply;
  }

  KvReply Handle(const KvDelete& remove) {
    if (VersionOf(remove.key) != remove.expected) return Conflict(remove.key);
    m_entries.erase(remove.key);
    return Status(KvStatus::kOk);
  }

  static KvReply Handle(const KvLeaseGrant&) { return Status(KvStatus::kOk); }
  static KvReply Handle(const KvLeaseRenew&) { return Status(KvStatus::kOk); }

  KvVersion m_version;
  std::map<std::string, KvEntry> m_entries;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_SUPPORT_MEMORY_KEY_VALUE_H_

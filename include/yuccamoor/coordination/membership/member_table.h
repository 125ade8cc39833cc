/// \file
/// \brief The system's own processes as they register themselves in the
/// key-value service.
///
/// A member stays in the table until its VM is known to be gone, so that the
/// table may list dead members but never misses a live one. Decisions that
/// need the latter (who may take over, whose grants may still be in use) rest
/// on it.

#ifndef YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_TABLE_H_
#define YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "yuccamoor/coordination/vm_list.h"
#include "yuccamoor/state/clock.h"
#include "yuccamoor/state/ids.h"
#include "yuccamoor/state/key_value.h"

namespace yuccamoor {

enum class MemberRole : std::uint8_t { kGateway, kScheduler };

/// One process.
struct Member {
  NodeId id;
  MemberRole role = MemberRole::kGateway;
  VmId vm;
  FailureDomainId failure_domain;
  Incarnation incarnation;
  /// Where peers call, as "ip:port".
  std::string address;

  friend bool operator==(const Member&, const Member&) = default;
};

/// Converts members to and from the values of the key-value service.
class MemberCodec {
 public:
  virtual ~MemberCodec() = default;

  virtual std::string Encode(const Member& member) const = 0;
  virtual std::optional<Member> Decode(const std::string& text) const = 0;
};

/// Every member's key starts with this.
constexpr const char* kMemberPrefix = "yuccamoor/members/";

/// How long VMs may be missing from the list.
struct MemberTableOptions {
  /// A VM that was listed and is not any more is gone after this: the list
  /// lags, but does not lose live VMs.
  DurationMs gone_after{2'000};
  /// A VM that was never listed is gone after this, since its member was first
  /// seen: the list may not show it yet.
  DurationMs never_listed_after{120'000};
};

/// Registers one process and keeps the table of all. Not thread-safe.
class MemberTable {
 public:
  /// The codec must outlive the table.
  MemberTable(Member self, const MemberCodec& codec,
              MemberTableOptions options = {});

  /// Takes the reply to a KvList of kMemberPrefix.
  void OnList(const KvReply& reply, TimeMs now);
  /// Takes the platform's list of VMs.
  void OnVmList(const std::vector<VmEntry>& vms, TimeMs now);

  /// The write that registers this process, if its entry is not as it should
  /// be in the last list. Its incarnation is above that of any earlier life.
  std::optional<KvRequest> Registration();
  /// The write that removes this process's own entry.
  std::optional<KvRequest> Removal() const;
  /// Deletes of members whose VM is gone.
  std::vector<KvRequest> Cleanups(TimeMs now) const;

  /// Every member of the role that may live.
  std::vector<Member> Live(MemberRole role, TimeMs now) const;
  /// Whether a list has been read.
  bool Known() const { return m_known; }
  /// Whether the last list showed this process as registered.
  bool Registered() const;
  const Member& self() const { return m_self; }

 private:
  struct Entry {
    Member member;
    KvVersion version;
    TimeMs first_seen;
  };
  struct VmSight {
    bool listed = false;
    TimeMs missing_since;
  };

  bool IsGone(const Entry& entry, TimeMs now) const;

  Member m_self;
  const MemberCodec& m_codec;
  MemberTableOptions m_options;
  bool m_known = false;
  bool m_have_vms = false;
  std::map<std::string, Entry> m_entries;
  std::map<VmId, VmSight> m_vms;
};

/// Returns the member's key.
std::string MemberKey(const NodeId& id);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_COORDINATION_MEMBERSHIP_MEMBER_TABLE_H_

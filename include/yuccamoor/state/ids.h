/// \file
/// \brief Strong types for the identifiers that cross layer and process
/// boundaries. Each wraps a string or an integer and converts to nothing else.

#ifndef YUCCAMOOR_STATE_IDS_H_
#define YUCCAMOOR_STATE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace yuccamoor {

/// A string identifier. The tag keeps identifiers of different kinds apart.
template <class Tag>
class StringId {
 public:
  StringId() = default;
  explicit StringId(std::string value) : m_value(std::move(value)) {}

  const std::string& str() const { return m_value; }
  bool empty() const { return m_value.empty(); }

  friend auto operator<=>(const StringId&, const StringId&) = default;
  friend std::ostream& operator<<(std::ostream& os, const StringId& id) {
    return os << id.m_value;
  }

 private:
  std::string m_value;
};

/// An unsigned counter that only ever grows: epochs, revisions, sequences.
template <class Tag>
class NumberId {
 public:
  constexpr NumberId() = default;
  explicit constexpr NumberId(std::uint64_t value) : m_value(value) {}

  constexpr std::uint64_t value() const { return m_value; }
  constexpr NumberId Next() const { return NumberId(m_value + 1); }

  friend constexpr auto operator<=>(const NumberId&, const NumberId&) = default;
  friend std::ostream& operator<<(std::ostream& os, const NumberId& id) {
    return os << id.m_value;
  }

 private:
  std::uint64_t m_value = 0;
};

/// A LoRA adapter's name, unique within one configuration.
using AdapterId = StringId<struct AdapterIdTag>;
/// One immutable version of an adapter.
using VersionId = StringId<struct VersionIdTag>;
/// A base model's name.
using ModelId = StringId<struct ModelIdTag>;
/// A set of workers of one model in one region that share a leader.
using CellId = StringId<struct CellIdTag>;
/// One engine process's place, stable over its restarts.
using WorkerId = StringId<struct WorkerIdTag>;
/// One life of an engine process; differs after each restart.
using InstanceId = StringId<struct InstanceIdTag>;
/// One of the system's own processes, stable over its restarts.
using NodeId = StringId<struct NodeIdTag>;
/// A VM of the platform.
using VmId = StringId<struct VmIdTag>;
/// A failure domain of the platform.
using FailureDomainId = StringId<struct FailureDomainIdTag>;
/// A plain service that calls are routed to.
using ServiceId = StringId<struct ServiceIdTag>;
/// One endpoint of a plain service.
using EndpointId = StringId<struct EndpointIdTag>;
/// One request of a caller, over all its attempts and reconnects.
using RequestId = StringId<struct RequestIdTag>;
/// A tenant: callers that share keys, a priority and a quota.
using TenantId = StringId<struct TenantIdTag>;
/// A caller's key for a non-idempotent request.
using IdempotencyKey = StringId<struct IdempotencyKeyTag>;

/// A leader's term. Also the fencing number of every order sent in that term.
using Epoch = NumberId<struct EpochTag>;
/// A configuration revision.
using Revision = NumberId<struct RevisionTag>;
/// The number of one residency lease within one leader's epoch.
using LeaseNumber = NumberId<struct LeaseNumberTag>;
/// The number of one message within a sender's session.
using Sequence = NumberId<struct SequenceTag>;
/// One life of one of the system's own processes; grows at each restart.
using Incarnation = NumberId<struct IncarnationTag>;
/// The number of one order within one leader's epoch.
using OrderNumber = NumberId<struct OrderNumberTag>;

/// One version of one adapter: the unit that is loaded, leased and served.
struct AdapterVersion {
  AdapterId adapter;
  VersionId version;

  friend auto operator<=>(const AdapterVersion&,
                          const AdapterVersion&) = default;
};

/// Writes "adapter@version".
inline std::ostream& operator<<(std::ostream& os, const AdapterVersion& a) {
  return os << a.adapter << '@' << a.version;
}

}  // namespace yuccamoor

template <class Tag>
struct std::hash<yuccamoor::StringId<Tag>> {
  std::size_t operator()(const yuccamoor::StringId<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

template <class Tag>
struct std::hash<yuccamoor::NumberId<Tag>> {
  std::size_t operator()(const yuccamoor::NumberId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>()(id.value());
  }
};

template <>
struct std::hash<yuccamoor::AdapterVersion> {
  std::size_t operator()(const yuccamoor::AdapterVersion& a) const noexcept {
    constexpr std::size_t kMix = 0x9E3779B97F4A7C15ULL;
    return std::hash<yuccamoor::AdapterId>()(a.adapter) * kMix ^
           std::hash<yuccamoor::VersionId>()(a.version);
  }
};

#endif  // YUCCAMOOR_STATE_IDS_H_

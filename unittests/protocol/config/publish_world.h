/// \file
/// \brief A world of racing publishers, collectors and replicas over one
/// key-value service, driven by a seeded schedule of deliveries and faults,
/// with checks after every effect.

#ifndef YUCCAMOOR_UNITTESTS_PROTOCOL_CONFIG_PUBLISH_WORLD_H_
#define YUCCAMOOR_UNITTESTS_PROTOCOL_CONFIG_PUBLISH_WORLD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "support/memory_key_value.h"
#include "yuccamoor/coordination/config/config_replica.h"
#include "yuccamoor/coordination/config/publisher.h"
#include "yuccamoor/coordination/config/segment_collector.h"
#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {

/// Faults of the implementation that the checks must notice.
enum class PlantedFault : std::uint8_t {
  kNone,
  /// The root is written whatever its version is.
  kSwapWithoutCompare,
  /// A lost answer is taken for a failure without effect.
  kLostAnswerAsFailure,
  /// A replica forgets what it had and takes any revision.
  kReplicaTakesLower,
  /// Segments reach the service after the root.
  kRootBeforeSegments,
  /// Writing an unused segment again does not renew its version.
  kRewriteKeepsVersion,
  /// Changes of the same owner's part by others are not seen.
  kOverlapUnseen,
};

/// Sees equal digests everywhere, so that no overlap is noticed.
class BlindCodec final : public ConfigCodec {
 public:
  std::string EncodeRoot(const RootRecord& r) const override {
    return m_codec.EncodeRoot(r);
  }
  Result<RootRecord> DecodeRoot(std::string_view b) const override {
    return m_codec.DecodeRoot(b);
  }
  std::string EncodeManifest(const Manifest& m) const override {
    return m_codec.EncodeManifest(m);
  }
  Result<Manifest> DecodeManifest(std::string_view bytes) const override;
  std::string EncodeUnit(const ConfigUnit& u) const override {
    return m_codec.EncodeUnit(u);
  }
  Result<ConfigUnit> DecodeUnit(std::string_view b) const override {
    return m_codec.DecodeUnit(b);
  }
  std::string EncodeAdapters(
      const std::vector<AdapterConfig>& a) const override {
    return m_codec.EncodeAdapters(a);
  }
  Result<std::vector<AdapterConfig>> DecodeAdapters(
      std::string_view b) const override {
    return m_codec.DecodeAdapters(b);
  }

 private:
  JsonConfigCodec m_codec;
};

/// What happened over one schedule.
struct WorldCounts {
  std::map<PublishStatus, int> outcomes;
  std::size_t revisions = 0;
  std::size_t deleted = 0;
};

class PublishWorld {
 public:
  PublishWorld(std::uint64_t seed, PlantedFault fault);

  /// Runs the schedule, lets everything come to rest, and checks the end.
  void Run(int steps);

  const std::vector<std::string>& violations() const { return m_violations; }
  const WorldCounts& counts() const { return m_counts; }

 private:
  static constexpr int kOwners = 3;
  static constexpr std::size_t kReplicas = 4;

  struct PublisherActor {
    std::unique_ptr<Publisher> publisher;
    PublishRequest request;
    /// The first root revision that it was given.
    std::optional<Revision> base;
    bool crashed = false;
  };

  struct ReplicaActor {
    std::unique_ptr<ConfigReplica> replica;
    std::uint64_t life = 0;
    Revision highest;
  };

  enum class ActorKind : std::uint8_t { kPublisher, kCollector, kReplica };

  /// A call to the service: first the request is under way, then the reply.
  struct Flight {
    ActorKind kind = ActorKind::kPublisher;
    std::size_t actor = 0;
    std::uint64_t life = 0;
    KvCallId id;
    KvRequest request;
    std::optional<KvReply> reply;
  };

  /// A message between replicas: first the request is under way, then the
  /// reply.
  struct PeerFlight {
    std::size_t from = 0;
    std::size_t to = 0;
    std::uint64_t life = 0;
    PeerCallId id;
    std::optional<ConfigAnnounce> announce;
    std::optional<ConfigFetch> fetch;
    bool handled = false;
    std::optional<ConfigAnnounce> announce_reply;
    std::optional<ConfigBlobs> blobs;
  };

  /// One accepted publication.
  struct Accepted {
    RootEntry entry;
    Manifest manifest;
    TimeMs at;
  };

  // Steps of the schedule.
  void Step(bool faults);
  void StartPublisher();
  void StartCollector();
  void StartReplica(std::size_t index);
  void CrashPublisher();
  void TickReplicas();
  void DeliverOne(bool faults);
  void DeliverPeerOne(bool faults);
  void ApplyLateWrite();
  KvReply ReplyTo(const Flight& flight, bool faults);
  void Hand(const Flight& flight);
  void Send(ActorKind kind, std::size_t actor, KvCalls calls);
  void Perform(std::size_t replica, ConfigReplicaActions actions);
  bool AtRest() const;

  // The service with its planted faults, and the checks after each effect.
  KvReply Apply(KvRequest request);
  void OnEffect();
  void OnRoot(const KvEntry& entry);
  void CheckPublication(const RootRecord& root, const Manifest& manifest);
  void CheckStored(const Manifest& manifest, const char* whose);
  void CheckReplica(std::size_t index);
  void CheckEnd();
  void Violation(std::string text) { m_violations.push_back(std::move(text)); }
  std::optional<Manifest> StoredManifest(const SegmentHash& hash) const;

  ConfigChange MakeChange();
  std::uint32_t Below(std::uint32_t bound) { return m_random(bound); }
  bool Chance(std::uint32_t percent) { return Below(100) < percent; }

  pcg32 m_random;
  PlantedFault m_fault;
  JsonConfigCodec m_codec;
  BlindCodec m_blind_codec;
  MemoryKeyValue m_kv;
  std::vector<KvEntry> m_past_roots;
  /// Writes whose answer was lost and that may take effect later.
  std::vector<KvRequest> m_late_writes;
  /// Segment writes that the service has only claimed to have made.
  std::vector<KvRequest> m_held_back;
  bool m_outage = false;
  TimeMs m_now{1'000'000};

  std::deque<PublisherActor> m_publishers;
  std::deque<SegmentCollector> m_collectors;
  std::vector<ReplicaActor> m_replicas;
  std::vector<Flight> m_flights;
  std::vector<PeerFlight> m_peer_flights;
  std::uint64_t m_serial = 0;

  KvVersion m_seen_root;
  std::vector<Accepted> m_accepted;
  std::vector<std::string> m_violations;
  WorldCounts m_counts;
};

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROTOCOL_CONFIG_PUBLISH_WORLD_H_

/// \file
/// \brief The checks of the world of publishers, and the service with its
/// planted faults.

#include <algorithm>
#include <sstream>
#include <utility>

#include "protocol/config/publish_world.h"

namespace yuccamoor {
namespace {

bool IsSegment(const std::string& key) {
  return key.starts_with(kConfigSegmentPrefix);
}

std::vector<OwnerId> OwnersOf(const ConfigChange& change) {
  std::vector<OwnerId> owners = change.removals;
  for (const ConfigUnit& unit : change.draft.units)
    owners.push_back(unit.owner);
  return owners;
}

SegmentHash DigestIn(const Manifest& manifest, const OwnerId& owner) {
  const ManifestUnit* unit = FindUnit(manifest, owner);
  return unit == nullptr ? SegmentHash() : unit->digest;
}

}  // namespace

KvReply PublishWorld::Apply(KvRequest request) {
  if (auto* write = std::get_if<KvCompareAndSwap>(&request)) {
    const auto& entries = m_kv.entries();
    const auto it = entries.find(write->key);
    const bool exists = it != entries.end();
    if (m_fault == PlantedFault::kSwapWithoutCompare && exists) {
      write->expected = it->second.version;
    }
    KvReply claimed;
    claimed.status = KvStatus::kOk;
    if (m_fault == PlantedFault::kRewriteKeepsVersion && exists &&
        IsSegment(write->key)) {
      return claimed;
    }
    if (m_fault == PlantedFault::kRootBeforeSegments && IsSegment(write->key)) {
      m_held_back.push_back(request);
      return claimed;
    }
  }
  KvReply reply = m_kv.Apply(request);
  OnEffect();
  return reply;
}

void PublishWorld::OnEffect() {
  const auto root = m_kv.entries().find(kConfigRootKey);
  if (root == m_kv.entries().end()) return;
  if (root->second.version != m_seen_root) {
    m_seen_root = root->second.version;
    m_past_roots.push_back(root->second);
    OnRoot(root->second);
  }
  // What rollback may name must stay, too.
  const auto record = m_codec.DecodeRoot(root->second.value).value();
  for (const Accepted& accepted : m_accepted) {
    if (FindRevision(record, accepted.entry.revision) != nullptr) {
      CheckStored(accepted.manifest, "a listed revision");
    }
  }
}

std::optional<Manifest> PublishWorld::StoredManifest(
    const SegmentHash& hash) const {
  const auto it = m_kv.entries().find(SegmentKey(hash));
  if (it == m_kv.entries().end()) return std::nullopt;
  auto manifest = m_codec.DecodeManifest(it->second.value);
  if (manifest.has_error()) return std::nullopt;
  return manifest.value();
}

void PublishWorld::OnRoot(const KvEntry& entry) {
  const RootRecord root = m_codec.DecodeRoot(entry.value).value();
  const auto manifest = StoredManifest(root.current.manifest);
  if (!manifest) {
    Violation("the root names a manifest that is not stored");
    return;
  }
  const Revision last =
      m_accepted.empty() ? Revision() : m_accepted.back().entry.revision;
  if (root.current.revision == last) {
    if (root.current != m_accepted.back().entry) {
      Violation("a collection changed what is in force");
    }
    return;
  }
  if (root.current.revision != last.Next()) {
    Violation("the revision did not grow by one");
  }
  CheckPublication(root, *manifest);
  m_accepted.push_back({root.current, *manifest, m_now});
}

void PublishWorld::CheckPublication(const RootRecord& root,
                                    const Manifest& manifest) {
  const auto it = std::find_if(m_publishers.begin(), m_publishers.end(),
                               [&root](const PublisherActor& p) {
                                 return p.request.nonce == root.current.nonce;
                               });
  if (it == m_publishers.end()) {
    Violation("nobody published what is in force");
    return;
  }
  const PublishRequest& request = it->request;
  if (request.rollback) {
    const auto target = std::find_if(
        m_accepted.begin(), m_accepted.end(), [&request](const Accepted& a) {
          return a.entry.revision == *request.rollback;
        });
    if (target == m_accepted.end() ||
        target->entry.manifest != root.current.manifest) {
      Violation("a rollback put other content in force");
    }
    return;
  }
  const auto owners = OwnersOf(request.change);
  const Manifest before =
      m_accepted.empty() ? Manifest{} : m_accepted.back().manifest;
  for (int i = 0; i < kOwners; ++i) {
    const OwnerId owner("owner" + std::to_string(i));
    const bool own =
        std::find(owners.begin(), owners.end(), owner) != owners.end();
    if (!own && DigestIn(before, owner) != DigestIn(manifest, owner)) {
      Violation("a publication changed or reverted another owner's part");
    }
    if (!own) continue;
    // Whoever published the same part since this publisher read it must have
    // made it fail.
    for (const Accepted& a : m_accepted) {
      if (a.entry.revision == it->base.value_or(Revision()) &&
          DigestIn(a.manifest, owner) != DigestIn(before, owner)) {
        Violation("a publication overwrote one that it had not seen");
      }
    }
  }
  for (ConfigUnit unit : request.change.draft.units) {
    if (DigestIn(manifest, unit.owner) != DigestUnit(unit, m_codec)) {
      Violation("what is in force is not what was published");
    }
  }
}

void PublishWorld::CheckStored(const Manifest& manifest, const char* whose) {
  for (const SegmentNeed& need : SegmentsOf(manifest)) {
    if (m_kv.entries().contains(SegmentKey(need.hash))) continue;
    Violation(std::string("a segment of ") + whose + " is not stored");
  }
}

void PublishWorld::CheckReplica(std::size_t index) {
  ReplicaActor& actor = m_replicas[index];
  if (m_fault == PlantedFault::kReplicaTakesLower && Chance(2)) {
    const Revision highest = actor.highest;
    StartReplica(index);
    actor.highest = highest;
  }
  const ConfigReplica& replica = *actor.replica;
  if (replica.current() != nullptr || actor.highest != Revision()) {
    if (replica.revision() < actor.highest) {
      Violation("a replica went back to a lower revision");
    }
  }
  actor.highest = std::max(actor.highest, replica.revision());
  if (replica.current() == nullptr) return;
  const std::size_t position = replica.revision().value() - 1;
  if (position >= m_accepted.size() ||
      m_accepted[position].entry.manifest != replica.Announce(m_now).manifest) {
    Violation("a replica has what was never accepted");
    return;
  }
  for (const auto& [name, alias] : replica.current()->aliases) {
    const AdapterVersion& target = alias->targets.front().target;
    std::ostringstream os;
    os << target;
    if (replica.current()->Resolve(os.str(), "") != target) {
      Violation("a replica sees half of a publication");
    }
  }
  if (replica.currency(m_now) != ConfigCurrency::kConfirmed) return;
  const TimeMs then = m_now - ConfigReplicaOptions{}.currency_bound;
  for (const Accepted& a : m_accepted) {
    if (a.at < then && a.entry.revision > replica.revision()) {
      Violation("a replica calls an old revision confirmed");
    }
  }
}

void PublishWorld::CheckEnd() {
  if (!AtRest()) Violation("the world did not come to rest");
  for (const PublisherActor& actor : m_publishers) {
    const auto times = std::count_if(
        m_accepted.begin(), m_accepted.end(), [&actor](const Accepted& a) {
          return a.entry.nonce == actor.request.nonce;
        });
    if (times > 1) Violation("a publication was accepted twice");
    const PublishOutcome& outcome = actor.publisher->outcome();
    ++m_counts.outcomes[outcome.status];
    if (actor.crashed || outcome.status == PublishStatus::kUnknown) continue;
    const bool accepted = outcome.status == PublishStatus::kAccepted;
    if (accepted && times == 0) Violation("an accepted publication was lost");
    if (!accepted && times != 0) {
      Violation("a publication said to be refused is in force");
    }
  }
  m_counts.revisions = m_accepted.size();
  for (const SegmentCollector& c : m_collectors) {
    m_counts.deleted += c.deleted();
  }
}

}  // namespace yuccamoor

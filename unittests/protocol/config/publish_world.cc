/// \file
/// \brief The schedule of the world of publishers: who acts, what is delivered
/// and what fails.

#include "protocol/config/publish_world.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {
namespace {

constexpr std::size_t kMaxPublishers = 12;
constexpr int kMostStepsToRest = 40'000;

template <class T>
T TakeAt(std::vector<T>& items, std::size_t index) {
  std::swap(items[index], items.back());
  T item = std::move(items.back());
  items.pop_back();
  return item;
}

}  // namespace

Result<Manifest> BlindCodec::DecodeManifest(std::string_view bytes) const {
  auto manifest = m_codec.DecodeManifest(bytes);
  if (manifest.has_error()) return manifest;
  for (ManifestUnit& unit : manifest.value().units) {
    unit.digest = SegmentHash("unseen");
  }
  return manifest;
}

PublishWorld::PublishWorld(std::uint64_t seed, PlantedFault fault)
    : m_random(seed), m_fault(fault), m_replicas(kReplicas) {
  for (std::size_t i = 0; i < kReplicas; ++i) StartReplica(i);
}

void PublishWorld::Run(int steps) {
  for (int i = 0; i < steps; ++i) Step(true);
  m_outage = false;
  for (int i = 0; i < kMostStepsToRest && !AtRest(); ++i) Step(false);
  CheckEnd();
}

bool PublishWorld::AtRest() const {
  if (!m_late_writes.empty() || !m_held_back.empty()) return false;
  const bool publishing = std::any_of(
      m_publishers.begin(), m_publishers.end(), [](const PublisherActor& p) {
        return !p.crashed && !p.publisher->finished();
      });
  if (publishing) return false;
  const Revision last =
      m_accepted.empty() ? Revision() : m_accepted.back().entry.revision;
  return std::all_of(
      m_replicas.begin(), m_replicas.end(),
      [last](const ReplicaActor& r) { return r.replica->revision() == last; });
}

void PublishWorld::Step(bool faults) {
  constexpr std::uint32_t kLongestStep = 20;
  constexpr std::int64_t kPause = 20'000;
  m_now = m_now + DurationMs(Below(kLongestStep));
  if (faults) {
    if (Chance(3)) StartPublisher();
    if (Chance(1)) StartCollector();
    if (Chance(1)) CrashPublisher();
    if (Chance(1)) m_outage = !m_outage && Chance(50);
    if (Below(1'000) < 3) StartReplica(Below(kReplicas));
    if (Below(1'000) < 2) m_now = m_now + DurationMs(kPause);
  }
  if (Chance(10)) ApplyLateWrite();
  if (Chance(15)) TickReplicas();
  DeliverOne(faults);
  DeliverPeerOne(faults);
}

ConfigChange PublishWorld::MakeChange() {
  const std::string name = std::to_string(Below(kOwners));
  const VersionId version("v" + std::to_string(m_serial));
  ConfigUnit unit;
  unit.owner = OwnerId("owner" + name);
  unit.source = "test";
  if (Chance(5)) return ConfigChange{{}, {unit.owner}};
  CellConfig cell;
  cell.id = CellId("cell" + name);
  unit.cells.push_back(cell);
  AdapterConfig adapter;
  adapter.id = AdapterId("adapter" + name);
  adapter.cell = cell.id;
  adapter.owner = unit.owner;
  adapter.versions = {version};
  unit.adapters.push_back(adapter);
  unit.aliases.push_back({"alias" + name, {{{adapter.id, version}, 1}}});
  return ConfigChange{{{unit}}, {}};
}

void PublishWorld::StartPublisher() {
  if (m_publishers.size() >= kMaxPublishers) return;
  ++m_serial;
  PublisherActor actor;
  actor.request.publisher = PublisherId("p" + std::to_string(m_serial));
  actor.request.nonce = PublisherNonce("n" + std::to_string(m_serial));
  actor.request.change = MakeChange();
  if (Chance(10)) {
    actor.request.rollback = Revision(1 + Below(kMaxPublishers));
  }
  const ConfigCodec& codec =
      m_fault == PlantedFault::kOverlapUnseen
          ? static_cast<const ConfigCodec&>(m_blind_codec)
          : m_codec;
  actor.publisher = std::make_unique<Publisher>(actor.request, codec, 0.5);
  m_publishers.push_back(std::move(actor));
  Send(ActorKind::kPublisher, m_publishers.size() - 1,
       m_publishers.back().publisher->Begin());
}

void PublishWorld::StartCollector() {
  m_collectors.emplace_back(m_codec);
  Send(ActorKind::kCollector, m_collectors.size() - 1,
       m_collectors.back().Begin());
}

void PublishWorld::StartReplica(std::size_t index) {
  ConfigReplicaOptions options;
  options.self = NodeId("node" + std::to_string(index));
  options.failure_domain = FailureDomainId(index % 2 == 0 ? "a" : "b");
  options.watchers_per_domain = 1;
  options.seed = Below(1'000'000);
  options.address = options.self.str();
  for (std::size_t i = 0; i < kReplicas; ++i) {
    options.peers.push_back("node" + std::to_string(i));
  }
  ReplicaActor& actor = m_replicas[index];
  actor.replica = std::make_unique<ConfigReplica>(options, m_codec, m_now);
  ++actor.life;
  actor.highest = Revision();
}

void PublishWorld::CrashPublisher() {
  if (m_publishers.empty()) return;
  const auto index = Below(static_cast<std::uint32_t>(m_publishers.size()));
  if (!m_publishers[index].publisher->finished()) {
    m_publishers[index].crashed = true;
  }
}

void PublishWorld::TickReplicas() {
  for (std::size_t i = 0; i < kReplicas; ++i) {
    Perform(i, m_replicas[i].replica->Tick(m_now));
  }
}

void PublishWorld::Send(ActorKind kind, std::size_t actor, KvCalls calls) {
  for (KvCall& call : calls) {
    Flight flight{kind, actor, 0, call.id, std::move(call.request), {}};
    if (kind == ActorKind::kReplica) flight.life = m_replicas[actor].life;
    m_flights.push_back(std::move(flight));
  }
}

void PublishWorld::Perform(std::size_t replica, ConfigReplicaActions actions) {
  Send(ActorKind::kReplica, replica, std::move(actions.kv));
  const auto index_of = [](const std::string& address) {
    return static_cast<std::size_t>(address.back() - '0');
  };
  const std::uint64_t life = m_replicas[replica].life;
  for (ConfigExchangeCall& call : actions.exchanges) {
    PeerFlight flight{
        replica, index_of(call.to), life, call.id, {}, {}, false, {}, {}};
    flight.announce = call.message;
    m_peer_flights.push_back(std::move(flight));
  }
  for (ConfigFetchCall& call : actions.fetches) {
    PeerFlight flight{
        replica, index_of(call.to), life, call.id, {}, {}, false, {}, {}};
    flight.fetch = std::move(call.message);
    m_peer_flights.push_back(std::move(flight));
  }
  CheckReplica(replica);
}

void PublishWorld::DeliverOne(bool faults) {
  if (m_flights.empty()) return;
  const auto index = Below(static_cast<std::uint32_t>(m_flights.size()));
  if (!m_flights[index].reply) {
    m_flights[index].reply = ReplyTo(m_flights[index], faults);
    return;
  }
  Hand(TakeAt(m_flights, index));
}

KvReply PublishWorld::ReplyTo(const Flight& flight, bool faults) {
  KvReply failed;
  failed.status = KvStatus::kUnavailable;
  if (m_outage) return failed;
  const bool crashed = flight.kind == ActorKind::kPublisher &&
                       m_publishers[flight.actor].crashed;
  if (crashed && Chance(50)) return failed;
  if (faults && Chance(5)) {
    failed.status = Chance(50) ? KvStatus::kRateLimited : KvStatus::kUnknown;
    return failed;
  }
  const bool write = std::holds_alternative<KvCompareAndSwap>(flight.request) ||
                     std::holds_alternative<KvDelete>(flight.request);
  if (faults && write && Chance(15)) {
    if (Chance(50)) {
      Apply(flight.request);
    } else {
      m_late_writes.push_back(flight.request);
    }
    failed.status = m_fault == PlantedFault::kLostAnswerAsFailure
                        ? KvStatus::kUnavailable
                        : KvStatus::kUnknown;
    return failed;
  }
  const auto* get = std::get_if<KvGet>(&flight.request);
  const bool of_root = get != nullptr && get->key == kConfigRootKey;
  const bool collector = flight.kind == ActorKind::kCollector;
  if (faults && of_root && !collector && !m_past_roots.empty() && Chance(10)) {
    const auto past = Below(static_cast<std::uint32_t>(m_past_roots.size()));
    KvReply reply;
    reply.status = KvStatus::kOk;
    reply.entries.push_back(m_past_roots[past]);
    return reply;
  }
  return Apply(flight.request);
}

void PublishWorld::Hand(const Flight& flight) {
  switch (flight.kind) {
    case ActorKind::kPublisher: {
      PublisherActor& actor = m_publishers[flight.actor];
      if (actor.crashed) return;
      const auto& entries = flight.reply->entries;
      if (!actor.base && flight.reply->status == KvStatus::kOk) {
        actor.base =
            m_codec.DecodeRoot(entries.front().value).value().current.revision;
      } else if (!actor.base && flight.reply->status == KvStatus::kNotFound) {
        actor.base = Revision();
      }
      Send(flight.kind, flight.actor,
           actor.publisher->OnReply(flight.id, *flight.reply));
      return;
    }
    case ActorKind::kCollector:
      Send(flight.kind, flight.actor,
           m_collectors[flight.actor].OnReply(flight.id, *flight.reply));
      return;
    case ActorKind::kReplica:
      if (m_replicas[flight.actor].life != flight.life) return;
      Perform(flight.actor, m_replicas[flight.actor].replica->OnKvReply(
                                flight.id, *flight.reply, m_now));
  }
}

void PublishWorld::DeliverPeerOne(bool faults) {
  if (m_peer_flights.empty()) return;
  const auto index = Below(static_cast<std::uint32_t>(m_peer_flights.size()));
  PeerFlight& flight = m_peer_flights[index];
  ConfigReplica& to = *m_replicas[flight.to].replica;
  if (!flight.handled) {
    flight.handled = true;
    if (faults && Chance(10)) return;
    if (flight.fetch) {
      flight.blobs = to.OnFetch(*flight.fetch);
      const bool damage = faults && Chance(5) && !flight.blobs->blobs.empty();
      if (damage) flight.blobs->blobs.front().bytes += ' ';
      return;
    }
    flight.announce_reply = to.Announce(m_now);
    const ConfigAnnounce message = *flight.announce;
    Perform(flight.to, to.OnExchange(message, m_now));
    return;
  }
  PeerFlight done = TakeAt(m_peer_flights, index);
  if (m_replicas[done.from].life != done.life) return;
  ConfigReplica& from = *m_replicas[done.from].replica;
  if (faults && Chance(5)) {
    done.blobs.reset();
    done.announce_reply.reset();
  }
  Perform(done.from, done.fetch ? from.OnFetchReply(done.id, done.blobs, m_now)
                                : from.OnExchangeReply(
                                      done.id, done.announce_reply, m_now));
}

void PublishWorld::ApplyLateWrite() {
  std::vector<KvRequest>& writes =
      m_held_back.empty() ? m_late_writes : m_held_back;
  if (writes.empty()) return;
  const KvRequest request =
      TakeAt(writes, Below(static_cast<std::uint32_t>(writes.size())));
  m_kv.Apply(request);
  OnEffect();
}

}  // namespace yuccamoor

/// \file
/// \brief Runs many replicas in simulated time and measures how soon a change
/// is in force everywhere and what passing it on costs. Usage:
/// config_fleet_benchmark [DAEMONS ...]

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/config/config_replica.h"
#include "yuccamoor/protocol/config/config_message_codec.h"
#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kDomains = 6;
constexpr int kAdapters = 3'000;
constexpr int kChanges = 10;
constexpr DurationMs kPeerDelay{1};
constexpr DurationMs kServiceDelay{3};
constexpr DurationMs kTick{100};
constexpr DurationMs kBetweenChanges{10'000};
constexpr std::size_t kReadsPerSecond = 2'000;
/// HTTP header and JSON-RPC frame of one message, in bytes.
constexpr std::size_t kFrameBytes = 300;

/// One revision as the service holds it.
struct Stored {
  RootRecord root;
  EncodedConfig encoded;
  std::string manifest;
};

Stored MakeRevision(std::uint64_t revision) {
  const JsonConfigCodec codec;
  ConfigUnit unit;
  unit.owner = OwnerId("owner");
  for (int i = 0; i < kAdapters; ++i) {
    AdapterConfig adapter;
    adapter.id = AdapterId("customer-adapter-" + std::to_string(i));
    adapter.versions = {VersionId("2026-11-01"), VersionId("2026-12-01")};
    adapter.owner = unit.owner;
    unit.adapters.push_back(adapter);
  }
  unit.adapters[revision].versions.emplace_back("changed");
  ConfigUnits units{{unit.owner, unit}};
  Stored stored;
  stored.encoded =
      EncodeConfig(units, {}, Revision(revision), PublisherId("p"), codec);
  stored.manifest = codec.EncodeManifest(stored.encoded.manifest);
  stored.root.current = {Revision(revision), HashSegment(stored.manifest),
                         PublisherId("publisher"), PublisherNonce("12345678")};
  stored.root.history.assign(kMaxConfigHistory, stored.root.current);
  return stored;
}

/// What went over the wire of one daemon, both ways.
struct Traffic {
  std::size_t messages = 0;
  std::size_t bytes = 0;
};

class Fleet {
 public:
  explicit Fleet(std::size_t daemons) : m_traffic(daemons) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < daemons; ++i) {
      addresses.push_back(std::to_string(i));
    }
    Store(1);
    for (std::size_t i = 0; i < daemons; ++i) {
      ConfigReplicaOptions options;
      options.self = NodeId(addresses[i]);
      options.address = addresses[i];
      options.failure_domain = FailureDomainId(std::to_string(i % kDomains));
      options.peers = addresses;
      options.seed = i;
      m_replicas.push_back(
          std::make_unique<ConfigReplica>(options, m_codec, m_now));
      At(DurationMs(static_cast<std::int64_t>(i) % kTick.ms()),
         [this, i] { Tick(i); });
    }
  }

  void Store(std::uint64_t revision) {
    Stored stored = MakeRevision(revision);
    m_blobs.insert(stored.encoded.segments.begin(),
                   stored.encoded.segments.end());
    m_blobs[stored.root.current.manifest] = stored.manifest;
    m_root = m_codec.EncodeRoot(stored.root);
    m_revision = Revision(revision);
  }

  /// Runs until every daemon has the revision; returns the time it took.
  DurationMs UntilAllHave() {
    const TimeMs start = m_now;
    while (!std::all_of(
        m_replicas.begin(), m_replicas.end(),
        [this](const auto& r) { return r->revision() == m_revision; })) {
      RunUntil(m_now + DurationMs(1));
    }
    return m_now - start;
  }

  void RunUntil(TimeMs end) {
    while (!m_events.empty() && m_events.top().at <= end) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.run();
    }
    m_now = end;
  }

  void ResetCounts() {
    m_traffic.assign(m_traffic.size(), {});
    m_service_calls = 0;
  }
  TimeMs now() const { return m_now; }
  std::size_t service_calls() const { return m_service_calls; }
  std::size_t rate_limited() const { return m_rate_limited; }
  const std::vector<Traffic>& traffic() const { return m_traffic; }
  std::size_t unready() const {
    return static_cast<std::size_t>(
        std::count_if(m_replicas.begin(), m_replicas.end(),
                      [this](const auto& r) { return !r->ready(m_now); }));
  }

 private:
  struct Event {
    TimeMs at;
    std::uint64_t order = 0;
    std::function<void()> run;

    bool operator<(const Event& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void At(DurationMs delay, std::function<void()> run) {
    m_events.push({m_now + delay, m_order++, std::move(run)});
  }

  void Count(std::size_t daemon, std::size_t bytes) {
    ++m_traffic[daemon].messages;
    m_traffic[daemon].bytes += bytes + kFrameBytes;
  }

  void Tick(std::size_t i) {
    Perform(i, m_replicas[i]->Tick(m_now));
    At(kTick, [this, i] { Tick(i); });
  }

  void Perform(std::size_t i, const ConfigReplicaActions& actions) {
    for (const KvCall& call : actions.kv) CallService(i, call);
    for (const ConfigExchangeCall& call : actions.exchanges) Exchange(i, call);
    for (const ConfigFetchCall& call : actions.fetches) Fetch(i, call);
  }

  void CallService(std::size_t i, const KvCall& call) {
    ++m_service_calls;
    Count(i, 0);
    const bool limited = !TakeRead();
    const auto* watch = std::get_if<KvWatch>(&call.request);
    KvReply reply;
    reply.status = limited ? KvStatus::kRateLimited : KvStatus::kOk;
    DurationMs delay = kServiceDelay;
    if (!limited && watch != nullptr) {
      Watch(i, call.id, *watch, m_now + watch->wait);
      return;
    }
    if (!limited) {
      const auto& key = std::get<KvGet>(call.request).key;
      const SegmentHash hash(key.substr(sizeof(kConfigSegmentPrefix) - 1));
      reply.entries.push_back({key, m_blobs.at(hash), KvVersion(1)});
    }
    At(delay, [this, i, id = call.id, reply] { Deliver(i, id, reply); });
  }

  bool TakeRead() {
    const std::int64_t second = m_now.ms() / 1'000;
    if (second != m_second) m_reads = 0;
    m_second = second;
    if (++m_reads <= kReadsPerSecond) return true;
    ++m_rate_limited;
    return false;
  }

  /// Answers the watch when the root's version has grown, or at its end.
  void Watch(std::size_t i, KvCallId id, const KvWatch& watch, TimeMs end) {
    constexpr DurationMs kPoll{5};
    const KvVersion version(m_revision.value());
    if (version <= watch.after && m_now < end) {
      At(kPoll, [this, i, id, watch, end] { Watch(i, id, watch, end); });
      return;
    }
    KvReply reply;
    reply.status = KvStatus::kOk;
    reply.entries.push_back({kConfigRootKey, m_root, version});
    At(kServiceDelay, [this, i, id, reply] { Deliver(i, id, reply); });
  }

  void Deliver(std::size_t i, KvCallId id, const KvReply& reply) {
    std::size_t bytes = 0;
    for (const KvEntry& entry : reply.entries) bytes += entry.value.size();
    Count(i, bytes);
    Perform(i, m_replicas[i]->OnKvReply(id, reply, m_now));
  }

  void Exchange(std::size_t i, const ConfigExchangeCall& call) {
    const std::size_t to = std::stoul(call.to);
    const std::size_t bytes = EncodeConfigAnnounce(call.message).size();
    Count(i, bytes);
    At(kPeerDelay, [this, i, to, bytes, call] {
      Count(to, bytes);
      const ConfigAnnounce answer = m_replicas[to]->Announce(m_now);
      Perform(to, m_replicas[to]->OnExchange(call.message, m_now));
      const std::size_t answer_bytes = EncodeConfigAnnounce(answer).size();
      Count(to, answer_bytes);
      At(kPeerDelay, [this, i, id = call.id, answer, answer_bytes] {
        Count(i, answer_bytes);
        Perform(i, m_replicas[i]->OnExchangeReply(id, answer, m_now));
      });
    });
  }

  void Fetch(std::size_t i, const ConfigFetchCall& call) {
    const std::size_t to = std::stoul(call.to);
    const std::size_t bytes = EncodeConfigFetch(call.message).size();
    Count(i, bytes);
    At(kPeerDelay, [this, i, to, bytes, call] {
      Count(to, bytes);
      const ConfigBlobs blobs = m_replicas[to]->OnFetch(call.message);
      const std::size_t answer_bytes = EncodeConfigBlobs(blobs).size();
      Count(to, answer_bytes);
      At(kPeerDelay, [this, i, id = call.id, blobs, answer_bytes] {
        Count(i, answer_bytes);
        Perform(i, m_replicas[i]->OnFetchReply(id, blobs, m_now));
      });
    });
  }

  JsonConfigCodec m_codec;
  TimeMs m_now{1'000'000};
  std::priority_queue<Event> m_events;
  std::uint64_t m_order = 0;
  std::vector<std::unique_ptr<ConfigReplica>> m_replicas;
  std::vector<Traffic> m_traffic;

  std::map<SegmentHash, std::string> m_blobs;
  std::string m_root;
  Revision m_revision;
  std::size_t m_service_calls = 0;
  std::size_t m_rate_limited = 0;
  std::int64_t m_second = 0;
  std::size_t m_reads = 0;
};

void Measure(std::size_t daemons) {
  Fleet fleet(daemons);
  const DurationMs start = fleet.UntilAllHave();
  const std::size_t start_calls = fleet.service_calls();
  fleet.RunUntil(fleet.now() + kBetweenChanges * 2);
  // What it costs while nothing changes.
  fleet.ResetCounts();
  const TimeMs idle_start = fleet.now();
  constexpr DurationMs kIdle{60'000};
  std::size_t unready = 0;
  for (int i = 0; i < 60; ++i) {
    fleet.RunUntil(fleet.now() + kIdle / 60);
    unready = std::max(unready, fleet.unready());
  }
  const double seconds =
      static_cast<double>((fleet.now() - idle_start).ms()) / 1e3;
  std::size_t bytes = 0;
  std::size_t messages = 0;
  std::size_t most = 0;
  for (const Traffic& t : fleet.traffic()) {
    bytes += t.bytes;
    messages += t.messages;
    most = std::max(most, t.bytes);
  }
  const double calls = static_cast<double>(fleet.service_calls()) / seconds;
  // How soon changes are everywhere.
  DurationMs slowest;
  for (std::uint64_t revision = 2; revision < 2 + kChanges; ++revision) {
    fleet.Store(revision);
    slowest = std::max(slowest, fleet.UntilAllHave());
    fleet.RunUntil(fleet.now() + kBetweenChanges);
  }
  const auto count = static_cast<double>(daemons);
  std::printf(
      "daemons=%zu start_ms=%ld start_service_calls=%zu rate_limited=%zu "
      "idle_messages_s=%.2f idle_bytes_s=%.0f idle_bytes_s_most=%.0f "
      "service_calls_s=%.2f unready=%zu in_force_ms_worst=%ld\n",
      daemons, static_cast<std::int64_t>(start.ms()), start_calls,
      fleet.rate_limited(), static_cast<double>(messages) / seconds / count,
      static_cast<double>(bytes) / seconds / count,
      static_cast<double>(most) / seconds, calls, unready,
      static_cast<std::int64_t>(slowest.ms()));
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  std::vector<std::size_t> sizes;
  for (int i = 1; i < argc; ++i) {
    sizes.push_back(std::strtoul(argv[i], nullptr, 10));
  }
  if (sizes.empty()) sizes = {9, 60, 150, 340};
  for (const std::size_t size : sizes) yuccamoor::Measure(size);
  return 0;
}

/// \file
/// \brief Tests of a single replica: what makes it ready, who watches the root
/// and what it refuses.

#include "yuccamoor/coordination/config/config_replica.h"

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/config/json_config_codec.h"

namespace yuccamoor {
namespace {

constexpr TimeMs kStart{1'000'000};

/// A published revision: its root, manifest and segments.
struct Published {
  RootRecord root;
  EncodedConfig encoded;
  std::string manifest;
};

const JsonConfigCodec& Codec() {
  static const JsonConfigCodec codec;
  return codec;
}

Published Publish(std::uint64_t revision) {
  ConfigUnit unit;
  unit.owner = OwnerId("owner");
  AdapterConfig adapter;
  adapter.id = AdapterId("diary");
  adapter.versions = {VersionId("v" + std::to_string(revision))};
  unit.adapters.push_back(adapter);
  ConfigUnits units{{unit.owner, unit}};
  Published published;
  published.encoded =
      EncodeConfig(units, {}, Revision(revision), PublisherId("p"), Codec());
  published.manifest = Codec().EncodeManifest(published.encoded.manifest);
  published.root.current.revision = Revision(revision);
  published.root.current.manifest = HashSegment(published.manifest);
  return published;
}

ConfigReplicaOptions Options(std::vector<std::string> peers) {
  ConfigReplicaOptions options;
  options.self = NodeId("self");
  options.address = "self";
  options.failure_domain = FailureDomainId("a");
  options.peers = std::move(peers);
  return options;
}

ConfigAnnounce AnnounceOf(const Published& published, const std::string& from,
                          const std::string& domain) {
  return {NodeId(from),
          from,
          FailureDomainId(domain),
          published.root.current.revision,
          published.root.current.manifest,
          DurationMs(0)};
}

ConfigBlobs BlobsFor(const Published& published, const ConfigFetch& fetch) {
  ConfigBlobs blobs;
  for (const SegmentHash& hash : fetch.hashes) {
    const auto it = published.encoded.segments.find(hash);
    const bool manifest = hash == published.root.current.manifest;
    if (manifest) blobs.blobs.push_back({hash, published.manifest});
    if (it != published.encoded.segments.end()) {
      blobs.blobs.push_back({hash, it->second});
    }
  }
  return blobs;
}

/// Answers every fetch from the revision until there is none.
void Serve(ConfigReplica& replica, ConfigReplicaActions actions,
           const Published& published, TimeMs now) {
  while (!actions.fetches.empty()) {
    const ConfigFetchCall call = actions.fetches.front();
    actions =
        replica.OnFetchReply(call.id, BlobsFor(published, call.message), now);
  }
}

/// Brings the revision to the replica as a push of a peer.
void Push(ConfigReplica& replica, const Published& published, TimeMs now) {
  Serve(replica, replica.OnExchange(AnnounceOf(published, "peer", "a"), now),
        published, now);
}

KvReply RootReply(const Published& published) {
  KvReply reply;
  reply.status = KvStatus::kOk;
  reply.entries.push_back(
      {kConfigRootKey, Codec().EncodeRoot(published.root), KvVersion(1)});
  return reply;
}

/// Ticks until the replica watches the root and answers that watch.
void AnswerWatch(ConfigReplica& replica, const KvReply& reply, TimeMs now) {
  const auto actions = replica.Tick(now);
  REQUIRE(actions.kv.size() == 1);
  replica.OnKvReply(actions.kv.front().id, reply, now);
}

}  // namespace

TEST_CASE("A replica takes higher revisions only", "[config]") {
  ConfigReplica replica(Options({"peer"}), Codec(), kStart);
  Push(replica, Publish(2), kStart);
  REQUIRE(replica.revision() == Revision(2));
  Push(replica, Publish(1), kStart);
  CHECK(replica.revision() == Revision(2));
  const auto kept = replica.current();
  Push(replica, Publish(3), kStart);
  CHECK(replica.revision() == Revision(3));
  CHECK(kept->Resolve("diary@v2", "").has_value());
  CHECK_FALSE(replica.current()->Resolve("diary@v2", "").has_value());
}

TEST_CASE("A damaged segment is fetched elsewhere", "[config]") {
  ConfigReplica replica(Options({"bad", "good"}), Codec(), kStart);
  const Published published = Publish(1);
  replica.OnExchange(AnnounceOf(published, "good", "a"), kStart);
  // The first fetch went to "good" already; lose it, and let "bad" answer next.
  Published damaged = published;
  damaged.manifest += ' ';
  auto actions = replica.OnExchange(AnnounceOf(published, "bad", "a"), kStart);
  CHECK(actions.fetches.empty());
  actions = replica.OnFetchReply(PeerCallId(1), std::nullopt, kStart);
  REQUIRE(actions.fetches.size() == 1);
  CHECK(actions.fetches[0].to == "bad");
  actions = replica.OnFetchReply(actions.fetches[0].id,
                                 BlobsFor(damaged, actions.fetches[0].message),
                                 kStart);
  CHECK(replica.revision() == Revision());
  CHECK(actions.fetches.empty());
}

TEST_CASE("Readiness follows what was confirmed and who was reached",
          "[config]") {
  const DurationMs bound = ConfigReplicaOptions{}.currency_bound;
  const Published published = Publish(1);
  ConfigReplica replica(Options({"peer", "other"}), Codec(), kStart);
  CHECK(replica.currency(kStart) == ConfigCurrency::kBehind);
  Push(replica, published, kStart);
  CHECK(replica.currency(kStart) == ConfigCurrency::kIsolated);
  // The peers' own domain alone is no majority once another is known.
  replica.OnExchange(AnnounceOf(published, "other", "b"), kStart);
  auto actions = replica.Tick(kStart);
  REQUIRE(actions.exchanges.size() == 1);
  ConfigAnnounce reply = AnnounceOf(published, actions.exchanges[0].to, "b");
  reply.confirmed_age.reset();
  replica.OnExchangeReply(actions.exchanges[0].id, reply, kStart);
  CHECK(replica.currency(kStart) == ConfigCurrency::kAgreed);
  CHECK(replica.ready(kStart + bound));
  CHECK_FALSE(replica.ready(kStart + bound + DurationMs(1)));
}

TEST_CASE("Daemons that reach each other stay ready without the service",
          "[config]") {
  constexpr int kPeers = 24;
  // A sixth of the peers is in the own domain.
  const auto domain_of = [](int peer) {
    constexpr int kDomains = 6;
    const int domain = peer % kDomains;
    return domain == 0 ? std::string("a") : std::to_string(domain);
  };
  const DurationMs bound = ConfigReplicaOptions{}.currency_bound;
  const Published published = Publish(1);
  ConfigReplica replica(Options({}), Codec(), kStart);
  for (int i = 0; i < kPeers; ++i) {
    const std::string peer = std::to_string(i);
    Serve(replica,
          replica.OnExchange(AnnounceOf(published, peer, domain_of(i)), kStart),
          published, kStart);
  }
  constexpr DurationMs kTick{100};
  constexpr DurationMs kOutage{120'000};
  for (TimeMs now = kStart; now < kStart + kOutage; now = now + kTick) {
    const auto actions = replica.Tick(now);
    for (const KvCall& call : actions.kv) {
      replica.OnKvReply(call.id, KvReply{}, now);
    }
    for (const ConfigExchangeCall& call : actions.exchanges) {
      ConfigAnnounce reply =
          AnnounceOf(published, call.to, domain_of(std::stoi(call.to)));
      reply.confirmed_age.reset();
      replica.OnExchangeReply(call.id, reply, now);
    }
    if (now - kStart > bound) REQUIRE(replica.ready(now));
  }
}

TEST_CASE("A service's answer from the past confirms nothing", "[config]") {
  const DurationMs bound = ConfigReplicaOptions{}.currency_bound;
  ConfigReplica replica(Options({}), Codec(), kStart);
  Push(replica, Publish(5), kStart);
  AnswerWatch(replica, RootReply(Publish(4)), kStart);
  CHECK(replica.revision() == Revision(5));
  CHECK(replica.currency(kStart) == ConfigCurrency::kIsolated);
  AnswerWatch(replica, RootReply(Publish(5)), kStart);
  CHECK(replica.currency(kStart + bound) == ConfigCurrency::kConfirmed);
}

TEST_CASE("Few daemons of a failure domain watch the root", "[config]") {
  constexpr int kDaemons = 57;
  std::vector<std::string> addresses;
  addresses.reserve(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    addresses.push_back("node-" + std::to_string(i));
  }
  int at_start = 0;
  int without_confirmation = 0;
  for (const std::string& address : addresses) {
    ConfigReplicaOptions options = Options(addresses);
    options.address = address;
    ConfigReplica replica(options, Codec(), kStart);
    if (!replica.Tick(kStart).kv.empty()) ++at_start;
    constexpr DurationMs kLong{30'000};
    if (!replica.Tick(kStart + kLong).kv.empty()) ++without_confirmation;
  }
  CHECK(at_start == 2);
  CHECK(without_confirmation == kDaemons - 2);
}

}  // namespace yuccamoor

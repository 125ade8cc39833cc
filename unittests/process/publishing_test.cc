/// \file
/// \brief Tests of publications that race, are killed and meet faults, before
/// nine daemons that are restarted meanwhile.

#include <catch2/catch.hpp>
#include <random>

#include "process/cluster.h"
#include "process/publication.h"

namespace yuccamoor {
namespace {

constexpr int kRounds = 12;
constexpr int kGateways = 5;
constexpr int kSchedulers = 4;
constexpr std::uint64_t kSeed = 20'260'721;
/// The service's calls after which a publisher is killed, at most. A whole
/// publication makes about six; other daemons' calls count, too.
constexpr std::uint64_t kMostCallsBeforeKill = 16;

/// Calls that publishers make: reads of one key and compare-and-swaps.
std::uint64_t PublisherCalls(Cluster& cluster) {
  const std::string text =
      cluster.http().Get(cluster.Address("kv"), "/counters");
  const Json counters = Json::parse(text, nullptr, false);
  if (!counters.is_object()) return 0;
  return counters.value("get", std::uint64_t{0}) +
         counters.value("cas", std::uint64_t{0});
}

/// Whether the gateway knows both adapters of the generation, or neither.
enum class Presence : std::uint8_t { kWhole, kNone, kPart };

bool Knows(Cluster& cluster, int gateway, const std::string& adapter) {
  constexpr int kOk = 200;
  constexpr int kUnknownAdapter = 404;
  int status = 0;
  cluster.Await("the gateway answers", [&] {
    status = cluster.Chat(gateway, adapter + "@v1", "text").response.status;
    return status == kOk || status == kUnknownAdapter;
  });
  return status == kOk;
}

Presence PresenceOf(Cluster& cluster, int gateway,
                    const std::string& generation) {
  const bool left = Knows(cluster, gateway, "left-" + generation);
  const bool right = Knows(cluster, gateway, "right-" + generation);
  if (left != right) return Presence::kPart;
  return left ? Presence::kWhole : Presence::kNone;
}

}  // namespace

TEST_CASE("What is accepted is in force everywhere and never goes back",
          "[process]") {
  ClusterShape shape;
  shape.gateways = kGateways;
  shape.schedulers = kSchedulers;
  Cluster cluster(shape);
  const std::vector<std::string> daemons = cluster.DaemonNames();
  RevisionWatch watch(cluster, daemons);
  std::mt19937_64 random(kSeed);
  // What the killed publishers' owner has in force.
  std::string whole;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(round);
    const std::string number = std::to_string(round);
    cluster.SetFaults("kv", Json{{"slow_ms", 5},
                                 {"lose_probability", 0.15},
                                 {"seed", kSeed + round}});
    const std::uint64_t kill_at =
        PublisherCalls(cluster) + random() % kMostCallsBeforeKill;
    Publication killed(cluster, "killed", "killed-" + number);
    cluster.Await("the moment of the kill", [&] {
      return PublisherCalls(cluster) >= kill_at || !killed.process().Running();
    });
    killed.process().Kill();

    // In every second round the two change the same owner's part.
    const bool same = round % 2 == 1;
    Publication first(cluster, same ? "same" : "first", "first-" + number);
    Publication second(cluster, same ? "same" : "second", "second-" + number);
    const std::string& restarted = daemons[random() % daemons.size()];
    cluster.Process(restarted).Kill();
    watch.OnEnd(restarted);
    cluster.Start(restarted);
    std::uint64_t in_force = 0;
    std::string last;
    for (Publication* publication : {&first, &second}) {
      const bool accepted = publication->Accepted();
      INFO(publication->generation() << " " << publication->Status());
      CHECK((accepted || (same && publication->Status() == "overlap")));
      if (!accepted || publication->Revision() < in_force) continue;
      in_force = publication->Revision();
      last = publication->generation();
    }
    REQUIRE(in_force > 0);
    cluster.Await("the accepted revision is in force everywhere",
                  [&] { return watch.AllReadyWith(in_force); });

    const int gateway = round % kGateways;
    CHECK(PresenceOf(cluster, gateway, last) == Presence::kWhole);
    const Presence changed = PresenceOf(cluster, gateway, killed.generation());
    CHECK(changed != Presence::kPart);
    const Presence before =
        whole.empty() ? Presence::kNone : PresenceOf(cluster, gateway, whole);
    const bool took_effect = changed == Presence::kWhole;
    const bool kept = !whole.empty() && !took_effect;
    CHECK(before == (kept ? Presence::kWhole : Presence::kNone));
    if (took_effect) whole = killed.generation();
  }
  CHECK(watch.reports() > 0);
  INFO(watch.violations());
  CHECK(watch.violations().empty());
}

}  // namespace yuccamoor

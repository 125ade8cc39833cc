/// \file
/// \brief Tests of the member registry against fakes that answer at once.

#include "yuccamoor/transport/daemon/member_registry.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/coordination/vm_list.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kRefreshInterval(1'000);

/// A service that is down.
class DownService final : public KeyValueService {
 public:
  void Call(KvRequest /*request*/, DurationMs /*timeout*/,
            Callback done) override {
    KvReply reply;
    reply.status = KvStatus::kUnavailable;
    done(reply);
  }
};

class NoPeers final : public PeerChannel {
 public:
  void Call(const std::string& /*address*/, const std::string& /*method*/,
            const std::string& /*parameters*/, DurationMs /*timeout*/,
            Callback done) override {
    done(std::nullopt);
  }
};

/// A list that counts its reads.
class CountingVmList final : public VmList {
 public:
  void Read(DurationMs /*timeout*/, Callback done) override {
    ++reads;
    if (down) {
      done(std::nullopt);
      return;
    }
    done(vms);
  }

  std::vector<VmEntry> vms;
  bool down = false;
  int reads = 0;
};

struct Fixture {
  explicit Fixture(MemberReplicaOptions options = {}) {
    Member self;
    self.id = NodeId("self");
    self.vm = VmId("vm-self");
    registry = MemberRegistry::Create(
        std::move(self), MemberRegistryServices{service, &list, peers, clock},
        options);
  }

  void RunFor(DurationMs time) {
    const TimeMs end = clock.Now() + time;
    for (; clock.Now() < end; clock.Advance(kRefreshInterval)) {
      registry->Refresh();
    }
  }

  ManualClock clock;
  DownService service;
  NoPeers peers;
  CountingVmList list;
  std::shared_ptr<MemberRegistry> registry;
};

}  // namespace

TEST_CASE("The list of VMs is read on while the key-value service is down",
          "[members]") {
  Fixture f;
  f.clock.Advance(DurationMs(5'000));
  for (int second = 0; second < 30; ++second) {
    CAPTURE(second);
    f.RunFor(kRefreshInterval);
    // An endpoint that leaves must get nothing new after 3 s, and an election
    // trusts a list for 4 s.
    REQUIRE(f.clock.Now() - f.registry->VmsListedAt() <= DurationMs(2'000));
  }
}

TEST_CASE("A long list of VMs is read seldom, and a failed read is repeated",
          "[members]") {
  Fixture f;
  constexpr int kVms = 1'000;
  for (int i = 0; i < kVms; ++i) {
    f.list.vms.push_back(VmEntry{VmId("vm-" + std::to_string(i)),
                                 FailureDomainId("fes-a"), false});
  }
  f.RunFor(DurationMs(60'000));
  // Some 60 KB at 500 B/s.
  CHECK(f.list.reads == 1);
  f.RunFor(DurationMs(120'000));
  CHECK(f.list.reads == 2);
  f.list.down = true;
  f.RunFor(DurationMs(120'000));
  const int failed = f.list.reads;
  CHECK(failed > 3);
  f.list.down = false;
  f.RunFor(DurationMs(60'000));
  CHECK(f.list.reads == failed + 1);
}

}  // namespace yuccamoor

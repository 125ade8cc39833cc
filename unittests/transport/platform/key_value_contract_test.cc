/// \file
/// \brief Contract of the key-value service, run over the in-memory table and
/// over the HTTP driver with its stand-in; and the driver's fault table.

#include <catch2/catch.hpp>
#include <optional>

#include "support/memory_key_value.h"
#include "transport/platform/stand_in_fixture.h"
#include "yuccamoor/standins/key_value_stand_in.h"
#include "yuccamoor/transport/platform/http_key_value_service.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kTimeout(5'000);

/// Makes a call and returns its reply.
using Caller = std::function<KvReply(KvRequest)>;

using Rules = std::vector<std::string>;

/// The rules on keys and versions that a caller breaks.
Rules RecordBreaches(const Caller& call) {
  Rules breaches;
  const auto expect = [&breaches](bool kept, const std::string& rule) {
    if (!kept) breaches.push_back(rule);
  };
  const auto cas = [&call](const std::string& key, KvVersion expected,
                           const std::string& value) {
    return call(KvCompareAndSwap{key, expected, value, KvLease()});
  };
  expect(call(KvGet{"a/1"}).status == KvStatus::kNotFound, "missing key");
  const KvReply made = cas("a/1", KvVersion(), "one");
  expect(made.status == KvStatus::kOk && made.version > KvVersion(), "create");
  const KvReply again = cas("a/1", KvVersion(), "two");
  expect(again.status == KvStatus::kConflict, "create twice");
  expect(again.entries.size() == 1 && again.entries[0].value == "one",
         "a conflict shows the current entry");
  const KvReply swapped = cas("a/1", made.version, "two");
  expect(swapped.status == KvStatus::kOk && swapped.version > made.version,
         "swap");
  expect(cas("a/1", made.version, "three").status == KvStatus::kConflict,
         "swap with an old version");
  cas("a/2", KvVersion(), "other");
  cas("b/1", KvVersion(), "elsewhere");
  expect(call(KvList{"a/"}).entries.size() == 2, "list");
  expect(call(KvDelete{"a/1", made.version}).status == KvStatus::kConflict,
         "delete with an old version");
  expect(call(KvDelete{"a/1", swapped.version}).status == KvStatus::kOk,
         "delete");
  const KvReply reborn = cas("a/1", KvVersion(), "four");
  expect(reborn.version > swapped.version, "no version is used twice");
  expect(
      cas("big", KvVersion(), std::string(kKvMaxValueBytes + 1, 'x')).status ==
          KvStatus::kTooLarge,
      "large value");
  const KvReply watched = call(KvWatch{"a/", KvVersion(), DurationMs(0)});
  expect(watched.entries.size() == 2, "a watch reads the prefix");
  return breaches;
}

/// The rules on leases that a caller breaks.
Rules LeaseBreaches(const Caller& call) {
  Rules breaches;
  const auto expect = [&breaches](bool kept, const std::string& rule) {
    if (!kept) breaches.push_back(rule);
  };
  const auto bind = [&call](const std::string& key, KvLease lease) {
    return call(KvCompareAndSwap{key, KvVersion(), "held", lease}).status;
  };
  const KvReply lease = call(KvLeaseGrant{DurationMs(60'000)});
  expect(bind("c", lease.lease) == KvStatus::kOk, "bind to a lease");
  expect(call(KvLeaseRenew{lease.lease}).status == KvStatus::kOk, "renew");
  expect(call(KvLeaseRenew{KvLease(999)}).status == KvStatus::kNotFound,
         "renew an unknown lease");
  expect(bind("d", KvLease(999)) != KvStatus::kOk, "bind to an unknown lease");
  return breaches;
}

Rules Breaches(const Caller& call) {
  Rules breaches = RecordBreaches(call);
  const Rules of_leases = LeaseBreaches(call);
  breaches.insert(breaches.end(), of_leases.begin(), of_leases.end());
  return breaches;
}

/// A stand-in with its driver.
struct Remote {
  StandInHost host;
  std::string address;
  std::unique_ptr<HttpKeyValueService> service;

  explicit Remote(const KeyValueStandInOptions& options = {})
      : address(host.Serve(std::make_shared<KeyValueStandIn>(options))),
        service(
            HttpKeyValueService::Create(host.pool(), host.client(), address)) {}

  KvReply Call(KvRequest request, DurationMs timeout = kTimeout) {
    return Await<KvReply>([&](auto done) {
      service->Call(std::move(request), timeout, std::move(done));
    });
  }
};

}  // namespace

TEST_CASE("The key-value contract holds in memory and over HTTP", "[kv]") {
  MemoryKeyValue memory;
  CHECK(RecordBreaches([&](const KvRequest& request) {
          return memory.Apply(request);
        }).empty());
  KeyValueTable table;
  CHECK(Breaches([&](const KvRequest& request) {
          return table.Apply(request, TimeMs(1));
        }).empty());
  Remote remote;
  CHECK(Breaches([&](KvRequest request) {
          return remote.Call(std::move(request));
        }).empty());
}

TEST_CASE("The key-value contract finds planted faults", "[kv]") {
  const auto with_fault = [](const auto& change) {
    KeyValueTable table;
    return Breaches([&](KvRequest request) {
      change(request);
      return table.Apply(request, TimeMs(1));
    });
  };
  SECTION("swaps without comparing") {
    KeyValueTable table;
    const auto blind = [&](KvRequest request) {
      if (auto* cas = std::get_if<KvCompareAndSwap>(&request)) {
        cas->expected = table.Apply(KvGet{cas->key}, TimeMs(1)).version;
      }
      return table.Apply(request, TimeMs(1));
    };
    CHECK_FALSE(Breaches(blind).empty());
  }
  SECTION("lists every key") {
    CHECK_FALSE(with_fault([](KvRequest& request) {
                  if (auto* list = std::get_if<KvList>(&request)) {
                    list->prefix.clear();
                  }
                }).empty());
  }
  SECTION("ignores leases") {
    CHECK_FALSE(with_fault([](KvRequest& request) {
                  if (auto* cas = std::get_if<KvCompareAndSwap>(&request)) {
                    cas->lease = KvLease();
                  }
                }).empty());
  }
}

TEST_CASE("Keys vanish with their lease unless it is renewed", "[kv]") {
  KeyValueTable table;
  const KvLease lease =
      table.Apply(KvLeaseGrant{DurationMs(100)}, TimeMs(0)).lease;
  table.Apply(KvCompareAndSwap{"k", KvVersion(), "v", lease}, TimeMs(0));
  table.Apply(KvLeaseRenew{lease}, TimeMs(90));
  CHECK(table.Apply(KvGet{"k"}, TimeMs(189)).status == KvStatus::kOk);
  CHECK(table.Apply(KvGet{"k"}, TimeMs(190)).status == KvStatus::kNotFound);
  CHECK(table.Apply(KvLeaseRenew{lease}, TimeMs(190)).status ==
        KvStatus::kNotFound);
}

TEST_CASE("A fault of the key-value service never passes as an answer",
          "[kv]") {
  struct Case {
    std::string name;
    std::string faults;
    DurationMs timeout;
    KvStatus write;
    KvStatus read;
    bool effect;
  };
  const std::vector<Case> cases = {
      {"none", "{}", kTimeout, KvStatus::kOk, KvStatus::kOk, true},
      {"down", R"({"down":true})", kTimeout, KvStatus::kUnavailable,
       KvStatus::kUnavailable, false},
      {"lost answers", R"({"lose_answer":2})", kTimeout, KvStatus::kUnknown,
       KvStatus::kUnavailable, true},
      {"slow", R"({"slow_ms":500})", DurationMs(20), KvStatus::kUnknown,
       KvStatus::kUnavailable, true},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    Remote remote;
    remote.host.SetFaults(remote.address, c.faults);
    const KvCompareAndSwap write{"k", KvVersion(), "v", KvLease()};
    CHECK(remote.Call(write, c.timeout).status == c.write);
    CHECK(remote.Call(KvGet{"other"}, c.timeout).status ==
          (c.read == KvStatus::kOk ? KvStatus::kNotFound : c.read));
    remote.host.SetFaults(remote.address, R"({"down":false,"slow_ms":0})");
    // A slow write takes effect after its caller has given up.
    KvStatus found = remote.Call(KvGet{"k"}).status;
    while (c.effect && found == KvStatus::kNotFound) {
      found = remote.Call(KvGet{"k"}).status;
    }
    CHECK((found == KvStatus::kOk) == c.effect);
  }
}

TEST_CASE("A call to an address where nothing listens is unavailable", "[kv]") {
  StandInHost host;
  const auto service =
      HttpKeyValueService::Create(host.pool(), host.client(), "127.0.0.1:1");
  const KvReply reply = Await<KvReply>([&](auto done) {
    service->Call(KvLeaseGrant{DurationMs(1'000)}, kTimeout, std::move(done));
  });
  CHECK(reply.status == KvStatus::kUnavailable);
}

TEST_CASE("Rates are kept and every call is counted", "[kv]") {
  KeyValueStandInOptions options;
  options.writes_per_second = 0.001;
  Remote remote(options);
  const auto write = [&](const std::string& key) {
    return remote.Call(KvCompareAndSwap{key, KvVersion(), "v", KvLease()})
        .status;
  };
  CHECK(write("a") == KvStatus::kOk);
  CHECK(write("b") == KvStatus::kRateLimited);
  CHECK(remote.Call(KvGet{"b"}).status == KvStatus::kNotFound);
  const Json counters =
      remote.host.CallJson(remote.address, "GET", "/counters");
  CHECK(counters.at("cas") == 2);
  CHECK(counters.at("get") == 1);
  CHECK(counters.at("rate_limited") == 1);
}

TEST_CASE("A watch waits for a newer version", "[kv]") {
  Remote remote;
  const KvReply made =
      remote.Call(KvCompareAndSwap{"w/1", KvVersion(), "old", KvLease()});
  auto promise = std::make_shared<std::promise<KvReply>>();
  auto future = promise->get_future();
  remote.service->Call(
      KvWatch{"w/", made.version, kTimeout}, kTimeout * 2,
      [promise](KvReply reply) { promise->set_value(std::move(reply)); });
  remote.Call(KvCompareAndSwap{"w/1", made.version, "new", KvLease()});
  const KvReply seen = future.get();
  REQUIRE(seen.entries.size() == 1);
  CHECK(seen.entries[0].value == "new");
}

}  // namespace yuccamoor

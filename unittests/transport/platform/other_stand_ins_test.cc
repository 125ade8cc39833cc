/// \file
/// \brief Contracts of the weight store, the plain service and the VM list over
/// their stand-ins.

#include <catch2/catch.hpp>

#include "transport/platform/stand_in_fixture.h"
#include "yuccamoor/coordination/vm_list.h"
#include "yuccamoor/standins/plain_service_stand_in.h"
#include "yuccamoor/standins/vm_list_stand_in.h"
#include "yuccamoor/standins/weight_store_stand_in.h"
#include "yuccamoor/transport/platform/http_vm_list.h"

namespace yuccamoor {
namespace {

using VmListReply = std::optional<std::vector<VmEntry>>;

constexpr DurationMs kTimeout(5'000);

VmListReply ReadList(HttpVmList& list) {
  return Await<VmListReply>(
      [&](auto done) { list.Read(kTimeout, std::move(done)); });
}

}  // namespace

TEST_CASE("The weight store counts breaches of its rate", "[store]") {
  WeightStoreOptions options;
  options.loads_per_second = 0.001;
  options.burst = 1;
  options.load_time = DurationMs(1);
  StandInHost host;
  const std::string store =
      host.Serve(std::make_shared<WeightStoreStandIn>(options));
  CHECK(host.Call(store, "POST", "/fetch").response.status == 200);
  CHECK(host.Call(store, "POST", "/fetch").response.status == 429);
  const Json counters = host.CallJson(store, "GET", "/counters");
  CHECK(counters.at("fetches") == 1);
  CHECK(counters.at("rate_breaches") == 1);
}

TEST_CASE("Fetches above the full-speed number share the speed", "[store]") {
  constexpr int kFetches = 4;
  WeightStoreOptions options;
  options.full_speed_in_flight = 1;
  options.load_time = DurationMs(50);
  StandInHost host;
  const std::string store =
      host.Serve(std::make_shared<WeightStoreStandIn>(options));
  const SteadyClock clock;
  const TimeMs begin = clock.Now();
  std::vector<std::future<HttpReply>> fetches(kFetches);
  for (auto& fetch : fetches) {
    fetch = std::async(std::launch::async,
                       [&] { return host.Call(store, "POST", "/fetch"); });
  }
  for (auto& fetch : fetches) CHECK(fetch.get().response.status == 200);
  // Together they take at least as long as one after the other.
  CHECK(clock.Now() - begin >= options.load_time * kFetches);
}

TEST_CASE("The plain service's ledger shows what ran", "[service]") {
  StandInHost host;
  const std::string service =
      host.Serve(std::make_shared<PlainServiceStandIn>(EndpointId("e1")));
  const auto charge = [&](const std::string& key) {
    return host.Call(service, "POST", "/charges", "{}",
                     HttpHeaders{{"Idempotency-Key", key}});
  };
  CHECK(charge("k1").response.status == 200);
  host.SetFaults(service, R"({"lose_answer":1})");
  CHECK(charge("k2").progress == HttpProgress::kNoAnswer);
  host.SetFaults(service, R"({"leaving":true})");
  const HttpReply refused = charge("k3");
  CHECK(refused.response.status == 503);
  CHECK(refused.response.headers.Find("Connection") == "close");
  CHECK(refused.response.headers.Find("Yuccamoor-Not-Run") == "true");
  const Json ledger = host.CallJson(service, "GET", "/ledger");
  REQUIRE(ledger.at("entries").size() == 2);
  CHECK(ledger.at("entries")[0].at("key") == "k1");
  CHECK(ledger.at("entries")[1].at("key") == "k2");
  CHECK(ledger.at("refused_while_leaving") == 1);
}

TEST_CASE("The VM list is read with its lag", "[vms]") {
  struct Case {
    std::string name;
    DurationMs lag;
    std::string faults;
    std::optional<std::size_t> vms;
  };
  const std::vector<Case> cases = {
      {"at once", DurationMs(0), "{}", 1},
      {"lagging", DurationMs(600'000), "{}", 0},
      {"down", DurationMs(0), R"({"down":true})", std::nullopt},
      {"lost answer", DurationMs(0), R"({"lose_answer":1})", std::nullopt},
  };
  for (const Case& c : cases) {
    INFO(c.name);
    StandInHost host;
    const std::string address =
        host.Serve(std::make_shared<VmListStandIn>(c.lag));
    const auto list = HttpVmList::Create(host.pool(), host.client(), address);
    host.Call(address, "POST", "/vms",
              R"({"vms":[{"id":"v","failure_domain":"d","leaving":true}]})");
    host.SetFaults(address, c.faults);
    const VmListReply reply = ReadList(*list);
    REQUIRE(reply.has_value() == c.vms.has_value());
    if (reply) CHECK(reply->size() == *c.vms);
  }
}

}  // namespace yuccamoor

/// \file
/// \brief Tests of what the operator, endpoints and engines write.

#include <catch2/catch.hpp>

#include "platform/config_codec.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/request/base64.h"

namespace yuccamoor::platform {
namespace {

constexpr char kEntry[] =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1",
        "slots":64,"state":"ready","cold-left-ms":0,"seq":4,"born":17,
        "models":[{"name":"m","version":1,"adapters":["a3@2","a4"]}]})";

constexpr char kConfig[] =
    R"({"version":7,"routes":[
        {"name":"r1","host":"h","prefix":"/p/","kind":"stream",
         "timeout-ms":15000,"slo-ms":800,"priority":0,"max-attempts":1,
         "resumable":false,"gap-aim-ms":250,
         "traffic-split":[{"service":"s","weight":90},
                          {"service":"t","weight":10}]},
        {"name":"r2","host":"h","prefix":"/q/","kind":"safe","service":"t",
         "timeout-ms":1000,"slo-ms":150,"priority":2,"max-attempts":2}],
        "services":[{"name":"s","engine":{"slots":64,"adapter-slots":29,
          "models":[{"name":"m","load-s":1.3,"adapters":3000}]}},
         {"name":"t"}],
        "limits":{"max-header-bytes":8000,"idle-timeout-ms":900}})";

fleet::EndpointEntry Entry(const std::string& text) {
  return DecodeEndpoint(EndpointId("i-1"), text).value();
}

// Returns the entry with one field set to another JSON value.
std::string EntryWith(const char* field, const std::string& value) {
  Json json = Json::parse(kEntry);
  json.erase(field);
  std::string text = json.dump();
  text.pop_back();
  return text + ",\"" + field + "\":" + value + "}";
}

}  // namespace

TEST_CASE("An endpoint's entry is read", "[platform][codec]") {
  const fleet::EndpointEntry entry = Entry(kEntry);
  CHECK(entry.service == ServiceId("s"));
  CHECK(entry.address == "10.0.0.9:80");
  CHECK(entry.slots == 64);
  CHECK(entry.start_unix_ms == 17);
  CHECK_FALSE(entry.draining);
  CHECK(entry.models == std::vector<ModelId>{ModelId("m")});
  CHECK(entry.adapters.at({ModelId("m"), "a3"}) == fleet::AdapterRevision(2));
  CHECK(entry.adapters.at({ModelId("m"), "a4"}) == fleet::AdapterRevision(0));
  CHECK(Entry(EntryWith("state", R"("draining")")).draining);
}

TEST_CASE("Tenants, their quotas and public routes are read",
          "[platform][codec]") {
  const auto config = DecodeConfig(
      R"({"version":7,"routes":[{"host":"h","prefix":"/p/","service":"s",
          "public":true},{"host":"h","prefix":"/q/","service":"s"}],
          "services":[{"name":"s"}],
          "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":1,
            "unit":"tokens","plain-tokens":200,"rate-per-s":429972,
            "burst":1000},{"name":"t2","api-keys":[]}]})");
  REQUIRE(config);
  CHECK(config.value().routes[0].is_public);
  CHECK_FALSE(config.value().routes[1].is_public);
  REQUIRE(config.value().tenants.size() == 2);
  const fleet::TenantSpec& tenant = config.value().tenants[0];
  CHECK(tenant.tenant == TenantId("t1"));
  CHECK(tenant.keys == std::vector<std::string>{"k1", "k2"});
  CHECK(tenant.priority == 1);
  CHECK(tenant.quota.unit == fleet::QuotaUnit::kTokens);
  CHECK(tenant.quota.rate_per_second == 429'972);
  CHECK(tenant.quota.burst == 1'000);
  CHECK(tenant.quota.plain_tokens == 200);
  CHECK_FALSE(config.value().tenants[1].quota.is_limited());
  CHECK_FALSE(config.value().tenants[1].priority);
}

TEST_CASE("An entry by another writer names no endpoint", "[platform][codec]") {
  const EndpointId id("i-1");
  CHECK_FALSE(DecodeEndpoint(id, ""));
  CHECK_FALSE(DecodeEndpoint(id, "\x01\xff"));
  CHECK_FALSE(DecodeEndpoint(id, "[]"));
  CHECK_FALSE(DecodeEndpoint(id, "{}"));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("state", R"("asleep")")));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("slots", R"("many")")));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("slots", "-1")));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("addr", "7")));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("born", "1.5")));
  CHECK_FALSE(DecodeEndpoint(
      id, EntryWith("models", R"([{"name":"m","adapters":["a1@x"]}])")));
}

// Nodes that read the list of endpoints ended again and again.
TEST_CASE("An entry that is nested without end names no endpoint",
          "[platform][codec][odd]") {
  const EndpointId id("i-1");
  constexpr std::size_t kDepth = 400'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  CHECK_FALSE(DecodeEndpoint(id, nested));
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("models", nested)));
  CHECK_FALSE(DecodeEndpoint(
      id, EntryWith("models", R"([{"name":"m","adapters":)" + nested + "}]")));
  CHECK_FALSE(DecodeAdapterRevision(nested));
  CHECK_FALSE(DecodeReport(R"({"seq":1,"coming":)" + nested + "}"));
}

TEST_CASE("An entry with a figure out of range names no endpoint",
          "[platform][codec][odd]") {
  const EndpointId id("i-1");
  const std::string digits(100'000, '9');
  for (const std::string& number :
       {std::string("1e999"), std::string("4294967296"),
        std::string("99999999999999999999"), digits}) {
    CAPTURE(number.substr(0, 30));
    CHECK_FALSE(DecodeEndpoint(id, EntryWith("slots", number)));
  }
  CHECK_FALSE(DecodeEndpoint(id, EntryWith("born", "1e999")));
  CHECK_FALSE(DecodeEndpoint(
      id, EntryWith("models",
                    R"([{"name":"m","adapters":["a1@)" + digits + R"("]}])")));
}

// Requests were sent to an address that no connection can be made to.
TEST_CASE("An entry with an address out of range names no endpoint",
          "[platform][codec][odd]") {
  const EndpointId id("i-1");
  for (const std::string address :
       {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:", "10.0.0.9",
        "300.0.0.9:80", "host:80", ":80", ""}) {
    CAPTURE(address);
    CHECK_FALSE(DecodeEndpoint(id, EntryWith("addr", '"' + address + '"')));
  }
  CHECK(DecodeEndpoint(id, EntryWith("addr", R"("10.0.0.9:65535")")));
}

// Its id would become part of requests' heads.
TEST_CASE("An entry under an id that no header can carry names no endpoint",
          "[platform][codec][odd]") {
  CHECK_FALSE(DecodeEndpoint(EndpointId("i\r\nHost: x"), kEntry));
  CHECK_FALSE(DecodeEndpoint(EndpointId(""), kEntry));
}

TEST_CASE("A configuration is read", "[platform][codec]") {
  const auto decoded = DecodeConfig(kConfig);
  REQUIRE(decoded);
  const fleet::FleetConfig& config = decoded.value();
  CHECK(config.version == Revision(7));
  REQUIRE(config.routes.size() == 2);
  CHECK(config.routes[0].kind == fleet::RequestKind::kStream);
  CHECK(config.routes[0].shares.size() == 2);
  CHECK(config.routes[0].first_event_timeout == DurationMs(3'200));
  CHECK(config.routes[1].kind == fleet::RequestKind::kSafe);
  CHECK(config.routes[1].shares[0].service == ServiceId("t"));
  CHECK(config.services.at(ServiceId("s")).engine->adapter_slots == 29);
  CHECK_FALSE(config.services.at(ServiceId("t")).engine);
  CHECK(config.limits.max_header_bytes == 8'000);
  CHECK(config.limits.idle_timeout == DurationMs(900));
}

TEST_CASE("A configuration that cannot be read is a finding",
          "[platform][codec]") {
  CHECK_FALSE(DecodeConfig("{"));
  CHECK_FALSE(DecodeConfig("{}"));
  CHECK_FALSE(DecodeConfig(R"({"version":-1,"routes":[],"services":[]})"));
}

// The log had the beginning of the text, up to where the parser stopped.
TEST_CASE("What cannot be read is not repeated in the findings",
          "[platform][codec]") {
  constexpr char kSecret[] = "key-of-a-tenant";
  const std::string cut = std::string(R"({"version":7,"tenants":[")") + kSecret;
  const auto config = DecodeConfig(cut);
  REQUIRE_FALSE(config);
  CHECK(config.error().ToString().find(kSecret) == std::string::npos);
  const auto entry = DecodeEndpoint(
      EndpointId("i-1"), EntryWith("state", '"' + std::string(kSecret) + '"'));
  REQUIRE_FALSE(entry);
  CHECK(entry.error().ToString().find(kSecret) == std::string::npos);
}

TEST_CASE("A kind that is not known is taken as one that runs once",
          "[platform][codec]") {
  Json json = Json::parse(kConfig);
  json["routes"][0]["kind"] = "new";
  CHECK(DecodeConfig(json.dump()).value().routes[0].kind ==
        fleet::RequestKind::kUnsafe);
}

TEST_CASE("An engine's report is read", "[platform][codec]") {
  const auto report = DecodeReport(
      R"({"stage":"mixed","models":[{"name":"m","version":1,
          "adapters":["a1@3"]}],"in-use":true,"seq":5,"born":3,
          "coming":["m/a2@1"]})");
  REQUIRE(report);
  CHECK(report.value().orders_accepted == 5);
  CHECK(report.value().order_in_progress);
  CHECK(report.value().adapters.size() == 1);
  CHECK(report.value().loading.at({ModelId("m"), "a2"}) ==
        fleet::AdapterRevision(1));
  CHECK_FALSE(DecodeReport("{}"));
}

TEST_CASE("An order carries its condition and fence", "[platform][codec]") {
  fleet::EngineOrder order;
  order.adapter = {ModelId("m"), "a3"};
  order.version = fleet::AdapterRevision(2);
  order.expected_accepted = 5;
  order.fence = Epoch(41);
  const Json json = Json::parse(EncodeOrder(order, NodeId("n1")));
  CHECK(json["op"] == "load");
  CHECK(json["adapter"] == "a3");
  CHECK(json["version"] == 2);
  CHECK(json["expected"] == 5);
  CHECK(json["fence"] == 41);
  CHECK(json["holder"] == "n1");
  order.load = false;
  order.adapter.name.clear();
  const Json unload = Json::parse(EncodeOrder(order, NodeId("n1")));
  CHECK(unload["op"] == "unload");
  CHECK_FALSE(unload.contains("adapter"));
}

TEST_CASE("Base64 comes back as it was", "[platform][codec]") {
  for (const std::string text : {"", "a", "ab", "abc", "node-1", "\x00\xff"}) {
    CHECK(DecodeBase64(EncodeBase64(text)) == text);
  }
  CHECK(EncodeBase64("node-1") == "bm9kZS0x");
  CHECK_FALSE(DecodeBase64("abc"));
  CHECK_FALSE(DecodeBase64("!!!!"));
}

}  // namespace yuccamoor::platform

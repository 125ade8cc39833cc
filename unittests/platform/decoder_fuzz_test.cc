/// \file
/// \brief Seeded, structure-aware fuzzing of what other parties write: entries,
/// configurations, reports, peers' messages and settings.

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "platform/config_codec.h"
#include "platform/settings.h"
#include "platform/store_page.h"
#include "yuccamoor/protocol/fleet/peer_messages.h"
#include "yuccamoor/protocol/json.h"

namespace yuccamoor::platform {
namespace {

constexpr std::uint64_t kSeed = 1;
constexpr int kRounds = 2'000;

constexpr char kEntry[] =
    R"({"service":"s","addr":"10.0.0.9:80","zone":"a","version":"v1",
        "slots":64,"state":"ready","cold-left-ms":0,"seq":4,"born":17,
        "models":[{"name":"m","version":1,"adapters":["a3@2","a4"]}]})";
constexpr char kReport[] =
    R"({"stage":"mixed","models":[{"name":"m","version":1,
        "adapters":["a1@3"]}],"in-use":true,"seq":5,"born":3,
        "coming":["m/a2@1"]})";
constexpr char kConfig[] =
    R"({"version":7,"routes":[{"name":"r1","host":"h","prefix":"/p/",
        "kind":"stream","timeout-ms":15000,"slo-ms":800,"priority":0,
        "max-attempts":1,"resumable":false,"gap-aim-ms":250,
        "traffic-split":[{"service":"s","weight":90}]}],
        "services":[{"name":"s","engine":{"slots":64,"adapter-slots":29,
          "models":[{"name":"m","load-s":1.3,"adapters":3000}]}}],
        "limits":{"max-header-bytes":8000,"idle-timeout-ms":900}})";
constexpr char kPage[] =
    R"({"items":[{"key":"servers/a","value":"e30=","rev":3,"lease":0},
        {"key":"yuccamoor/node/n1","value":"eA==","rev":4,"lease":1},
        {"key":"op/version/m.a1","rev":5,"removed":true}],
        "more-pages":true,"as-of":9})";
constexpr char kSettings[] =
    "node-name=front-1\nzone=fes-a\nlisten.front=10.1.0.38:8149\n"
    "listen.ready=10.1.0.38:8141\nport-range=7380,7395\nbootstrap=true\n"
    "bounds.grace-s=8\nbounds.drain-ms=2000\nbounds.config-apply-ms=3000\n"
    "bounds.retry-budget=0.2\nbounds.budget-window-s=10\n"
    "bounds.budget-slack=58\nbounds.lease-ttl-ms=3000\n"
    "platform.addr=10.200.1.7:8142\n";

// Changes valid texts in ways that decoders must bear.
class Mutator {
 public:
  /// Returns the document with some values replaced, removed or repeated.
  std::string Change(const std::string& valid) {
    Json json = Json::parse(valid);
    for (std::size_t i = 0, changes = 1 + Below(3); i < changes; ++i) {
      ChangeNode(json);
    }
    return json.dump();
  }

  /// Returns the text with bytes changed, inserted or cut off.
  std::string ChangeBytes(std::string text) {
    for (std::size_t i = 0, changes = 1 + Below(4); i < changes; ++i) {
      const std::size_t at = Below(text.size() + 1);
      const std::size_t kind = Below(3);
      if (kind == 0) {
        text.insert(at, 1, static_cast<char>(Below(256)));
      } else if (kind == 1 && at < text.size()) {
        text[at] = static_cast<char>(Below(256));
      } else if (kind == 2 && Below(4) == 0) {
        text.resize(at);
      }
    }
    return text;
  }

 private:
  std::size_t Below(std::size_t bound) { return m_random() % bound; }

  // Walks down to a random place, and changes what is there.
  void ChangeNode(Json& node) {
    if (!node.is_structured() || node.empty() || Below(4) == 0) {
      node = OddValue();
      return;
    }
    auto child = node.begin();
    std::advance(child, static_cast<std::ptrdiff_t>(Below(node.size())));
    const std::size_t kind = Below(8);
    if (kind == 0) {
      node.erase(child);
    } else if (kind == 1 && node.is_array()) {
      node.push_back(Json(*child));
    } else {
      ChangeNode(*child);
    }
  }

  Json OddValue() {
    static const std::vector<Json> values = {
        nullptr,
        true,
        0,
        -1,
        0.5,
        1e300,
        INT64_MIN,
        INT64_MAX,
        UINT64_MAX,
        "",
        "-1",
        "a@b@c",
        "m/a@18446744073709551616",
        "10.0.0.9:99999",
        std::string(10'000, 'x'),
        std::string("\0\n", 2),
        Json::array(),
        Json::object(),
        Json::array({Json::array({nullptr})})};
    return values[Below(values.size())];
  }

  std::mt19937_64 m_random{kSeed};
};

// Returns whether the text was taken.
using Decode = std::function<bool(const std::string&)>;

void Fuzz(const std::string& valid, const Decode& decode) {
  Mutator mutator;
  int taken = 0;
  for (int round = 0; round < kRounds; ++round) {
    const std::string changed =
        round % 2 == 0 ? mutator.Change(valid) : mutator.ChangeBytes(valid);
    CAPTURE(round, changed);
    REQUIRE_NOTHROW(taken += decode(changed) ? 1 : 0);
  }
  // Changes reach the decoders behind the parser.
  CHECK(taken > 0);
  CHECK(taken < kRounds);
}

std::vector<fleet::PeerMessage> PeerMessages() {
  const EndpointId engine("i-1");
  const fleet::AdapterRef adapter{ModelId("m"), "a1"};
  fleet::AskLoad ask;
  ask.node = NodeId("n1");
  ask.engine = engine;
  ask.adapter = adapter;
  fleet::NodeStatus status;
  status.node = NodeId("n1");
  status.used[engine][adapter] = 3;
  status.held[engine];
  fleet::EndpointWritten written;
  written.entry = DecodeEndpoint(engine, kEntry).value();
  fleet::TellChanges changes;
  changes.node = NodeId("n1");
  changes.changes = {written, fleet::EndpointRemoved{EndpointId("i-2")},
                     fleet::RecordWritten{"node/n1", "x", Revision(3)}};
  return {ask,
          status,
          changes,
          fleet::TellPrompt{engine, 7},
          fleet::TellRetired{},
          fleet::TellLoaded{},
          fleet::TellMissing{},
          fleet::TellUse{},
          fleet::TellCrashes{},
          fleet::AskAdmission{},
          fleet::TellAdmission{},
          fleet::AskPermit{},
          fleet::TellPermit{},
          fleet::TellLimit{{engine, 1}, 5.0},
          fleet::TellLeaving{{engine, 1}}};
}

}  // namespace

// A value that a decoder does not expect ended the process.
TEST_CASE("No entry, configuration or report ends the process",
          "[platform][fuzz]") {
  Fuzz(kEntry, [](const std::string& text) {
    return DecodeEndpoint(EndpointId("i-1"), text).has_value();
  });
  Fuzz(kConfig,
       [](const std::string& text) { return DecodeConfig(text).has_value(); });
  Fuzz(kReport,
       [](const std::string& text) { return DecodeReport(text).has_value(); });
}

TEST_CASE("No page of the store ends the process", "[platform][fuzz]") {
  Fuzz(kPage, [](const std::string& text) {
    return DecodeStorePage(text, StoreList::kItems, fleet::StoreEra(1),
                           [](std::string_view, const Findings&) {})
        .has_value();
  });
}

TEST_CASE("No peer's datagram ends the process", "[platform][fuzz]") {
  for (const fleet::PeerMessage& message : PeerMessages()) {
    const std::string valid = fleet::EncodePeerMessage(message);
    REQUIRE(fleet::DecodePeerMessage(valid));
    Fuzz(valid, [](const std::string& text) {
      // What was read is used: sent on, above all.
      const auto read = fleet::DecodePeerMessage(text);
      if (read) fleet::EncodePeerMessage(*read);
      return read.has_value();
    });
  }
}

TEST_CASE("No settings end the process", "[platform][fuzz]") {
  Mutator mutator;
  for (int round = 0; round < kRounds; ++round) {
    const std::string changed = mutator.ChangeBytes(kSettings);
    CAPTURE(round, changed);
    REQUIRE_NOTHROW(ParseSettings(changed, "boot.conf").has_value());
  }
}

}  // namespace yuccamoor::platform

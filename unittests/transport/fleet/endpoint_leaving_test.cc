/// \file
/// \brief Tests of what nodes tell each other of endpoints that leave.

#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "transport/fleet/context_parts.h"
#include "yuccamoor/transport/fleet/permit_client.h"

namespace yuccamoor::fleet {
namespace {

const EndpointProcess kProcess{EndpointId("e1"), 7};

NodeSettings SettingsOf(const std::string& node) {
  NodeSettings settings;
  settings.node = NodeId(node);
  return settings;
}

/// A node that knows the endpoint, and what it tells all others.
struct TellingNode {
  explicit TellingNode(const std::string& name)
      : parts(clock, SettingsOf(name)),
        client(
            parts.context, [](const NodeId&, const PeerMessage&) {},
            [this](const PeerMessage& message) { told.push_back(message); }) {
    EndpointEntry entry;
    entry.id = kProcess.endpoint;
    entry.start_unix_ms = kProcess.start_unix_ms;
    parts.view.Apply(EndpointWritten{entry}, clock.Now());
  }

  bool UsesEndpoint() const {
    return EndpointTable::Usable(
        *parts.view.endpoints().Find(kProcess.endpoint), clock.Now());
  }

  ManualClock clock;
  ContextParts parts;
  std::vector<PeerMessage> told;
  PermitClient client;
};

}  // namespace

// Other nodes went on sending to an endpoint that was cut off from the store,
// and lost the answers when it was gone.
TEST_CASE("A node that hears from an endpoint that it leaves tells the others",
          "[fleet][intake]") {
  TellingNode first("n1");
  TellingNode second("n2");
  IntakeStatement leaving;
  leaving.leaving = true;
  first.client.OnStatement(kProcess, leaving, first.clock.Now());
  first.client.OnStatement(kProcess, leaving, first.clock.Now());
  CHECK_FALSE(first.UsesEndpoint());
  REQUIRE(first.told.size() == 1);
  second.client.OnTellLeaving(std::get<TellLeaving>(first.told[0]));
  CHECK_FALSE(second.UsesEndpoint());
  // Whoever is told tells nobody.
  second.client.OnStatement(kProcess, leaving, second.clock.Now());
  CHECK(second.told.empty());
}

}  // namespace yuccamoor::fleet

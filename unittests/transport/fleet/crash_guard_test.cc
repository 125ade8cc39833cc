/// \file
/// \brief Tests of what nodes tell each other about what crashes endpoints.

#include "yuccamoor/transport/fleet/crash_guard.h"

#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "transport/fleet/context_parts.h"

namespace yuccamoor::fleet {
namespace {

NodeSettings Settings() {
  NodeSettings settings;
  settings.node = NodeId("n1");
  return settings;
}

/// A guard, and what it sends.
class GuardWorld {
 public:
  GuardWorld()
      : m_parts(m_clock, Settings()),
        m_guard(
            m_parts.context,
            [this](const NodeId& node, const PeerMessage& message) {
              m_sent.emplace_back(node, std::get<TellCrashes>(message));
            },
            [](const PeerMessage&) {}) {}

  /// Registers a node.
  void AddNode(const std::string& name) {
    m_parts.view.Apply(RecordWritten{FleetView::NodeKey(NodeId(name)),
                                     EncodeNodeRecord({}), Revision(1)},
                       m_clock.Now());
  }
  /// Has three engines in a row crash under the suspect.
  void CrashEngines(const CrashSuspect& suspect) {
    for (int i = 0; i < 3; ++i) {
      m_guard.OnBrokenOff({EndpointId("e" + std::to_string(i)), 1}, {suspect},
                          DurationMs(50));
      m_clock.Advance(DurationMs(1'000));
    }
  }

  CrashGuard& guard() { return m_guard; }
  /// Returns what was sent since the last call.
  std::vector<std::pair<NodeId, TellCrashes>> TakeSent() {
    return std::exchange(m_sent, {});
  }

 private:
  ManualClock m_clock;
  ContextParts m_parts;
  std::vector<std::pair<NodeId, TellCrashes>> m_sent;
  CrashGuard m_guard;
};

}  // namespace

// Nodes that had just started crashed engines until they were reminded.
TEST_CASE("A node that starts asks what is quarantined",
          "[fleet][quarantine]") {
  const CrashSuspect crashing{SuspectKind::kRequest, "dead"};
  GuardWorld started;
  started.guard().OnNodesChanged();
  CHECK(started.TakeSent().empty());
  started.AddNode("n1");
  started.AddNode("n2");
  started.guard().OnNodesChanged();
  const auto asked = started.TakeSent();
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].first == NodeId("n2"));
  CHECK(asked[0].second.asks);
  started.guard().OnNodesChanged();
  CHECK(started.TakeSent().empty());

  GuardWorld other;
  other.guard().OnTellCrashes(asked[0].second);
  CHECK(other.TakeSent().empty());
  other.CrashEngines(crashing);
  other.guard().OnTellCrashes(asked[0].second);
  const auto answer = other.TakeSent();
  REQUIRE(answer.size() == 1);
  CHECK(answer[0].first == NodeId("n1"));
  started.guard().OnTellCrashes(answer[0].second);
  CHECK(started.guard().quarantine().Find({crashing}, TimeMs(5'000)));
}

}  // namespace yuccamoor::fleet

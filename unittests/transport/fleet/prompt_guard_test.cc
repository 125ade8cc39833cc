/// \file
/// \brief Tests of what nodes tell each other about prompts that crash engines.

#include "yuccamoor/transport/fleet/prompt_guard.h"

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "platform/request_dialect.h"

namespace yuccamoor::fleet {
namespace {

/// A guard, and what it sends.
class GuardWorld {
 public:
  GuardWorld()
      : m_log(m_clock, STDERR_FILENO),
        m_registry(m_clock),
        m_metrics(m_registry),
        m_dialect(platform::CreateRequestDialect()),
        m_context{m_io,   m_clock, m_settings, *m_dialect,
                  m_view, m_log,   m_metrics},
        m_guard(
            m_context,
            [this](const NodeId& node, const PeerMessage& message) {
              m_sent.emplace_back(node, std::get<TellPromptParts>(message));
            },
            [](const PeerMessage&) {}) {
    m_settings.node = NodeId("n1");
  }

  /// Registers a node.
  void AddNode(const std::string& name) {
    m_view.Apply(RecordWritten{FleetView::NodeKey(NodeId(name)),
                               EncodeNodeRecord({}), Revision(1)},
                 m_clock.Now());
  }
  void Tick() { m_guard.OnTick(m_clock.Now()); }
  void CrashEngines(const PromptPartId& part) {
    for (int i = 0; i < 3; ++i) {
      m_guard.OnBrokenOff({EndpointId("e" + std::to_string(i)), 1}, {part});
      m_clock.Advance(DurationMs(1'000));
    }
  }

  PromptGuard& guard() { return m_guard; }
  /// Returns what was sent since the last call.
  std::vector<std::pair<NodeId, TellPromptParts>> TakeSent() {
    return std::exchange(m_sent, {});
  }

 private:
  boost::asio::io_context m_io;
  ManualClock m_clock;
  NodeSettings m_settings;
  LineLog m_log;
  MetricsRegistry m_registry;
  NodeMetrics m_metrics;
  std::unique_ptr<RequestDialect> m_dialect;
  FleetView m_view;
  NodeContext m_context;
  std::vector<std::pair<NodeId, TellPromptParts>> m_sent;
  PromptGuard m_guard;
};

}  // namespace

// Nodes that had just started crashed engines until they were reminded.
TEST_CASE("A node that starts asks which parts are quarantined",
          "[fleet][quarantine]") {
  const PromptPartId deadly("dead");
  GuardWorld started;
  started.Tick();
  CHECK(started.TakeSent().empty());
  started.AddNode("n1");
  started.AddNode("n2");
  started.Tick();
  const auto asked = started.TakeSent();
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].first == NodeId("n2"));
  CHECK(asked[0].second.asks);
  started.Tick();
  CHECK(started.TakeSent().empty());

  GuardWorld other;
  other.guard().OnTellPromptParts(asked[0].second);
  CHECK(other.TakeSent().empty());
  other.CrashEngines(deadly);
  other.guard().OnTellPromptParts(asked[0].second);
  const auto answer = other.TakeSent();
  REQUIRE(answer.size() == 1);
  CHECK(answer[0].first == NodeId("n1"));
  started.guard().OnTellPromptParts(answer[0].second);
  CHECK(started.guard().Quarantine({deadly}));
}

}  // namespace yuccamoor::fleet

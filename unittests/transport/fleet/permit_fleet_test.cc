/// \file
/// \brief Simulations of nodes that keep to endpoints' limits together: with
/// lost messages, restarts, and nodes that the store does not serve.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "transport/fleet/context_parts.h"
#include "yuccamoor/transport/fleet/permit_client.h"
#include "yuccamoor/transport/fleet/permit_server.h"

namespace yuccamoor::fleet {
namespace {

const EndpointId kEndpoint("e1");
constexpr DurationMs kStep{5};
constexpr DurationMs kLeaseTime{3'000};
constexpr DurationMs kFreshTime{1'500};
// The users' bound counts arrivals within this.
constexpr DurationMs kCountedSpan{4'000};

NodeSettings SettingsOf(const NodeId& node) {
  NodeSettings settings;
  settings.node = node;
  return settings;
}

/// What a simulation is about.
struct Scenario {
  std::size_t nodes = 9;
  double limit_per_second = 3;
  double requests_per_second = 60;
  bool restarts = false;
  bool store_refuses_nodes = false;
};

/// Nodes with one endpoint between them, on simulated time.
class PermitFleet {
 public:
  PermitFleet(const Scenario& scenario, std::uint64_t seed)
      : m_scenario(scenario), m_random(seed) {
    m_clock.Advance(DurationMs(100'000));
    for (std::size_t i = 0; i < scenario.nodes; ++i) {
      StartNode(NodeId("n" + std::to_string(i)));
    }
    for (const auto& [id, node] : m_nodes) m_registered.insert(id);
    for (auto& [id, node] : m_nodes) Register(node);
  }

  /// Lets clients send for a while. The endpoint names its limit throughout.
  void Run(DurationMs time) {
    const TimeMs end = m_clock.Now() + time;
    while (m_clock.Now() < end) {
      m_clock.Advance(kStep);
      if (m_scenario.restarts && Happens(0.001)) RestartOne();
      if (m_scenario.store_refuses_nodes && Happens(0.001)) RefuseSome();
      ServeStore();
      Deliver();
      const double chance = m_scenario.requests_per_second *
                            static_cast<double>(kStep.ms()) / 1'000;
      if (Happens(chance)) Request(PickNode());
      for (auto& [id, node] : m_nodes) {
        if (!node.parts) continue;
        node.client->OnTick(m_clock.Now());
        node.server->OnTick(m_clock.Now());
      }
    }
  }

  /// The most requests that reached the endpoint within the counted span.
  std::size_t MostArrivals() const {
    std::size_t most = 0;
    for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
      const auto last =
          std::lower_bound(first, m_arrivals.end(), *first + kCountedSpan);
      most = std::max(most, static_cast<std::size_t>(last - first));
    }
    return most;
  }
  std::size_t arrivals() const { return m_arrivals.size(); }

 private:
  struct SimulatedNode {
    std::unique_ptr<ContextParts> parts;
    std::unique_ptr<PermitClient> client;
    std::unique_ptr<PermitServer> server;
    std::vector<std::unique_ptr<PermitTicket>> tickets;
    // While it is down, when it starts again.
    TimeMs starts_at;
    // The store refuses the node until then.
    TimeMs refused_until;
    TimeMs store_answered;
  };
  struct Datagram {
    TimeMs arrives;
    NodeId to;
    PeerMessage message;
  };

  bool Happens(double chance) {
    return std::uniform_real_distribution<>(0, 1)(m_random) < chance;
  }
  std::int64_t Between(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
  }
  // The first nodes get most of the requests.
  NodeId PickNode() {
    const auto count = static_cast<std::int64_t>(m_scenario.nodes);
    return NodeId("n" + std::to_string(Between(0, Between(0, count - 1))));
  }

  void StartNode(const NodeId& id) {
    SimulatedNode& node = m_nodes[id];
    node.parts = std::make_unique<ContextParts>(m_clock, SettingsOf(id));
    EndpointEntry entry;
    entry.id = kEndpoint;
    entry.start_unix_ms = 1;
    node.parts->view.Apply(EndpointWritten{entry}, m_clock.Now());
    const auto send = [this](const NodeId& to, const PeerMessage& message) {
      Post(to, message);
    };
    node.client = std::make_unique<PermitClient>(
        node.parts->context, send, [this, id](const PeerMessage& message) {
          for (const auto& [other, unused] : m_nodes) {
            if (other != id) Post(other, message);
          }
        });
    node.server = std::make_unique<PermitServer>(
        node.parts->context,
        [this, id] {
          return m_clock.Now() - m_nodes.at(id).store_answered < kFreshTime;
        },
        send);
    node.store_answered = m_clock.Now();
  }

  void Post(const NodeId& to, const PeerMessage& message) {
    if (Happens(0.03)) return;
    m_datagrams.push_back(
        {m_clock.Now() + DurationMs(Between(2, 40)), to, message});
  }

  void Deliver() {
    std::vector<Datagram> due;
    const auto is_due = [this](const Datagram& datagram) {
      return datagram.arrives <= m_clock.Now();
    };
    std::copy_if(m_datagrams.begin(), m_datagrams.end(),
                 std::back_inserter(due), is_due);
    std::erase_if(m_datagrams, is_due);
    for (const Datagram& datagram : due) {
      SimulatedNode& node = m_nodes.at(datagram.to);
      if (!node.parts) continue;
      if (const auto* ask = std::get_if<AskPermit>(&datagram.message)) {
        node.server->OnAsk(*ask);
      } else if (const auto* told =
                     std::get_if<TellPermit>(&datagram.message)) {
        node.client->OnTellPermit(*told);
      } else {
        node.client->OnTellLimit(std::get<TellLimit>(datagram.message));
      }
    }
  }

  void Request(const NodeId& id) {
    SimulatedNode& node = m_nodes.at(id);
    if (!node.parts) return;
    const EndpointIntake& intake =
        node.parts->view.endpoints().Find(kEndpoint)->intake;
    if (!intake.limit()) {
      Send(node);
      return;
    }
    const DurationMs max_wait{Happens(0.5) ? 0 : 500};
    if (m_clock.Now() + max_wait < intake.opens_at()) return;
    node.tickets.push_back(node.client->Ask(
        kEndpoint, max_wait, [this, &node](const PermitDecision& decision) {
          if (decision.granted) Send(node, decision.wait);
        }));
  }

  // The endpoint counts the request and names its limit at once.
  void Send(SimulatedNode& node, DurationMs wait = DurationMs(0)) {
    const TimeMs sent = m_clock.Now() + wait;
    const bool knew = node.parts->view.endpoints()
                          .Find(kEndpoint)
                          ->intake.limit()
                          .has_value();
    if (knew) {
      m_arrivals.insert(
          std::upper_bound(m_arrivals.begin(), m_arrivals.end(), sent), sent);
    }
    IntakeStatement stated;
    stated.limited = true;
    stated.requests_per_second = m_scenario.limit_per_second;
    node.client->OnStatement({kEndpoint, 1}, stated, sent);
  }

  void RestartOne() {
    SimulatedNode& node = m_nodes.at(PickNode());
    if (!node.parts) return;
    node.tickets.clear();
    node.client.reset();
    node.server.reset();
    node.parts.reset();
    node.starts_at = m_clock.Now() + DurationMs(Between(100, 5'000));
  }

  // Fewer than half of the nodes: the shares of more than that, besides what
  // the issuer grants to the others, would exceed the bound.
  void RefuseSome() {
    const TimeMs now = m_clock.Now();
    if (now < m_refused_until) return;
    m_refused_until = now + DurationMs(Between(1'000, 10'000));
    for (std::size_t i = 0; i * 2 + 2 < m_nodes.size(); ++i) {
      m_nodes.at(PickNode()).refused_until = m_refused_until;
    }
  }

  // Nodes whose lease has run out are not registered any more. Those that the
  // store serves learn of it.
  void ServeStore() {
    const TimeMs now = m_clock.Now();
    for (auto& [id, node] : m_nodes) {
      // A node serves once it has read the store.
      const bool starts = now >= node.starts_at && now >= node.refused_until;
      if (!node.parts && starts) {
        StartNode(id);
        Register(node);
      }
      if (node.parts && now >= node.refused_until) node.store_answered = now;
      if (now - node.store_answered >= kLeaseTime) {
        m_registered.erase(id);
      } else if (node.store_answered == now) {
        m_registered.insert(id);
      }
    }
    if (now.ms() % 250 != 0) return;
    for (auto& [id, node] : m_nodes) {
      if (node.parts && node.store_answered == now) Register(node);
    }
  }

  void Register(SimulatedNode& node) {
    FleetView& view = node.parts->view;
    const std::set<NodeId> known = view.NodeIds();
    for (const NodeId& id : m_registered) {
      if (known.contains(id)) continue;
      view.Apply(RecordWritten{FleetView::NodeKey(id), EncodeNodeRecord({}),
                               Revision(1)},
                 m_clock.Now());
    }
    for (const NodeId& id : known) {
      if (m_registered.contains(id)) continue;
      view.Apply(RecordRemoved{FleetView::NodeKey(id)}, m_clock.Now());
    }
  }

  Scenario m_scenario;
  std::mt19937_64 m_random;
  ManualClock m_clock;
  std::map<NodeId, SimulatedNode> m_nodes;
  std::set<NodeId> m_registered;
  TimeMs m_refused_until;
  std::vector<Datagram> m_datagrams;
  std::vector<TimeMs> m_arrivals;
};

// The users' bound: one and a half times the limit, and five requests.
double Bound(const Scenario& scenario) {
  return 1.5 * scenario.limit_per_second *
             static_cast<double>(kCountedSpan.ms()) / 1'000 +
         5;
}

}  // namespace

// Every node sent as many requests as before to an endpoint with a limit.
TEST_CASE("All nodes together keep to the limit that an endpoint names",
          "[fleet][permits]") {
  Scenario scenario;
  const auto nodes = GENERATE(3, 9, 40);
  scenario.nodes = static_cast<std::size_t>(nodes);
  scenario.limit_per_second = GENERATE(0.0, 1.3, 6.9, 30.0);
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(nodes, scenario.limit_per_second, seed);
    PermitFleet fleet(scenario, seed);
    fleet.Run(DurationMs(20'000));
    CHECK(static_cast<double>(fleet.MostArrivals()) <= Bound(scenario));
    // The allowance is used.
    CHECK(static_cast<double>(fleet.arrivals()) >=
          0.7 * 20 * scenario.limit_per_second);
  }
}

// A node that takes over the permits must not grant what another one has
// granted just before, nor at the same time.
TEST_CASE("A limit is kept while nodes restart and the store refuses some",
          "[fleet][permits][soak]") {
  Scenario scenario;
  scenario.nodes = 9;
  scenario.limit_per_second = GENERATE(0.7, 2.5, 7.0);
  scenario.restarts = true;
  scenario.store_refuses_nodes = true;
  for (std::uint64_t seed = 1; seed <= 50; ++seed) {
    CAPTURE(scenario.limit_per_second, seed);
    PermitFleet fleet(scenario, seed);
    fleet.Run(DurationMs(40'000));
    CHECK(static_cast<double>(fleet.MostArrivals()) <= Bound(scenario));
  }
}

}  // namespace yuccamoor::fleet

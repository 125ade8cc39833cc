/// \file
/// \brief Tests of the engine, and the version of its adapter there, that a
/// request is admitted to, by the messages between a request's node and the
/// holder of an engine.

#include <catch2/catch.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/fleet/fleet_fakes.h"
#include "transport/fleet/context_parts.h"
#include "transport/fleet/fake_fleet_store.h"
#include "yuccamoor/coordination/fleet/endpoint_choice.h"
#include "yuccamoor/coordination/fleet/engine_control.h"
#include "yuccamoor/transport/fleet/admission_client.h"
#include "yuccamoor/transport/fleet/admission_server.h"
#include "yuccamoor/transport/fleet/dispatcher.h"
#include "yuccamoor/transport/fleet/engine_holder.h"
#include "yuccamoor/transport/fleet/lease_keeper.h"

namespace yuccamoor::fleet {
namespace {

const NodeId kNode("n1");
const EndpointId kEngine("e1");
const AdapterRef kAdapter = Adapter("a1");
constexpr StoreLease kLease(7);
// Requests are sent to a version for this long after its successor is known.
constexpr DurationMs kGrace{2'000};
constexpr DurationMs kStep{5};
constexpr DurationMs kTick{20};
// A request that is not sent by then has found no engine.
constexpr DurationMs kSearchTime{2'000};
constexpr std::uint32_t kPromptTokens = 1'000;

// The query of a request that a node with this view has.
EndpointQuery QueryOf(const FleetView& view, TimeMs now) {
  EndpointQuery query;
  query.service = kEngines;
  query.adapter = kAdapter;
  query.version = view.NewestRevision(kAdapter);
  query.least_version = view.LeastRevision(kAdapter, now);
  return query;
}

// An engine that holds version 1. It accepts no order within a test.
class BusyEngineControl final : public EngineControl {
 public:
  void Order(const EndpointEntry& /*engine*/, const EngineOrder& /*order*/,
             std::function<void(OrderOutcome)> done) override {
    m_orders.push_back(std::move(done));
  }
  void FetchReport(
      const EndpointEntry& engine,
      std::function<void(std::optional<EngineReport>)> done) override {
    EngineReport report;
    report.start_unix_ms = engine.start_unix_ms;
    report.models = engine.models;
    report.adapters[kAdapter] = AdapterRevision(1);
    done(report);
  }

 private:
  std::vector<std::function<void(OrderOutcome)>> m_orders;
};

NodeSettings SettingsOf() {
  NodeSettings settings;
  settings.node = kNode;
  settings.domain = FailureDomainId("a");
  settings.peer_address = {"10.0.0.1", 7'380};
  return settings;
}

/// A node with requests, and the engine that it holds. It asks itself by
/// messages, which take one step.
class AdmissionWorld {
 public:
  AdmissionWorld() {
    m_clock.Advance(DurationMs(100'000));
    m_parts = std::make_unique<ContextParts>(m_clock, SettingsOf());
    const auto post = [this](const NodeId& /*to*/, const PeerMessage& message) {
      m_messages.push_back(message);
    };
    NodeContext& context = m_parts->context;
    m_lease = std::make_unique<LeaseKeeper>(context, m_store, [] {});
    m_holder = std::make_unique<EngineHolder>(
        context, *m_lease, m_control,
        [post](const NodeId& node, const TellLoaded& told) {
          post(node, told);
        },
        [](const TellRetired&) {});
    m_dispatcher =
        std::make_unique<Dispatcher>(context, post, [](const PeerMessage&) {});
    m_server = std::make_unique<AdmissionServer>(context, *m_holder,
                                                 *m_dispatcher, post);
    m_client = std::make_unique<AdmissionClient>(context, *m_dispatcher, post);
    TakeEngine();
  }

  /// The node learns of a version.
  void Learn(std::uint64_t version) {
    m_parts->view.Apply(
        AdapterRevisionPublished{kAdapter, AdapterRevision(version)},
        m_clock.Now());
  }
  void Wait(DurationMs time) {
    for (DurationMs waited; waited < time; waited = waited + kStep) Step();
  }
  /// The engine prefills prompts for this long.
  void KeepPrefilling(DurationMs time) {
    m_parts->view.endpoints().Find(kEngine)->prefill_until =
        m_clock.Now() + time;
  }
  /// This node learns that the engine leaves while the next answer of its
  /// holder, which does not know of it, is under way.
  void LeaveBehindNextAnswer() { m_leaves_behind_answer = true; }
  /// Seeks an engine for a request, as its exchange does. Returns when it was
  /// sent, counted from now; nothing if it was not.
  std::optional<DurationMs> SendRequest() {
    const TimeMs start = m_clock.Now();
    bool sent = false;
    const auto follow = [this, &sent](const AdmissionStep& step) {
      sent = sent || step.send_to || (step.unanswered && CanSendUnasked());
    };
    const auto ticket = m_client->Open(Needs(start), follow);
    while (m_clock.Now() - start < kSearchTime) {
      if ((m_clock.Now() - start).ms() % kTick.ms() == 0) {
        follow(ticket->Poll(Needs(start)));
      }
      if (sent) return m_clock.Now() - start;
      Step();
      if (sent) return m_clock.Now() - start;
    }
    return std::nullopt;
  }

 private:
  void TakeEngine() {
    FleetView& view = m_parts->view;
    const TimeMs now = m_clock.Now();
    view.Apply(ConfigWritten{EngineConfig(1)}, now);
    EndpointEntry entry = EngineEntry(kEngine.str());
    entry.adapters[kAdapter] = AdapterRevision(1);
    view.Apply(EndpointWritten{entry}, now);
    const NodeSettings& settings = m_parts->settings;
    view.Apply(RecordWritten{FleetView::NodeKey(kNode),
                             EncodeNodeRecord({settings.peer_address, kLease,
                                               settings.domain}),
                             Revision(1)},
               now);
    view.Apply(
        RecordWritten{FleetView::HolderKey(kEngine), kNode.str(), Revision(2)},
        now);
    view.Apply(RecordWritten{FleetView::OrderingKey(kNode),
                             EncodeFences({Epoch(2)}), Revision(3)},
               now);
    m_lease->Begin();
    m_store.renewals.at(0)(StoreStatus::kOk);
    m_holder->OnViewChanged();
    m_holder->OnTick(now);
    REQUIRE(m_holder->ResidentVersion(kEngine, kAdapter) == AdapterRevision(1));
  }

  AdmissionNeeds Needs(TimeMs start) const {
    AdmissionNeeds needs;
    needs.query = QueryOf(m_parts->view, m_clock.Now());
    needs.prompt_tokens = kPromptTokens;
    needs.send_by = start + kSearchTime;
    return needs;
  }

  // Without an answer, the node sends by what it knows itself.
  bool CanSendUnasked() const {
    const TimeMs now = m_clock.Now();
    const EndpointTable& table = m_parts->view.endpoints();
    const EndpointChoice choice =
        ChooseEndpoint(table, QueryOf(m_parts->view, now), now);
    PromptOffer prompt;
    prompt.tokens = kPromptTokens;
    return choice.send_to &&
           AllowsPrompt(*table.Find(*choice.send_to), prompt, now);
  }

  void Step() {
    m_clock.Advance(kStep);
    for (const PeerMessage& message : std::exchange(m_messages, {})) {
      if (const auto* ask = std::get_if<AskAdmission>(&message)) {
        m_server->OnAsk(*ask);
        if (m_leaves_behind_answer) Leave();
      } else if (const auto* told = std::get_if<TellAdmission>(&message)) {
        m_client->OnTellAdmission(*told);
      }
    }
    if (m_clock.Now().ms() % kTick.ms() != 0) return;
    m_holder->OnTick(m_clock.Now());
    m_server->OnTick(m_clock.Now());
  }

  void Leave() {
    EndpointTable& table = m_parts->view.endpoints();
    table.MarkLeaving({kEngine, table.Find(kEngine)->entry.start_unix_ms},
                      m_clock.Now());
  }

  ManualClock m_clock;
  bool m_leaves_behind_answer = false;
  std::unique_ptr<ContextParts> m_parts;
  FakeFleetStore m_store;
  BusyEngineControl m_control;
  std::vector<PeerMessage> m_messages;
  std::unique_ptr<LeaseKeeper> m_lease;
  std::unique_ptr<EngineHolder> m_holder;
  std::unique_ptr<Dispatcher> m_dispatcher;
  std::unique_ptr<AdmissionServer> m_server;
  std::unique_ptr<AdmissionClient> m_client;
};

}  // namespace

// Without this, a new version takes an adapter from the callers of large fleets
// until some engine has loaded it.
TEST_CASE("A queued request is sent to an older version while that may serve",
          "[fleet][admission][versions]") {
  AdmissionWorld world;
  world.Learn(2);
  world.Wait(DurationMs(1'000));
  world.KeepPrefilling(DurationMs(900));
  const auto sent = world.SendRequest();
  REQUIRE(sent);
  // It waited at the holder before.
  CHECK(*sent > DurationMs(300));
  CHECK(*sent < kGrace - DurationMs(1'000));
}

// The holder checked the version when the request was queued only, and the
// request's node did not check it at all when it was admitted.
TEST_CASE("A queued request is not sent to a version whose time has run out",
          "[fleet][admission][versions]") {
  constexpr DurationMs kArrival{1'700};
  const DurationMs prefilling(GENERATE(range(300, 1'500, 10)));
  AdmissionWorld world;
  world.Learn(2);
  world.Wait(kArrival);
  world.KeepPrefilling(prefilling);
  const auto sent = world.SendRequest();
  INFO("prefilling " << prefilling << ", sent after "
                     << (sent ? *sent : DurationMs(-1)));
  CHECK((!sent || kArrival + *sent < kGrace));
}

// In a large fleet, nodes sent requests to an engine that had told them that it
// leaves, because its holder, which had not heard of it, admitted them.
TEST_CASE("A request is not sent to an engine that its node knows to leave",
          "[fleet][admission]") {
  AdmissionWorld world;
  REQUIRE(world.SendRequest());
  world.LeaveBehindNextAnswer();
  CHECK_FALSE(world.SendRequest());
}

// Version 3 opened version 1 again, which version 2 had ended.
TEST_CASE("A third version does not admit requests to the first again",
          "[fleet][admission][versions]") {
  AdmissionWorld world;
  world.Learn(2);
  world.Wait(DurationMs(6'000));
  world.Learn(3);
  world.Wait(DurationMs(500));
  CHECK_FALSE(world.SendRequest());
}

}  // namespace yuccamoor::fleet

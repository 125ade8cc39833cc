// The store is away, and leases run out meanwhile. A machine that is added to
// the deployment starts during that time. When the store is back, it and the
// nodes that held the model servers before may not order these within
// lease-ttl-ms of each other, nor may a lower fencing token follow a higher
// one.

#include <atomic>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

#include "../standins-3/deployment.h"

namespace {

using review::ClientRequest;
using review::Deployment;
using review::OrderArrival;
using review::Verdict;

constexpr int kPlays = 3;
constexpr std::size_t kNodes = 3;
constexpr std::size_t kEngines = 3;
constexpr std::size_t kClients = 16;
constexpr std::int64_t kPauseMs = 60;
constexpr std::int64_t kLeaseTtlMs = 3'000;
constexpr std::int64_t kSettleMs = 14'000;
constexpr std::int64_t kAwayMs = 4'200;
// From the store's going away.
constexpr std::int64_t kNodeAddedAt = 700;
constexpr std::int64_t kEntriesLapseAt = 3'700;
// Servers are listed again within two seconds of the store's return.
constexpr std::int64_t kListedAgainMs = 30;
constexpr std::int64_t kEndMs = 8'000;

class Trial {
 public:
  explicit Trial(const std::string& record_path) : m_world(record_path) {}

  Verdict Run();

 private:
  void RunClient(std::size_t number);
  void Play();
  // Counts the orders that the rule forbids.
  int CountForbidden();

  Deployment m_world;
  std::atomic<std::size_t> m_usable_nodes = kNodes;
  std::atomic<bool> m_ends = false;
  std::atomic<int> m_served = 0;
  std::atomic<int> m_adapters = 0;
};

// Asks for one adapter after the other, so that servers are ordered all along.
void Trial::RunClient(std::size_t number) {
  while (!m_ends) {
    ClientRequest request;
    request.attempt = review::NewAttempt();
    request.path = "/chat/1";
    request.body = "hello";
    request.deadline_ms = 3'000;
    request.fields = "Model: m0/a" + std::to_string(++m_adapters) +
                     "\r\nToken-Count: 100,20\r\nPrompt-Prefix: 5c1e07a2:50," +
                     request.attempt + ":50\r\n";
    const std::size_t node = number % (kNodes + 1);
    if (node < m_usable_nodes) {
      if (m_world.AskRecorded(request, node).status == 200) ++m_served;
    }
    review::SleepMs(kPauseMs);
  }
}

void Trial::Play() {
  const bool has_trouble = review::HasTrouble();
  std::thread store([&] {
    if (!has_trouble) return;
    m_world.record().Line("store: is away");
    m_world.store().BeAway(kAwayMs);
    m_world.record().Line("store: is back");
  });
  review::SleepMs(kNodeAddedAt);
  m_world.AddLateNode();
  review::SleepMs(kEntriesLapseAt - kNodeAddedAt);
  for (std::size_t i = 0; i < kEngines && has_trouble; ++i) {
    m_world.store().Remove("servers/" + m_world.engine(i).id());
  }
  store.join();
  review::SleepMs(kListedAgainMs);
  for (std::size_t i = 0; i < kEngines && has_trouble; ++i) {
    m_world.WriteEntry(m_world.EngineEntryOf(i));
  }
  while (!m_world.node(kNodes).IsReady()) review::SleepMs(5);
  m_world.record().Line("node " + Deployment::NodeName(kNodes) + " is ready");
  m_usable_nodes = kNodes + 1;
  review::SleepMs(kEndMs);
}

int Trial::CountForbidden() {
  int forbidden = 0;
  for (std::size_t i = 0; i < kEngines; ++i) {
    const std::vector<OrderArrival> orders = m_world.engine(i).Orders();
    for (std::size_t k = 1; k < orders.size(); ++k) {
      const OrderArrival& last = orders[k - 1];
      const OrderArrival& next = orders[k];
      const bool is_lower = next.fence < last.fence;
      const bool follows_other =
          next.holder != last.holder && next.at_ms - last.at_ms < kLeaseTtlMs;
      if (!is_lower && !follows_other) continue;
      if (is_lower) ++forbidden;
      m_world.record().Line(
          m_world.engine(i).id() + ": an order of " + next.holder + ", fence " +
          std::to_string(next.fence) + ", " +
          std::to_string(next.at_ms - last.at_ms) + " ms after one of " +
          last.holder + ", fence " + std::to_string(last.fence) +
          (is_lower ? ": LOWER" : ": within lease-ttl-ms"));
    }
  }
  return forbidden;
}

Verdict Trial::Run() {
  for (std::size_t i = 0; i < kEngines; ++i)
    m_world.AddEngine("assistant", "m0");
  review::RouteOptions route;
  route.prefix = "/chat/";
  route.kind = "stream";
  route.service = "assistant";
  route.model = "m0";
  route.timeout_ms = 3'000;
  route.slo_ms = 800;
  m_world.store().Put("op/config", review::ConfigText(7, {route}));
  for (std::size_t i = 0; i < kNodes; ++i) {
    if (!m_world.AddNode()) return Verdict::kNotRun;
  }
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (std::size_t i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i] { RunClient(i); });
  }
  review::SleepMs(kSettleMs);
  Play();
  m_ends = true;
  for (std::thread& client : clients) client.join();
  const int forbidden = CountForbidden();
  const std::string result =
      "served " + std::to_string(m_served) +
      ", orders with a lower fencing token after a higher one " +
      std::to_string(forbidden);
  m_world.record().Line(result);
  std::cout << result << "\n";
  if (m_served == 0) return Verdict::kNotRun;
  return forbidden == 0 ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return static_cast<int>(Verdict::kNotRun);
  // The nodes notice the store's return at different times in each play.
  for (int i = 0; i < kPlays; ++i) {
    const Verdict verdict = Trial(argv[1]).Run();
    if (verdict != Verdict::kHeld) return static_cast<int>(verdict);
  }
  return static_cast<int>(Verdict::kHeld);
}

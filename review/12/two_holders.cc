// A node holds a model server; the store turns the node away until another one
// holds the server and orders it. Then the store is away for a moment and comes
// back from a copy in which the first node holds the server, and the first node
// is killed and starts again meanwhile. The two may not order the server within
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

constexpr std::size_t kNodes = 3;
constexpr int kEngines = 3;
constexpr int kClients = 12;
constexpr std::int64_t kPauseMs = 60;
constexpr std::int64_t kLeaseTtlMs = 3'000;
constexpr std::int64_t kSettleMs = 14'000;
constexpr int kRounds = 3;
// Times from when the store turns the node away.
constexpr std::int64_t kCopyAt = 2'000;
constexpr std::int64_t kTakenBackAt = 9'000;
constexpr std::int64_t kLongestWaitMs = 14'000;
constexpr std::int64_t kOrdersOnMs = 500;
// The drill begins that soon after a renewal of the next holder's lease.
constexpr std::int64_t kJustRenewedMs = 30;
constexpr std::int64_t kAwayMs = 300;
// The process that was killed starts again just after the store is back.
constexpr std::int64_t kDownMs = 320;
constexpr std::int64_t kEndMs = 8'000;

class Trial {
 public:
  explicit Trial(const std::string& record_path) : m_world(record_path) {}

  Verdict Run();

 private:
  void RunClient(int number);
  bool Play();
  // Kills the holder before, with a drill just after the next one's renewal.
  void PlayDrill(const std::string& before, const std::string& door);
  static std::size_t IndexOf(const std::string& node);
  // Counts the orders that the rule forbids.
  int CountForbidden();
  std::string HolderOf(std::size_t engine) const;

  Deployment m_world;
  std::size_t m_first = 0;
  std::atomic<bool> m_ends = false;
  std::atomic<int> m_served = 0;
  std::atomic<int> m_adapters = 0;
};

std::string Trial::HolderOf(std::size_t engine) const {
  const auto orders = m_world.engine(engine).Orders();
  return orders.empty() ? "" : orders.back().holder;
}

std::size_t Trial::IndexOf(const std::string& node) {
  std::size_t index = 0;
  while (index + 1 < kNodes && Deployment::NodeName(index) != node) ++index;
  return index;
}

// Asks for one adapter after the other, so that servers are ordered all along.
void Trial::RunClient(int number) {
  for (int i = 0; !m_ends; ++i) {
    ClientRequest request;
    request.attempt = review::NewAttempt();
    request.path = "/chat/1";
    request.body = "hello";
    request.deadline_ms = 3'000;
    request.fields = "Model: m0/a" + std::to_string(++m_adapters) +
                     "\r\nToken-Count: 100,20\r\nPrompt-Prefix: 5c1e07a2:50," +
                     request.attempt + ":50\r\n";
    const auto node = static_cast<std::size_t>(number) % kNodes;
    if (m_world.AskRecorded(request, node).status == 200) ++m_served;
    review::SleepMs(kPauseMs);
  }
}

bool Trial::Play() {
  const std::string before = HolderOf(0);
  if (before.empty()) return false;
  m_first = IndexOf(before);
  m_world.record().Line("store: turns " + before + " away");
  const std::int64_t start = review::NowMs();
  m_world.store().Reject(m_world.door(m_first));
  review::SleepMs(kCopyAt);
  m_world.store().Copy();
  m_world.record().Line("store: makes a copy");
  bool is_back = false;
  while (HolderOf(0) == before || !is_back) {
    const std::int64_t elapsed = review::NowMs() - start;
    if (elapsed > kLongestWaitMs) return false;
    if (!is_back && elapsed >= kTakenBackAt) {
      m_world.record().Line("store: serves " + before + " again");
      m_world.store().Reject("");
      is_back = true;
    }
    review::SleepMs(1);
  }
  const std::string after = HolderOf(0);
  m_world.record().Line(after + " orders " + m_world.engine(0).id());
  review::SleepMs(kOrdersOnMs);
  PlayDrill(before, m_world.door(IndexOf(after)));
  review::SleepMs(kEndMs);
  return true;
}

void Trial::PlayDrill(const std::string& before, const std::string& door) {
  while (m_world.store().RenewedAgoMs(door) > kJustRenewedMs) {
    review::SleepMs(1);
  }
  std::thread node([&] {
    m_world.record().Line("node " + before + " is killed");
    m_world.node(m_first).Kill();
    review::SleepMs(kDownMs);
    m_world.node(m_first).Start();
    m_world.record().Line("node " + before + " starts again");
  });
  if (review::HasTrouble()) {
    m_world.record().Line("store: is away, comes back from its copy");
    m_world.store().Restore(kAwayMs);
    m_world.record().Line("store: is back");
  }
  node.join();
}

int Trial::CountForbidden() {
  int forbidden = 0;
  for (int i = 0; i < kEngines; ++i) {
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
  for (int i = 0; i < kEngines; ++i) m_world.AddEngine("assistant", "m0");
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
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([this, i] { RunClient(i); });
  }
  review::SleepMs(kSettleMs);
  bool played = true;
  for (int i = 0; i < kRounds && played; ++i) played = Play();
  m_ends = true;
  for (std::thread& client : clients) client.join();
  const int forbidden = CountForbidden();
  const std::string result =
      "served " + std::to_string(m_served) +
      ", orders with a lower fencing token after a higher one " +
      std::to_string(forbidden);
  m_world.record().Line(result);
  std::cout << result << (played ? "" : ", not played") << "\n";
  if (!played || m_served == 0) return Verdict::kNotRun;
  return forbidden == 0 ? Verdict::kHeld : Verdict::kBroken;
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 2) return static_cast<int>(Verdict::kNotRun);
  return static_cast<int>(Trial(argv[1]).Run());
}

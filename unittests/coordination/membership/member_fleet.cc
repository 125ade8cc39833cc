/// \file
/// \brief Implementation of the fleet of member replicas.

#include "coordination/membership/member_fleet.h"

#include <algorithm>
#include <utility>

namespace yuccamoor {
namespace {

constexpr DurationMs kDelay{1};
constexpr DurationMs kTick{1'000};
/// Heads of HTTP and JSON-RPC of one message.
constexpr std::size_t kFrameBytes = 300;
/// Names and marks around one entry.
constexpr std::size_t kEntryFrameBytes = 40;
constexpr std::size_t kValueBytes = 150;
/// The VM list, beside 680 members: 48 bytes a VM and its names.
constexpr std::size_t kVmBytes = 80;

std::size_t BytesOf(const MemberExchange& message) {
  std::size_t bytes = kFrameBytes;
  for (const MemberNews& news : message.news) {
    bytes += news.key.size() + news.value.size() + kEntryFrameBytes;
  }
  return bytes;
}

}  // namespace

MemberFleet::MemberFleet(std::size_t members, std::uint64_t seed)
    : m_random(seed) {
  std::vector<std::string> all;
  for (std::size_t i = 0; i < members; ++i) all.push_back(std::to_string(i));
  for (std::size_t i = 0; i < members; ++i) {
    m_version = m_version.Next();
    Node node;
    node.key = "yuccamoor/members/node-" + all[i];
    m_service[node.key] = {node.key, std::string(kValueBytes, 'v'), m_version};
    MemberReplicaOptions options;
    options.seed = seed * members + i;
    node.replica = std::make_unique<MemberReplica>(options, m_now);
    std::vector<std::string> peers = all;
    std::erase(peers, all[i]);
    node.replica->SetPeers(std::move(peers));
    node.replica->OnVmListBytes(members * kVmBytes);
    m_nodes.push_back(std::move(node));
    At(DurationMs(static_cast<std::int64_t>(i) % kTick.ms()),
       [this, i] { Tick(i); });
  }
}

void MemberFleet::At(DurationMs delay, std::function<void()> run) {
  m_events.emplace(m_now + delay, std::move(run));
}

void MemberFleet::RunFor(DurationMs duration) {
  const TimeMs end = m_now + duration;
  while (!m_events.empty() && m_events.begin()->first <= end) {
    m_now = m_events.begin()->first;
    const auto event = m_events.extract(m_events.begin());
    event.mapped()();
  }
  m_now = end;
}

void MemberFleet::Tick(std::size_t member) {
  Perform(member);
  At(kTick, [this, member] { Tick(member); });
}

void MemberFleet::Perform(std::size_t member) {
  Node& node = m_nodes[member];
  if (node.frozen) return;
  const MemberReplicaActions actions = node.replica->Tick(m_now);
  if (actions.read) Read(member);
  for (const MemberExchangeCall& call : actions.exchanges) {
    Exchange(member, call);
  }
}

void MemberFleet::Read(std::size_t member) {
  ++m_reads;
  KvReply reply = List();
  if (m_service_down) {
    reply.entries.clear();
    reply.status = KvStatus::kUnavailable;
  }
  std::size_t bytes = kFrameBytes;
  for (const KvEntry& entry : reply.entries) {
    bytes += entry.key.size() + entry.value.size() + kEntryFrameBytes;
  }
  m_nodes[member].bytes += bytes + m_nodes.size() * kVmBytes;
  At(kDelay, [this, member, reply, sent = m_now] {
    if (m_nodes[member].frozen) return;
    m_nodes[member].replica->OnList(reply, sent, m_now);
    Perform(member);
  });
}

void MemberFleet::Exchange(std::size_t member, const MemberExchangeCall& call) {
  const std::size_t to = std::stoul(call.to);
  m_nodes[member].bytes += BytesOf(call.message);
  const bool lost = Lost(member, to);
  const bool answer_lost = Lost(to, member);
  At(kDelay, [=, this] {
    std::optional<MemberExchange> answer;
    if (!lost) {
      m_nodes[to].bytes += BytesOf(call.message);
      answer = m_nodes[to].replica->OnExchange(call.message, m_now);
      m_nodes[to].bytes += BytesOf(*answer);
      Perform(to);
    }
    if (answer_lost) answer.reset();
    At(kDelay, [=, this] {
      if (m_nodes[member].frozen) return;
      if (answer) m_nodes[member].bytes += BytesOf(*answer);
      m_nodes[member].replica->OnExchangeReply(call.id, answer, m_now);
      Perform(member);
    });
  });
}

bool MemberFleet::Lost(std::size_t from, std::size_t to) {
  constexpr double kRange = 4'294'967'296.0;
  if (m_nodes[from].frozen || m_nodes[to].frozen) return true;
  return static_cast<double>(m_random()) / kRange < m_loss;
}

void MemberFleet::Replace(std::size_t member) {
  Node& node = m_nodes[member];
  const KvVersion removed = m_service.at(node.key).version;
  m_service.erase(node.key);
  node.replica->OnWritten({node.key, removed, {}}, m_now);
  node.key += "-next";
  m_version = m_version.Next();
  const KvEntry entry{node.key, std::string(kValueBytes, 'v'), m_version};
  m_service[node.key] = entry;
  node.replica->OnWritten({entry.key, entry.version, entry.value}, m_now);
  Perform(member);
}

void MemberFleet::SetFrozen(std::size_t member, bool frozen) {
  m_nodes[member].frozen = frozen;
}

KvReply MemberFleet::List() const {
  KvReply reply;
  reply.status = KvStatus::kOk;
  for (const auto& [key, entry] : m_service) reply.entries.push_back(entry);
  return reply;
}

bool MemberFleet::AgreeBut(std::size_t member) const {
  const KvReply truth = List();
  for (std::size_t i = 0; i < m_nodes.size(); ++i) {
    if (i == member) continue;
    const KvReply own = m_nodes[i].replica->Entries();
    const bool same = std::equal(
        own.entries.begin(), own.entries.end(), truth.entries.begin(),
        truth.entries.end(), [](const KvEntry& a, const KvEntry& b) {
          return a.key == b.key && a.version == b.version;
        });
    if (!same) return false;
  }
  return true;
}

void MemberFleet::ResetCounts() {
  for (Node& node : m_nodes) node.bytes = 0;
  m_reads = 0;
  m_counted_since = m_now;
}

double MemberFleet::Seconds() const {
  constexpr double kMsPerSecond = 1'000;
  return static_cast<double>((m_now - m_counted_since).ms()) / kMsPerSecond;
}

double MemberFleet::MeanBytesPerSecond() const {
  std::size_t bytes = 0;
  for (const Node& node : m_nodes) bytes += node.bytes;
  return static_cast<double>(bytes) / Seconds() /
         static_cast<double>(m_nodes.size());
}

double MemberFleet::MostBytesPerSecond() const {
  std::size_t most = 0;
  for (const Node& node : m_nodes) most = std::max(most, node.bytes);
  return static_cast<double>(most) / Seconds();
}

double MemberFleet::ReadsPerSecond() const {
  return static_cast<double>(m_reads) / Seconds();
}

}  // namespace yuccamoor

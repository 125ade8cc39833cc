/// \file
/// \brief Implementation of the member registry.

#include "yuccamoor/transport/daemon/member_registry.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/member_exchange_codec.h"
#include "yuccamoor/transport/json_rpc.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kCallTimeout(500);
constexpr DurationMs kPeerTimeout(1'000);
/// What the list of VMs spends on an entry besides its names, in bytes.
constexpr std::size_t kVmFrameBytes = 48;

/// Returns what the reply to a write says of the key, or nothing if it does
/// not tell.
std::optional<MemberNews> NewsOf(const KvRequest& request,
                                 const KvReply& reply) {
  if (reply.status == KvStatus::kConflict && !reply.entries.empty()) {
    const KvEntry& entry = reply.entries.front();
    return MemberNews{entry.key, entry.version, entry.value};
  }
  if (const auto* swap = std::get_if<KvCompareAndSwap>(&request)) {
    if (reply.status != KvStatus::kOk) return std::nullopt;
    return MemberNews{swap->key, reply.version, swap->value};
  }
  const auto* removal = std::get_if<KvDelete>(&request);
  if (removal == nullptr || reply.status != KvStatus::kOk) return std::nullopt;
  return MemberNews{removal->key, removal->expected, {}};
}

}  // namespace

std::shared_ptr<MemberRegistry> MemberRegistry::Create(
    Member self, MemberRegistryServices services,
    MemberReplicaOptions options) {
  return std::shared_ptr<MemberRegistry>(
      new MemberRegistry(std::move(self), services, options));
}

MemberRegistry::MemberRegistry(Member self, MemberRegistryServices services,
                               const MemberReplicaOptions& options)
    : m_services(services),
      m_table(std::move(self), m_codec),
      m_replica(options, services.clock.Now()) {}

template <class Input>
void MemberRegistry::Apply(Input input) {
  MemberReplicaActions actions;
  std::optional<KvRequest> registration;
  {
    const std::lock_guard lock(m_mutex);
    const TimeMs now = m_services.clock.Now();
    input(m_replica, now);
    const bool known = m_table.Known();
    UpdateTable(now);
    // Before others use the incarnation, it is raised above earlier lives'.
    if (!known) registration = m_table.Registration();
    actions = m_replica.Tick(now);
  }
  if (registration) Write(*registration);
  if (actions.read) Read();
  for (const MemberExchangeCall& call : actions.exchanges) Send(call);
}

void MemberRegistry::UpdateTable(TimeMs now) {
  if (!m_replica.known() || !m_replica.TakeChanged()) return;
  m_table.OnList(m_replica.Entries(), now);
  std::vector<std::string> peers;
  for (const MemberRole role : {MemberRole::kGateway, MemberRole::kScheduler}) {
    for (const Member& member : m_table.Live(role, now)) {
      if (member.id != m_table.self().id) peers.push_back(member.address);
    }
  }
  m_replica.SetPeers(std::move(peers));
}

void MemberRegistry::AddPeerMethods(JsonRpcDispatcher& dispatcher) {
  dispatcher.AddMethod(kMemberExchangeMethod,
                       [this](const std::string& parameters) {
                         const auto message = DecodeMemberExchange(parameters);
                         if (!message)
                           throw JsonRpcError("malformed exchange of members");
                         MemberExchange answer;
                         Apply([&](MemberReplica& replica, TimeMs now) {
                           answer = replica.OnExchange(*message, now);
                         });
                         return EncodeMemberExchange(answer);
                       });
}

void MemberRegistry::Refresh() {
  Apply([](MemberReplica&, TimeMs) {});
  std::vector<KvRequest> writes;
  bool read_vms = false;
  {
    const std::lock_guard lock(m_mutex);
    const TimeMs now = m_services.clock.Now();
    writes = m_table.Cleanups(now);
    auto registration = m_table.Registration();
    if (registration && !m_removed) writes.push_back(std::move(*registration));
    // Apart from the members: the list of VMs is there also while the service
    // is down. A read that fails is repeated at the next refresh.
    read_vms = m_services.vms != nullptr && now >= m_next_vm_read;
  }
  for (const KvRequest& write : writes) Write(write);
  if (read_vms) ReadVms();
}

void MemberRegistry::Read() {
  m_services.key_value.Call(
      KvList{kMemberPrefix}, kCallTimeout,
      [self = shared_from_this(),
       sent = m_services.clock.Now()](const KvReply& reply) {
        self->Apply([&](MemberReplica& replica, TimeMs now) {
          replica.OnList(reply, sent, now);
        });
      });
}

void MemberRegistry::ReadVms() {
  m_services.vms->Read(
      kCallTimeout, [self = shared_from_this(), sent = m_services.clock.Now()](
                        std::optional<std::vector<VmEntry>> vms) {
        self->OnVms(std::move(vms), sent);
      });
}

void MemberRegistry::OnVms(std::optional<std::vector<VmEntry>> vms,
                           TimeMs sent) {
  const std::lock_guard lock(m_mutex);
  if (!vms) return;
  std::size_t bytes = 0;
  for (const VmEntry& vm : *vms) {
    bytes +=
        vm.id.str().size() + vm.failure_domain.str().size() + kVmFrameBytes;
  }
  m_replica.OnVmListBytes(bytes);
  m_table.OnVmList(*vms, m_services.clock.Now());
  m_vms = std::move(*vms);
  m_vms_listed_at = std::max(m_vms_listed_at, sent);
  m_next_vm_read = sent + m_replica.ReadInterval();
}

void MemberRegistry::Send(const MemberExchangeCall& call) {
  m_services.peers.Call(call.to, kMemberExchangeMethod,
                        EncodeMemberExchange(call.message), kPeerTimeout,
                        [self = shared_from_this(),
                         id = call.id](const std::optional<std::string>& text) {
                          const auto reply =
                              text ? DecodeMemberExchange(*text) : std::nullopt;
                          self->Apply([&](MemberReplica& replica, TimeMs now) {
                            replica.OnExchangeReply(id, reply, now);
                          });
                        });
}

void MemberRegistry::Write(const KvRequest& request) {
  m_services.key_value.Call(
      request, kCallTimeout,
      [self = shared_from_this(), request](const KvReply& reply) {
        self->OnWriteReply(request, reply);
      });
}

void MemberRegistry::OnWriteReply(const KvRequest& request,
                                  const KvReply& reply) {
  Apply([&](MemberReplica& replica, TimeMs now) {
    if (const auto news = NewsOf(request, reply)) {
      replica.OnWritten(*news, now);
    } else {
      replica.ReadSoon(now);
    }
  });
}

void MemberRegistry::Remove() {
  std::optional<KvRequest> removal;
  {
    const std::lock_guard lock(m_mutex);
    removal = m_table.Removal();
    m_removed = true;
  }
  if (removal) Write(*removal);
}

std::vector<Member> MemberRegistry::Live(MemberRole role) const {
  const std::lock_guard lock(m_mutex);
  return m_table.Live(role, m_services.clock.Now());
}

bool MemberRegistry::Known() const {
  const std::lock_guard lock(m_mutex);
  return m_table.Known();
}

TimeMs MemberRegistry::ListedAt() const {
  const std::lock_guard lock(m_mutex);
  return m_replica.listed_at();
}

TimeMs MemberRegistry::VmsListedAt() const {
  const std::lock_guard lock(m_mutex);
  return m_services.vms == nullptr ? m_replica.listed_at() : m_vms_listed_at;
}

Incarnation MemberRegistry::incarnation() const {
  const std::lock_guard lock(m_mutex);
  return m_table.self().incarnation;
}

std::vector<VmEntry> MemberRegistry::Vms() const {
  const std::lock_guard lock(m_mutex);
  return m_vms;
}

}  // namespace yuccamoor

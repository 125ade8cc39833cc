/// \file
/// \brief Implementation of the gateway's path of a chat.

#include "chat_host.h"

#include <atomic>
#include <utility>

#include "yuccamoor/coordination/key_value_service.h"
#include "yuccamoor/coordination/peer_channel.h"
#include "yuccamoor/protocol/leadership_codec.h"
#include "yuccamoor/protocol/residency_codec.h"
#include "yuccamoor/transport/gateway/cell_session.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kSessionTickInterval(20);
constexpr DurationMs kSessionTtl(10'000);
constexpr std::uint32_t kCredit = 100'000;
const CellId kCell("cell");
const Epoch kEpoch(1);

/// Answers every sync with a grant of the one engine.
class GrantingLeader final : public PeerChannel {
 public:
  explicit GrantingLeader(const ChatHostEngine& engine) {
    m_grant.lease = LeaseNumber(1);
    m_grant.target = engine.target;
    m_grant.worker = engine.worker;
    m_grant.address = engine.address;
    m_grant.instance = engine.instance;
    m_grant.credit = kCredit;
  }

  void Call(const std::string& /*address*/, const std::string& /*method*/,
            const std::string& parameters, DurationMs /*timeout*/,
            Callback done) override {
    const ResidencySync sync = DecodeResidencySync(parameters).value();
    ResidencyUpdate update;
    update.cell = sync.cell;
    update.epoch = kEpoch;
    update.gateway = sync.gateway;
    update.incarnation = sync.incarnation;
    update.acknowledged = sync.sequence;
    update.session_ttl = kSessionTtl;
    update.grants.push_back(m_grant);
    done(EncodeResidencyUpdate(update));
  }

 private:
  ResidencyGrant m_grant;
};

/// Holds the leader's record.
class LeaderRecord final : public KeyValueService {
 public:
  void Call(KvRequest /*request*/, DurationMs /*timeout*/,
            Callback done) override {
    LeadershipRecord record;
    record.epoch = kEpoch;
    record.leader.address = "leader";
    KvReply reply;
    reply.status = KvStatus::kOk;
    reply.entries.emplace_back();
    reply.entries.back().value = JsonRecordCodec().Encode(record);
    done(reply);
  }
};

/// One cell with one adapter.
class OneCell final : public ChatDirectory {
 public:
  OneCell(const AdapterVersion& target, std::shared_ptr<CellSession> session)
      : m_session(std::move(session)) {
    auto adapter = std::make_shared<AdapterConfig>();
    adapter->id = target.adapter;
    adapter->cell = kCell;
    adapter->versions = {target.version};
    auto adapters = std::make_shared<ConfigSnapshot::AdapterMap>();
    adapters->emplace(target.adapter, std::move(adapter));
    auto config = std::make_shared<ConfigSnapshot>();
    config->adapters = std::move(adapters);
    m_config = std::move(config);
  }

  std::shared_ptr<const ConfigSnapshot> Config() const override {
    return m_config;
  }
  std::shared_ptr<CellSession> Session(const CellId& /*cell*/) const override {
    return m_session;
  }

 private:
  std::shared_ptr<const ConfigSnapshot> m_config;
  std::shared_ptr<CellSession> m_session;
};

}  // namespace

ChatHost::ChatHost(WorkerPool& pool, const ChatHostEngine& engine)
    : m_pool(pool),
      m_client(HttpClient::Create(pool)),
      m_leader(std::make_unique<GrantingLeader>(engine)),
      m_key_value(std::make_unique<LeaderRecord>()),
      m_telemetry(std::make_unique<Telemetry>(m_clock, nullptr)) {
  ResidencyClientOptions options;
  options.cell = kCell;
  options.gateway = NodeId("gateway");
  options.incarnation = Incarnation(1);
  auto session = CellSession::Create(CellSessionServices{pool, *m_leader,
                                                         *m_key_value, m_clock},
                                     std::move(options), "gateway")
                     .value();
  pool.Every(kSessionTickInterval, [session] { session->Tick(); });
  m_directory = std::make_unique<OneCell>(engine.target, std::move(session));
  m_chat = std::make_unique<ChatService>(
      ChatServices{pool, *m_client, m_clock, *m_directory, *m_telemetry},
      ChatOptions());
  auto ids = std::make_shared<std::atomic<std::uint64_t>>(0);
  m_server = HttpServer::Create(pool, {}, [this, ids](HttpExchange& exchange) {
               RequestId id("request-" + std::to_string(++*ids));
               return m_chat->Handle(exchange, std::move(id));
             }).value();
}

ChatHost::~ChatHost() { m_pool.Stop(); }

}  // namespace yuccamoor

#include "transport/fleet/front_world.h"

#include <unistd.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "platform/request_dialect.h"
#include "yuccamoor/state/fleet/boot_clock.h"

namespace yuccamoor::fleet {

namespace {

constexpr char kIp[] = "127.0.0.1";
constexpr std::size_t kReadLimit = 1'048'576;
constexpr std::chrono::milliseconds kStep{5};

RouteSpec Route(const std::string& prefix, RequestKind kind, bool resumable) {
  RouteSpec route;
  route.name = prefix;
  route.host = "h.example";
  route.prefix = prefix;
  route.kind = kind;
  route.resumable = resumable;
  route.timeout = DurationMs(1'500);
  route.latency_objective = DurationMs(400);
  route.first_event_timeout = DurationMs(1'600);
  route.max_attempts = 2;
  route.shares = {{ServiceId("s"), 1}};
  return route;
}

FleetConfig Config() {
  FleetConfig config;
  config.version = Revision(1);
  config.routes = {Route("/safe/", RequestKind::kSafe, false),
                   Route("/unsafe/", RequestKind::kUnsafe, false),
                   Route("/stream/", RequestKind::kStream, false),
                   Route("/resumable/", RequestKind::kStream, true)};
  config.services[ServiceId("s")] = {ServiceId("s"), std::nullopt};
  config.limits.max_header_bytes = 4'096;
  config.limits.max_body_bytes = 1'000;
  return config;
}

EndpointEntry Entry(const std::string& id, std::uint16_t port) {
  EndpointEntry entry;
  entry.id = EndpointId(id);
  entry.service = ServiceId("s");
  entry.address = ToString(SocketAddress{kIp, port});
  entry.domain = FailureDomainId(id == "e1" ? "a" : "b");
  entry.slots = 4;
  return entry;
}

NodeSettings Settings() {
  NodeSettings settings;
  settings.node = NodeId("n1");
  settings.domain = FailureDomainId("a");
  settings.client_address = {kIp, 0};
  return settings;
}

}  // namespace

ScriptedEndpoint::ScriptedEndpoint(boost::asio::io_context& io,
                                   std::vector<ScriptedAnswer> script)
    : m_script(std::move(script)) {
  m_listener = std::move(Listener::Create(io, {kIp, 0}, [this](auto socket) {
                 m_connections.push_back(
                     {std::make_unique<Socket>(std::move(socket)), "", ""});
                 Await(m_connections.back());
               })).value();
}

void ScriptedEndpoint::Await(Connection& connection) {
  connection.socket->AwaitReadable(
      [this, &connection] { OnReadable(connection); });
}

void ScriptedEndpoint::OnReadable(Connection& connection) {
  const IoResult result = connection.socket->Read(connection.in, kReadLimit);
  if (result.status == IoStatus::kEnd || result.status == IoStatus::kReset) {
    ++m_abandoned;
    connection.socket->Close();
    return;
  }
  if (connection.in.find("\r\n\r\n") != std::string::npos) {
    Answer(connection);
  }
  if (connection.socket->is_open()) Await(connection);
}

void ScriptedEndpoint::Answer(Connection& connection) {
  const std::size_t turn = std::min(m_requests.size(), m_script.size() - 1);
  m_requests.push_back(std::move(connection.in));
  connection.in.clear();
  const std::string& request = m_requests.back();
  if (m_crashes_on && request.find(*m_crashes_on) != std::string::npos) {
    ++m_crashes;
    connection.socket->Close(true);
    return;
  }
  if (!connection.repeated.empty()) {
    connection.socket->Write(connection.repeated);
    return;
  }
  const ScriptedAnswer& answer = m_script[turn];
  connection.socket->Write(answer.text);
  if (answer.act == EndpointAct::kSendAndRepeat) {
    connection.repeated = answer.text;
  }
  const bool keeps = answer.act == EndpointAct::kSend ||
                     answer.act == EndpointAct::kSendAndRepeat;
  if (keeps) return;
  connection.socket->Close(answer.act == EndpointAct::kSendAndReset);
}

struct FrontWorld::Parts {
  explicit Parts(boost::asio::io_context& io)
      : settings(Settings()),
        log(clock, STDERR_FILENO),
        registry(clock),
        metrics(registry),
        dialect(platform::CreateRequestDialect()),
        kept(io, clock),
        context{io, clock, settings, *dialect, view, log, metrics, kept},
        dispatcher(
            context, [](const NodeId&, const PeerMessage&) {},
            [](const PeerMessage&) {}),
        admissions(context, dispatcher,
                   [](const NodeId&, const PeerMessage&) {}),
        crashes(
            context, [](const NodeId&, const PeerMessage&) {},
            [](const PeerMessage&) {}),
        permits(
            context, [](const NodeId&, const PeerMessage&) {},
            [](const PeerMessage&) {}),
        quotas(settings.node, 1, QuotaTimes(), clock.Now(),
               [](const NodeId&, const QuotaMessage&) {}),
        retries(settings.node, {0.2, 40, DurationMs(1)}, ShareTimes::For({}),
                true),
        end_timer(io),
        script_timer(io) {
    view.Apply(ConfigWritten{Config()}, clock.Now());
    view.SetCurrentAt(TimeMs::Never());
    retries.OnTick({{settings.node, NodeRecord()}}, TimeMs::Never(),
                   clock.Now());
    front = std::move(FrontServer::Create(context, dispatcher, admissions,
                                          crashes, permits, quotas, retries))
                .value();
  }

  BootClock clock;
  NodeSettings settings;
  LineLog log;
  MetricsRegistry registry;
  NodeMetrics metrics;
  std::unique_ptr<RequestDialect> dialect;
  FleetView view;
  KeptBytes kept;
  NodeContext context;
  Dispatcher dispatcher;
  AdmissionClient admissions;
  CrashGuard crashes;
  PermitClient permits;
  TenantQuotas quotas;
  RetryBudgets retries;
  std::unique_ptr<FrontServer> front;
  boost::asio::steady_timer end_timer;
  boost::asio::steady_timer script_timer;
};

FrontWorld::FrontWorld(std::vector<ScriptedAnswer> first,
                       std::vector<ScriptedAnswer> second)
    : m_parts(std::make_unique<Parts>(m_io)) {
  m_first = std::make_unique<ScriptedEndpoint>(m_io, std::move(first));
  m_second = std::make_unique<ScriptedEndpoint>(m_io, std::move(second));
  const TimeMs now = m_parts->clock.Now();
  m_parts->view.Apply(EndpointWritten{Entry("e1", m_first->port())}, now);
  m_parts->view.Apply(EndpointWritten{Entry("e2", m_second->port())}, now);
}

FrontWorld::~FrontWorld() = default;

void FrontWorld::UseEngines() {
  const TimeMs now = m_parts->clock.Now();
  FleetConfig config = Config();
  config.version = Revision(2);
  EngineSpec engine;
  engine.models = {{ModelId("m"), DurationMs(1'000)}};
  config.services[ServiceId("s")].engine = engine;
  m_parts->view.Apply(ConfigWritten{config}, now);
  for (const auto& [id, port] :
       {std::pair{"e1", m_first->port()}, std::pair{"e2", m_second->port()}}) {
    EndpointEntry entry = Entry(id, port);
    entry.models = {ModelId("m")};
    m_parts->view.Apply(EndpointWritten{entry}, now);
  }
}

void FrontWorld::HoldVersions(AdapterRevision first, AdapterRevision second) {
  const AdapterRef adapter{ModelId("m"), "a1"};
  const TimeMs now = m_parts->clock.Now();
  for (const auto& [id, version] :
       {std::pair{"e1", first}, std::pair{"e2", second}}) {
    AdapterSet held;
    if (version.value() > 0) held[adapter] = version;
    m_parts->view.endpoints().SetAdapters(EndpointId(id), held, now);
  }
}

void FrontWorld::PublishVersion(AdapterRevision version, DurationMs age) {
  const TimeMs now = m_parts->clock.Now();
  m_parts->view.Apply(AdapterRevisionPublished{{ModelId("m"), "a1"}, version},
                      now - age);
}

void FrontWorld::After(DurationMs time, std::function<void()> callback) {
  m_parts->script_timer.expires_after(std::chrono::milliseconds(time.ms()));
  m_parts->script_timer.async_wait(
      [callback = std::move(callback)](boost::system::error_code error) {
        if (!error) callback();
      });
}

void FrontWorld::SetLimits(const RequestLimits& limits) {
  FleetConfig config = Config();
  config.version = m_parts->view.routes()->config().version.Next();
  config.limits = limits;
  m_parts->view.Apply(ConfigWritten{config}, m_parts->clock.Now());
}

void FrontWorld::SetTenants(std::vector<TenantSpec> tenants) {
  FleetConfig config = Config();
  config.version = m_parts->view.routes()->config().version.Next();
  config.tenants = std::move(tenants);
  for (RouteSpec& route : config.routes) {
    route.is_public = route.prefix == "/safe/";
  }
  m_parts->view.Apply(ConfigWritten{config}, m_parts->clock.Now());
}

void FrontWorld::LoseStore() { m_parts->view.SetCurrentAt(TimeMs()); }

void FrontWorld::AddTroubled(std::uint16_t port) {
  const TimeMs now = m_parts->clock.Now();
  FleetConfig config = Config();
  config.version = m_parts->view.routes()->config().version.Next();
  for (const auto& [prefix, service] :
       {std::pair{"/troubled/", "t"}, std::pair{"/sound/", "s"}}) {
    RouteSpec route = Route(prefix, RequestKind::kUnsafe, false);
    route.timeout = DurationMs(600'000);
    route.shares = {{ServiceId(service), 1}};
    config.routes.push_back(route);
  }
  config.services[ServiceId("t")] = {ServiceId("t"), std::nullopt};
  m_parts->view.Apply(ConfigWritten{config}, now);
  EndpointEntry entry = Entry("e3", port);
  entry.service = ServiceId("t");
  m_parts->view.Apply(EndpointWritten{entry}, now);
}

std::uint16_t FrontWorld::front_port() const { return m_parts->front->port(); }

void FrontWorld::RestartFirst() {
  Endpoint* first = m_parts->view.endpoints().Find(EndpointId("e1"));
  ++first->entry.start_unix_ms;
}

void FrontWorld::RestartBoth() {
  RestartFirst();
  Endpoint* second = m_parts->view.endpoints().Find(EndpointId("e2"));
  ++second->entry.start_unix_ms;
}

void FrontWorld::PauseBoth(DurationMs time) {
  for (const char* id : {"e1", "e2"}) {
    Endpoint* endpoint = m_parts->view.endpoints().Find(EndpointId(id));
    endpoint->intake.OnNoPermit(m_parts->clock.Now() + time);
  }
}

void FrontWorld::FillSecond() {
  Endpoint* second = m_parts->view.endpoints().Find(EndpointId("e2"));
  second->peers_in_flight = second->entry.slots;
}

bool FrontWorld::IsQuiet() const { return m_parts->front->IsQuiet(); }

std::size_t FrontWorld::requests_under_way() const {
  return m_parts->front->in_flight();
}

void FrontWorld::Run(DurationMs time) {
  const TimeMs end = m_parts->clock.Now() + time;
  while (m_parts->clock.Now() < end) {
    m_io.restart();
    m_io.run_for(kStep);
    m_parts->permits.OnTick(m_parts->clock.Now());
    m_parts->front->OnTick(m_parts->clock.Now());
  }
}

std::string FrontWorld::Exchange(const std::string& text,
                                 const std::string& until, DurationMs time) {
  Socket client(m_io);
  bool connected = false;
  client.Connect({kIp, m_parts->front->port()},
                 [&](bool ok) { connected = ok; });
  std::string in;
  bool sent = false;
  const TimeMs end = m_parts->clock.Now() + time;
  while (m_parts->clock.Now() < end) {
    Run(DurationMs(5));
    if (!connected) continue;
    if (!sent) client.Write(text);
    sent = true;
    const IoResult result = client.Read(in, kReadLimit);
    if (result.status == IoStatus::kEnd) return in + "<end>";
    if (result.status == IoStatus::kReset) return in + "<reset>";
    if (!until.empty() && in.find(until) != std::string::npos) return in;
  }
  return in + "<time over>";
}

std::string FrontWorld::ExchangeTwice(const std::string& first,
                                      const std::function<void()>& between,
                                      const std::string& second,
                                      const std::string& until) {
  Socket client(m_io);
  client.Connect({kIp, m_parts->front->port()},
                 [&](bool) { client.Write(first); });
  std::string in;
  const auto read_until = [&] {
    const TimeMs end = m_parts->clock.Now() + DurationMs(2'000);
    while (m_parts->clock.Now() < end && in.find(until) == std::string::npos) {
      Run(DurationMs(5));
      const IoResult result = client.Read(in, kReadLimit);
      if (result.status == IoStatus::kEnd) return in + "<end>";
      if (result.status == IoStatus::kReset) return in + "<reset>";
    }
    return in;
  };
  read_until();
  in.clear();
  between();
  client.Write(second);
  return read_until();
}

void FrontWorld::BeginShutdown(DurationMs time_left) {
  const TimeMs now = m_parts->clock.Now();
  m_parts->front->BeginShutdown(now, now + time_left);
}

void FrontWorld::EndRequestsAfter(DurationMs time) {
  m_parts->end_timer.expires_after(std::chrono::milliseconds(time.ms()));
  m_parts->end_timer.async_wait([this](boost::system::error_code error) {
    if (!error) m_parts->front->EndRequests();
  });
}

void FrontWorld::SendAndLeave(const std::string& text, DurationMs stay) {
  Socket client(m_io);
  client.Connect({kIp, m_parts->front->port()},
                 [&](bool) { client.Write(text); });
  Run(stay);
  client.Close();
}

void FrontWorld::SendAndLeaveAtOnce(const std::string& text) {
  Socket client(m_io);
  client.Connect({kIp, m_parts->front->port()}, [&](bool) {
    client.Write(text);
    client.Close();
  });
  Run(DurationMs(200));
}

std::string RequestText(const std::string& path, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: 9c41\r\n"
         "Deadline-Ms: 1500\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string AnswerText(int status, const std::string& body,
                       const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace yuccamoor::fleet

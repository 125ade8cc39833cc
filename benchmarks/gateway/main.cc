/// \file
/// \brief Measures what the gateway costs a streamed chat, against a bare relay
/// before the same engine stand-in. Both have one thread.

#include <time.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "chat_host.h"
#include "load.h"
#include "relay.h"
#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/engine_codec.h"
#include "yuccamoor/protocol/platform/generation.h"
#include "yuccamoor/standins/engine_stand_in.h"

namespace yuccamoor {
namespace {

constexpr std::size_t kEngineThreads = 3;
constexpr std::size_t kLoadThreads = 2;
const AdapterVersion kTarget{AdapterId("a"), VersionId("v1")};
const WorkerId kWorker("w");

/// The command line.
struct Options {
  std::uint32_t tokens = 64;
  std::size_t callers = 256;
  std::size_t few_callers = 4;
  std::int64_t seconds = 5;
  int rounds = 3;
  bool json = false;
};

/// One measured run.
struct Row {
  std::string name;
  std::size_t callers = 0;
  LoadResult load;
  double cpu_us_per_event = 0;
};

/// The CPU time that the pool's only thread has used.
double CpuSeconds(WorkerPool& pool) {
  std::promise<double> promise;
  pool.Spawn([&promise]() -> Awaitable<void> {
    timespec spent{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    promise.set_value(static_cast<double>(spent.tv_sec) +
                      static_cast<double>(spent.tv_nsec) / 1e9);
    co_return;
  });
  return promise.get_future().get();
}

/// An engine stand-in that holds the target.
class EngineHost {
 public:
  EngineHost()
      : m_pool(kEngineThreads),
        m_client(HttpClient::Create(m_pool)),
        m_engine(m_pool, *m_client, EngineFor(), ""),
        m_server(HttpServer::Create(m_pool, {}, [this](HttpExchange& exchange) {
                   return m_engine.Handle(exchange);
                 }).value()) {
    m_pool.Start();
  }
  ~EngineHost() { m_pool.Stop(); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(m_server->port());
  }

  /// Loads the target and returns the engine's life.
  InstanceId Load() {
    EngineOrder order;
    order.cell = CellId("cell");
    order.epoch = Epoch(1);
    order.number = OrderNumber(1);
    order.worker = kWorker;
    order.target = kTarget;
    std::promise<InstanceId> promise;
    m_pool.Spawn([&]() -> Awaitable<void> {
      HttpRequest request;
      request.method = "POST";
      request.target = "/orders";
      request.body = EncodeEngineOrder(order);
      const HttpCallOptions options;
      const HttpReply reply =
          co_await m_client->Call(address(), request, options);
      promise.set_value(DecodeOrderResult(reply.response.body)->instance);
    });
    return promise.get_future().get();
  }

 private:
  static EngineOptions EngineFor() {
    EngineOptions options;
    options.worker = kWorker;
    options.batch = 100'000;
    options.token_time = DurationMs(1);
    return options;
  }

  WorkerPool m_pool;
  std::unique_ptr<HttpClient> m_client;
  EngineStandIn m_engine;
  std::unique_ptr<HttpServer> m_server;
};

HttpRequest Post(const std::string& target, std::string body) {
  HttpRequest request;
  request.method = "POST";
  request.target = target;
  request.body = std::move(body);
  return request;
}

HttpRequest ChatCall(std::uint32_t tokens) {
  const Json body{
      {"model", "a@v1"},
      {"stream", true},
      {"max_tokens", tokens},
      {"messages", Json::array({{{"role", "user"}, {"content", "text"}}})}};
  return Post("/v1/chat/completions", body.dump());
}

HttpRequest EngineCall(const std::string& id, std::uint32_t tokens) {
  GenerateRequest generate;
  generate.request_id = RequestId(id);
  generate.target = kTarget;
  generate.prompt = "user: text";
  generate.max_tokens = tokens;
  return Post("/v1/generate", EncodeGenerateRequest(generate));
}

/// The relay and the gateway, one after the other.
class Bench {
 public:
  explicit Bench(const Options& options)
      : m_options(options), m_relay_pool(1), m_gateway_pool(1) {
    const InstanceId instance = m_engine.Load();
    m_relay_port = StartRelay(m_relay_pool.Context(0), m_engine.address());
    m_host = std::make_unique<ChatHost>(
        m_gateway_pool,
        ChatHostEngine{kTarget, kWorker, instance, m_engine.address()});
    m_relay_pool.Start();
    m_gateway_pool.Start();
  }

  Row Relay(std::size_t callers) {
    const std::uint64_t run = ++m_runs;
    return Measure("relay", m_relay_pool, m_relay_port, callers,
                   [this, run](std::uint64_t number) {
                     return EngineCall(
                         std::to_string(run) + "-" + std::to_string(number),
                         m_options.tokens);
                   });
  }

  Row Gateway(std::size_t callers) {
    return Measure(
        "gateway", m_gateway_pool, m_host->port(), callers,
        [this](std::uint64_t) { return ChatCall(m_options.tokens); });
  }

 private:
  Row Measure(const std::string& name, WorkerPool& pool, std::uint16_t port,
              std::size_t callers,
              std::function<HttpRequest(std::uint64_t)> request) const {
    LoadPlan plan;
    plan.address = "127.0.0.1:" + std::to_string(port);
    plan.request = std::move(request);
    plan.callers = callers;
    plan.duration = DurationMs(m_options.seconds * 1'000);
    const double before = CpuSeconds(pool);
    Row row{name, callers, RunLoad(plan, kLoadThreads), 0};
    const double spent = CpuSeconds(pool) - before;
    const double events = std::max(1.0, static_cast<double>(row.load.events));
    row.cpu_us_per_event = spent * 1e6 / events;
    return row;
  }

  Options m_options;
  EngineHost m_engine;
  WorkerPool m_relay_pool;
  WorkerPool m_gateway_pool;
  std::uint16_t m_relay_port = 0;
  std::unique_ptr<ChatHost> m_host;
  std::uint64_t m_runs = 0;
};

void PrintTable(const std::vector<Row>& rows) {
  std::printf("%-8s %8s %9s %9s %10s %12s %12s %12s\n", "path", "callers",
              "answers", "failures", "events/s", "first p50 ms", "first p99 ms",
              "cpu us/event");
  for (const Row& row : rows) {
    std::printf("%-8s %8zu %9llu %9llu %10.0f %12.3f %12.3f %12.2f\n",
                row.name.c_str(), row.callers,
                static_cast<unsigned long long>(row.load.answers),
                static_cast<unsigned long long>(row.load.failures),
                row.load.events_per_second, row.load.first_event_p50_ms,
                row.load.first_event_p99_ms, row.cpu_us_per_event);
  }
}

void PrintJson(const std::vector<Row>& rows) {
  Json list = Json::array();
  for (const Row& row : rows) {
    list.push_back({{"path", row.name},
                    {"callers", row.callers},
                    {"answers", row.load.answers},
                    {"failures", row.load.failures},
                    {"events_per_second", row.load.events_per_second},
                    {"first_event_p50_ms", row.load.first_event_p50_ms},
                    {"first_event_p99_ms", row.load.first_event_p99_ms},
                    {"cpu_us_per_event", row.cpu_us_per_event}});
  }
  std::printf("%s\n", list.dump(1).c_str());
}

int Run(const Options& options) {
  Bench bench(options);
  std::vector<Row> rows;
  for (int round = 0; round < options.rounds; ++round) {
    for (const std::size_t callers : {options.few_callers, options.callers}) {
      rows.push_back(bench.Relay(callers));
      rows.push_back(bench.Gateway(callers));
    }
  }
  if (options.json) {
    PrintJson(rows);
  } else {
    PrintTable(rows);
  }
  return 0;
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  CLI::App app("Cost of the gateway against a bare relay", "gateway_benchmark");
  Options options;
  app.add_option("--tokens", options.tokens, "Tokens of an answer");
  app.add_option("--callers", options.callers, "Callers at full load");
  app.add_option("--few-callers", options.few_callers, "Callers at low load");
  app.add_option("--seconds", options.seconds, "Time of each run");
  app.add_option("--rounds", options.rounds, "How often each run is made");
  app.add_flag("--json", options.json, "Write JSON instead of a table");
  CLI11_PARSE(app, argc, argv);
  return Run(options);
}

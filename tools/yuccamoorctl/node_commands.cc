/// \file
/// \brief Implementation of the commands that ask daemons.

#include "node_commands.h"

#include <cstddef>
#include <future>
#include <memory>
#include <utility>

#include "yuccamoor/transport/http_client.h"
#include "yuccamoor/transport/worker_pool.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kTimeout{5'000};
constexpr int kFirstErrorStatus = 400;

Json ErrorOf(const std::string& error) { return Json{{"error", error}}; }

/// Returns what the daemon said, or an object with an "error".
Json AnswerOf(const HttpReply& reply) {
  if (reply.progress != HttpProgress::kAnswered) {
    return ErrorOf("not reached: " + reply.error);
  }
  const auto json = ParseJson(reply.response.body, "answer");
  if (json.has_error()) {
    return ErrorOf("HTTP status " + std::to_string(reply.response.status));
  }
  if (reply.response.status < kFirstErrorStatus) return json.value();
  Json answer = ErrorOf("HTTP status " + std::to_string(reply.response.status));
  if (json.value().is_object()) answer.update(json.value());
  return answer;
}

std::future<HttpReply> StartCall(WorkerPool& pool, HttpClient& client,
                                 const std::string& address,
                                 HttpRequest request) {
  auto promise = std::make_shared<std::promise<HttpReply>>();
  pool.Spawn([&client, address, request = std::move(request),
              promise]() -> Awaitable<void> {
    HttpCallOptions options;
    options.timeout = kTimeout;
    promise->set_value(co_await client.Call(address, request, options));
  });
  return promise->get_future();
}

}  // namespace

CommandResult AskNodes(const std::vector<std::string>& addresses,
                       const std::string& method, const std::string& target) {
  WorkerPool pool(1);
  const auto client = HttpClient::Create(pool);
  pool.Start();
  std::vector<std::future<HttpReply>> replies;
  for (const std::string& address : addresses) {
    HttpRequest request;
    request.method = method;
    request.target = target;
    replies.push_back(StartCall(pool, *client, address, std::move(request)));
  }
  CommandResult result;
  result.json = Json::array();
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    Json answer = AnswerOf(replies[i].get());
    if (!answer.is_object()) answer = Json{{"answer", std::move(answer)}};
    if (answer.contains("error")) result.exit_code = kExitUnreachable;
    answer["node"] = addresses[i];
    result.json.push_back(std::move(answer));
  }
  pool.Stop();
  return result;
}

}  // namespace yuccamoor

/// \file
/// \brief Implementation of the caller of streamed answers.

#include "process/stream_caller.h"

#include <condition_variable>
#include <mutex>
#include <utility>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/sse.h"

namespace yuccamoor {
namespace {

constexpr DurationMs kTimeout(60'000);

void TakeEvent(const SseEvent& event, StreamPart& part) {
  if (event.data == "[DONE]") part.whole = true;
  if (event.id.empty()) return;
  part.last_id = event.id;
  const Json json = Json::parse(event.data);
  part.text +=
      json.at("choices").at(0).at("delta").at("content").get<std::string>();
  ++part.tokens;
}

}  // namespace

struct StreamCaller::Progress {
  std::mutex mutex;
  std::condition_variable changed;
  std::size_t tokens = 0;
  bool ended = false;

  void Set(std::size_t new_tokens, bool new_ended) {
    const std::lock_guard lock(mutex);
    tokens = new_tokens;
    ended = new_ended;
    changed.notify_all();
  }
};

StreamCaller::StreamCaller() : m_pool(1), m_client(HttpClient::Create(m_pool)) {
  m_pool.Start();
}

StreamCaller::~StreamCaller() { m_pool.Stop(); }

std::future<StreamPart> StreamCaller::Start(const std::string& address,
                                            const std::string& model,
                                            const std::string& text,
                                            std::uint32_t tokens,
                                            const std::string& last_id,
                                            std::size_t leave_after) {
  const Json body{
      {"model", model},
      {"stream", true},
      {"max_tokens", tokens},
      {"messages", Json::array({{{"role", "user"}, {"content", text}}})}};
  HttpRequest request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.body = body.dump();
  if (!last_id.empty()) request.headers.Add("Last-Event-ID", last_id);
  m_progress = std::make_shared<Progress>();
  auto promise = std::make_shared<std::promise<StreamPart>>();
  m_pool.Spawn([&client = *m_client, progress = m_progress, promise, address,
                request, leave_after]() -> Awaitable<void> {
    HttpCallOptions options;
    options.timeout = kTimeout;
    options.fresh_connection = true;
    StreamPart part;
    {
      const auto stream = co_await client.Open(address, request, options);
      part.sent = stream->progress() != HttpProgress::kNotSent;
      part.status = stream->head().status;
      SseParser parser;
      while (auto piece = co_await stream->Read(kTimeout)) {
        if (part.status != 200) part.error += *piece;
        for (const SseEvent& event : parser.Feed(*piece)) {
          TakeEvent(event, part);
        }
        progress->Set(part.tokens, false);
        if (leave_after > 0 && part.tokens >= leave_after) break;
      }
      part.whole = part.whole && stream->whole();
    }
    progress->Set(part.tokens, true);
    promise->set_value(std::move(part));
  });
  return promise->get_future();
}

void StreamCaller::AwaitTokens(std::size_t tokens) const {
  std::unique_lock lock(m_progress->mutex);
  m_progress->changed.wait(
      lock, [&] { return m_progress->tokens >= tokens || m_progress->ended; });
}

}  // namespace yuccamoor

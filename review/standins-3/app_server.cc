#include "app_server.h"

#include <utility>

#include "trial.h"

namespace review {

namespace {

constexpr std::int64_t kIdleMs = 60'000;
constexpr std::size_t kBodyBytes = 800;

}  // namespace

std::string SoundBody(const std::string& attempt) {
  std::string body = "answer to " + attempt + " ";
  body.resize(kBodyBytes, '.');
  return body;
}

AppServer::AppServer(std::string id, const std::string& ip, std::uint16_t port,
                     Record& record, Odd odd)
    : m_id(std::move(id)),
      m_record(record),
      m_odd(std::move(odd)),
      m_server(ip, port,
               [this](Connection& connection) { Serve(connection); }) {}

void AppServer::NoteArrival(const Message& request) {
  const std::string attempt = request.Find("Attempt-Id");
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_arrivals.push_back({NowMs(), attempt});
  }
  m_record.Line("server " + m_id + ": " + attempt + " arrives");
}

void AppServer::NoteRun(const Message& request) {
  const std::string attempt = request.Find("Attempt-Id");
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    ++m_runs[attempt];
  }
  m_record.Line("server " + m_id + ": " + attempt + " has run");
}

std::size_t AppServer::Runs(const std::string& attempt) const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  const auto it = m_runs.find(attempt);
  return it == m_runs.end() ? 0 : it->second;
}

std::vector<Arrival> AppServer::Arrivals() const {
  const std::lock_guard<std::mutex> lock(m_mutex);
  return m_arrivals;
}

void AppServer::SetMoreFields(const std::string& fields) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_more_fields = fields;
}

std::string AppServer::Stamp(const Message& request) const {
  return "Response-Stamp: " + m_id + "." + request.Find("Attempt-Id") + "\r\n";
}

void AppServer::Serve(Connection& connection) {
  Message request;
  while (connection.ReadRequest(request, kIdleMs) == ReadEnd::kWhole) {
    if (!Answer(connection, request)) return;
  }
}

bool AppServer::Answer(Connection& connection, const Message& request) {
  if (request.Has("Expect-Instance") &&
      request.Find("Expect-Instance") != m_id) {
    return connection.Write(AnswerHead(
        421, request, "Not-Run: 1\r\nInstance-Id: " + m_id + "\r\n", 0));
  }
  NoteArrival(request);
  if (m_odd && m_odd(connection, request)) return true;
  SleepMs(m_work_ms);
  NoteRun(request);
  const std::string body = SoundBody(request.Find("Attempt-Id"));
  std::string fields = Stamp(request);
  {
    const std::lock_guard<std::mutex> lock(m_mutex);
    fields += m_more_fields;
  }
  return connection.Write(AnswerHead(200, request, fields, body.size()) + body);
}

}  // namespace review

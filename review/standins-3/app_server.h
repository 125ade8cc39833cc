/// \file
/// \brief A server of a plain service, sound unless a trial says otherwise.

#ifndef REVIEW_STANDINS_3_APP_SERVER_H_
#define REVIEW_STANDINS_3_APP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "http.h"
#include "record.h"

namespace review {

struct Arrival {
  /// By the steady clock.
  std::int64_t at_ms = 0;
  std::string attempt;
};

/// Runs each request for some milliseconds and signs its answer.
class AppServer {
 public:
  /// Answers the request in the server's place. Returns false to leave it to
  /// the server.
  using Odd = std::function<bool(Connection&, const Message&)>;

  AppServer(std::string id, const std::string& ip, std::uint16_t port,
            Record& record, Odd odd = nullptr);

  const std::string& id() const { return m_id; }
  std::string address() const { return m_server.address(); }
  std::uint16_t port() const { return m_server.port(); }

  /// Notes that the request has reached the server.
  void NoteArrival(const Message& request);
  /// Notes that the server has run it.
  void NoteRun(const Message& request);
  /// How often the attempt was run here.
  std::size_t Runs(const std::string& attempt) const;
  std::vector<Arrival> Arrivals() const;
  void SetWorkMs(std::int64_t ms) { m_work_ms = ms; }
  /// Adds a field to all answers.
  void SetMoreFields(const std::string& fields);
  std::string Stamp(const Message& request) const;
  void Stop() { m_server.Stop(); }

 private:
  void Serve(Connection& connection);
  bool Answer(Connection& connection, const Message& request);

  std::string m_id;
  Record& m_record;
  Odd m_odd;
  std::atomic<std::int64_t> m_work_ms = 30;
  mutable std::mutex m_mutex;
  std::string m_more_fields;
  std::map<std::string, std::size_t> m_runs;
  std::vector<Arrival> m_arrivals;
  Server m_server;
};

/// The body that a sound server answers an attempt with.
std::string SoundBody(const std::string& attempt);

}  // namespace review

#endif  // REVIEW_STANDINS_3_APP_SERVER_H_

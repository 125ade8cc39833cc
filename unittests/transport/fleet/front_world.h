/// \file
/// \brief A node's clients' side on loopback with scripted endpoints, for tests
/// of what clients and endpoints see on their sockets.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_WORLD_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_WORLD_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "yuccamoor/transport/fleet/front_server.h"

namespace yuccamoor::fleet {

/// What a scripted endpoint does with a request that it has read.
enum class EndpointAct : std::uint8_t {
  /// Sends the text and keeps the connection.
  kSend,
  /// Sends the text and closes.
  kSendAndClose,
  /// Sends the text and resets.
  kSendAndReset,
  /// Sends the text, and once more where the response to the next request on
  /// the connection belongs.
  kSendAndRepeat,
};

/// One answer of a script; the last one serves all further requests.
struct ScriptedAnswer {
  EndpointAct act = EndpointAct::kSend;
  std::string text;
};

/// An endpoint that reads requests and answers by its script.
class ScriptedEndpoint {
 public:
  ScriptedEndpoint(boost::asio::io_context& io,
                   std::vector<ScriptedAnswer> script);

  std::uint16_t port() const { return m_listener->port(); }

  /// Has the endpoint break off each request that contains the text.
  void CrashOn(std::string text) { m_crashes_on = std::move(text); }
  /// Requests that it has broken off so.
  std::uint32_t crashes() const { return m_crashes; }

  /// The heads of the requests that were read.
  const std::vector<std::string>& requests() const { return m_requests; }
  /// Connections that the peer has closed while nothing was answered.
  std::uint32_t abandoned() const { return m_abandoned; }

 private:
  struct Connection {
    std::unique_ptr<Socket> socket;
    std::string in;
    // What the next request on the connection is answered with, if not empty.
    std::string repeated;
  };

  void Await(Connection& connection);
  void OnReadable(Connection& connection);
  void Answer(Connection& connection);

  std::vector<ScriptedAnswer> m_script;
  std::vector<std::string> m_requests;
  std::uint32_t m_abandoned = 0;
  std::optional<std::string> m_crashes_on;
  std::uint32_t m_crashes = 0;
  std::list<Connection> m_connections;
  std::unique_ptr<Listener> m_listener;
};

/// A front server with two endpoints and three routes: /safe/, /unsafe/ and
/// /stream/ go to the service "s", /resumable/ too.
class FrontWorld {
 public:
  FrontWorld(std::vector<ScriptedAnswer> first,
             std::vector<ScriptedAnswer> second);
  ~FrontWorld();

  /// Sends the text on a new connection, and runs until it is closed, \p until
  /// has come or the time is over. Returns what came.
  std::string Exchange(const std::string& text, const std::string& until,
                       DurationMs time = DurationMs(2'000));
  /// Sends both texts on one connection, the second one after \p between.
  /// Returns what came after that, up to \p until.
  std::string ExchangeTwice(const std::string& first,
                            const std::function<void()>& between,
                            const std::string& second,
                            const std::string& until);
  /// Has new limits on requests come into force.
  void SetLimits(const RequestLimits& limits);
  /// Has the clients of these tenants only be served, but at /safe/, which is
  /// public.
  void SetTenants(std::vector<TenantSpec> tenants);
  /// From now on the node may have missed a configuration.
  void LoseStore();
  /// Sends the text, and leaves after a while.
  void SendAndLeave(const std::string& text, DurationMs stay);
  /// Sends the text and leaves before it can have been read.
  void SendAndLeaveAtOnce(const std::string& text);
  /// Begins the shutdown, which ends after \p time_left: streams are taken no
  /// more, other requests are if they end by then.
  void BeginShutdown(DurationMs time_left = DurationMs(60'000));
  /// Has the requests that are under way after a while ended, as at the end of
  /// the shutdown.
  void EndRequestsAfter(DurationMs time);
  /// Makes both endpoints engines of the base model "m".
  void UseEngines();
  /// Has the engines hold versions of the adapter "a1" of the model "m"; zero
  /// for an engine that does not hold it.
  void HoldVersions(AdapterRevision first, AdapterRevision second);
  /// The node learns of a version of the adapter "a1", which was published
  /// \p age before.
  void PublishVersion(AdapterRevision version, DurationMs age = {});
  /// Calls back once, after a while of the event loop.
  void After(DurationMs time, std::function<void()> callback);
  /// Has the first endpoint look like another process under the same id.
  void RestartFirst();
  /// The same of both.
  void RestartBoth();
  /// Has both endpoints take no request for a while.
  void PauseBoth(DurationMs time);
  /// Adds an endpoint with a service of its own, to which /troubled/ goes, and
  /// /sound/ to the others. What is sent there may run once only and is kept
  /// long.
  void AddTroubled(std::uint16_t port);
  /// Has the second endpoint look full.
  void FillSecond();
  /// Whether the node may end without taking an answer from a client.
  bool IsQuiet() const;
  std::size_t requests_under_way() const;
  /// Runs the event loop for a while.
  void Run(DurationMs time);

  boost::asio::io_context& io() { return m_io; }
  std::uint16_t front_port() const;
  ScriptedEndpoint& first() { return *m_first; }
  ScriptedEndpoint& second() { return *m_second; }
  std::size_t requests_run() const {
    return m_first->requests().size() + m_second->requests().size();
  }

 private:
  struct Parts;

  boost::asio::io_context m_io;
  std::unique_ptr<Parts> m_parts;
  std::unique_ptr<ScriptedEndpoint> m_first;
  std::unique_ptr<ScriptedEndpoint> m_second;
};

/// Returns a request with the path, the id 9c41 and a body of two bytes.
std::string RequestText(const std::string& path,
                        const std::string& body = "{}");
/// Returns a whole answer to it.
std::string AnswerText(int status, const std::string& body,
                       const std::string& fields = "");

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_WORLD_H_

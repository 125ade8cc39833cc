#include "transport/fleet/endless_endpoint.h"

#include <algorithm>
#include <utility>

namespace yuccamoor::fleet {

namespace {
constexpr std::size_t kBlock = 65'536;
constexpr std::size_t kReadLimit = 65'536;
}  // namespace

EndlessEndpoint::EndlessEndpoint(boost::asio::io_context& io,
                                 EndlessAnswer answer)
    : m_answer(std::move(answer)) {
  while (!m_answer.repeated.empty() && m_block.size() < kBlock) {
    m_block += m_answer.repeated;
  }
  m_listener =
      std::move(Listener::Create(io, {"127.0.0.1", 0}, [this](auto accepted) {
        Connection& connection = m_connections.emplace_back();
        connection.socket = std::make_unique<Socket>(std::move(accepted));
        AwaitEnd(connection);
      })).value();
}

void EndlessEndpoint::AwaitEnd(Connection& connection) {
  connection.socket->AwaitReadable(
      [this, &connection] { OnReadable(connection); });
}

void EndlessEndpoint::OnReadable(Connection& connection) {
  const IoResult result = connection.socket->Read(connection.in, kReadLimit);
  if (result.status == IoStatus::kEnd || result.status == IoStatus::kReset) {
    End(connection);
    return;
  }
  AwaitEnd(connection);
  const bool whole = connection.in.find("\r\n\r\n") != std::string::npos;
  if (!whole || connection.has_request) return;
  connection.has_request = true;
  connection.out = m_answer.beginning;
  ++m_requests;
  if (m_requests == m_answer.begins_at) Begin();
  if (m_requests > m_answer.begins_at) Send(connection);
}

void EndlessEndpoint::Begin() {
  for (Connection& connection : m_connections) {
    if (connection.has_request && connection.socket->is_open()) {
      Send(connection);
    }
  }
}

// Sends a block at most, so that the connections take turns.
void EndlessEndpoint::Send(Connection& connection) {
  if (connection.sent >= m_answer.silent_after) {
    Settle(connection);
    return;
  }
  if (connection.out.empty()) connection.out = m_block;
  const IoResult result = connection.socket->Write(connection.out);
  connection.out.erase(0, result.bytes);
  connection.sent += result.bytes;
  m_open_bytes += result.bytes;
  m_peak_bytes = std::max(m_peak_bytes, m_open_bytes);
  if (result.status == IoStatus::kReset) {
    End(connection);
    return;
  }
  connection.socket->AwaitWritable([this, &connection] { Send(connection); });
}

void EndlessEndpoint::Settle(Connection& connection) {
  if (!connection.settled) ++m_settled;
  connection.settled = true;
}

void EndlessEndpoint::End(Connection& connection) {
  m_open_bytes -= connection.sent;
  connection.sent = 0;
  Settle(connection);
  connection.socket->Close();
}

}  // namespace yuccamoor::fleet

/// \file
/// \brief Texts and answers for tests of what clients and endpoints see.

#ifndef YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_TEXTS_H_
#define YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_TEXTS_H_

#include <cstddef>
#include <string>
#include <utility>

#include "transport/fleet/front_world.h"

namespace yuccamoor::fleet {

inline const std::string kStreamHead =
    "HTTP/1.1 200 OK\r\nAttempt-Id: 9c41\r\nResponse-Stamp: s1\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string Chunk(const std::string& data) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string size;
  for (std::size_t n = data.size(); n > 0; n /= 16) {
    size.insert(size.begin(), kDigits[n % 16]);
  }
  return size + "\r\n" + data + "\r\n";
}

inline std::string Event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

inline ScriptedAnswer Send(std::string text) {
  return {EndpointAct::kSend, std::move(text)};
}
inline ScriptedAnswer SendAndClose(std::string text) {
  return {EndpointAct::kSendAndClose, std::move(text)};
}
inline ScriptedAnswer SendAndReset(std::string text) {
  return {EndpointAct::kSendAndReset, std::move(text)};
}

inline const ScriptedAnswer kOk = {EndpointAct::kSend, AnswerText(200, "body")};

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_UNITTESTS_TRANSPORT_FLEET_FRONT_TEXTS_H_

/// \file
/// \brief Checks of answers in the process tests.

#ifndef YUCCAMOOR_UNITTESTS_PROCESS_ANSWERS_H_
#define YUCCAMOOR_UNITTESTS_PROCESS_ANSWERS_H_

#include <catch2/catch.hpp>
#include <string>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/transport/http_client.h"

namespace yuccamoor {

/// Whether the call was answered with success.
inline bool IsAnswered(const HttpReply& reply) {
  return reply.progress == HttpProgress::kAnswered &&
         reply.response.status == 200;
}

/// Checks that the reply is the model's whole answer of eight tokens. The
/// engine stand-in's tokens name the target and their index.
inline void CheckAnswer(const HttpReply& reply, const std::string& model) {
  INFO(reply.error << reply.response.body);
  REQUIRE(IsAnswered(reply));
  const Json json = Json::parse(reply.response.body);
  CHECK(json.at("model") == model);
  CHECK(json.at("usage").at("completion_tokens") == 8);
  const auto text = json.at("choices")[0].at("message").at("content");
  CHECK(text.get<std::string>().starts_with(model + "/"));
}

}  // namespace yuccamoor

#endif  // YUCCAMOOR_UNITTESTS_PROCESS_ANSWERS_H_

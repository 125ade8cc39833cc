/// \file
/// \brief Tests of the chat interface.

#include "yuccamoor/protocol/chat_api.h"

#include <catch2/catch.hpp>

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {
namespace {

struct BadBody {
  const char* body;
  std::vector<const char*> pointers;
};

}  // namespace

TEST_CASE("A request is parsed", "[chat]") {
  const auto result = ParseChatRequest(
      R"({"model":"diary@v1","stream":true,"max_tokens":5,"user":"c",)"
      R"("messages":[{"role":"user","content":"hi"}]})");
  REQUIRE(result.has_value());
  CHECK(result.value().model == "diary@v1");
  CHECK(result.value().stream);
  CHECK(result.value().max_tokens == 5);
  CHECK(BuildPrompt(result.value()) == "user: hi");
}

TEST_CASE("Every wrong field is found at once", "[chat]") {
  const BadBody cases[] = {
      {"{}", {"/model", "/messages"}},
      {"[]", {""}},
      {R"({"model":5,"messages":[]})", {"/model", "/messages"}},
      {R"({"model":"","messages":[{"role":"user","content":7},3]})",
       {"/model", "/messages/0/content", "/messages/1"}},
      {R"({"model":"m","stream":"yes","max_tokens":-1,)"
       R"("messages":[{"role":"u","content":"c"}]})",
       {"/stream", "/max_tokens"}},
      {R"({"model":"m","max_tokens":99999999999,)"
       R"("messages":[{"role":"u","content":"c"}]})",
       {"/max_tokens"}},
  };
  for (const BadBody& bad : cases) {
    CAPTURE(bad.body);
    const auto result = ParseChatRequest(bad.body);
    REQUIRE(result.has_error());
    std::vector<std::string> pointers;
    for (const Finding& finding : result.error()) {
      pointers.push_back(finding.place.pointer);
    }
    CHECK(pointers ==
          std::vector<std::string>(bad.pointers.begin(), bad.pointers.end()));
  }
}

TEST_CASE("An answer names its adapter and version", "[chat]") {
  ChatAnswer answer;
  answer.request = RequestId("r1");
  answer.target = AdapterVersion{AdapterId("diary"), VersionId("v1")};
  answer.text = "text with \"quotes\"";
  const Json json = Json::parse(EncodeChatAnswer(answer));
  CHECK(json.at("model") == "diary@v1");
  CHECK(json.at("choices")[0].at("message").at("content") == answer.text);
}

TEST_CASE("A chunk is one JSON object, whatever the token is", "[chat]") {
  const AdapterVersion target{AdapterId("diary"), VersionId("v1")};
  const ChatChunkEncoder encoder(RequestId("r\"1"), target);
  for (const std::string token : {"", "word ", "\"\n\\}]", "ş"}) {
    const Json json = Json::parse(encoder.Encode(token));
    CHECK(json.at("id") == "r\"1");
    CHECK(json.at("object") == "chat.completion.chunk");
    CHECK(json.at("model") == "diary@v1");
    CHECK(json.at("choices")[0].at("index") == 0);
    CHECK(json.at("choices")[0].at("delta").at("content") == token);
  }
}

}  // namespace yuccamoor

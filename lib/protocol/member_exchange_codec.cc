/// \file
/// \brief Implementation of the JSON of member exchanges.

#include "yuccamoor/protocol/member_exchange_codec.h"

#include "yuccamoor/protocol/json.h"

namespace yuccamoor {

static void to_json(Json& json, const MemberNews& news) {
  json = Json{{"key", news.key}, {"version", news.version}};
  if (!news.removed()) json["value"] = news.value;
}

static void from_json(const Json& json, MemberNews& news) {
  json.at("key").get_to(news.key);
  json.at("version").get_to(news.version);
  news.value = json.value("value", "");
}

static void from_json(const Json& json, MemberExchange& message) {
  message.digest = GetUnsigned(json.at("digest"));
  if (!json.contains("news")) return;
  json.at("news").get_to(message.news);
}

std::string EncodeMemberExchange(const MemberExchange& message) {
  Json json{{"digest", message.digest}};
  if (!message.news.empty()) json["news"] = message.news;
  return json.dump();
}

std::optional<MemberExchange> DecodeMemberExchange(std::string_view text) {
  return DecodeJson<MemberExchange>(text);
}

}  // namespace yuccamoor

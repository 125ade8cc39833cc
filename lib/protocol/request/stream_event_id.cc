/// \file
/// \brief Implementation of the ids of a streamed answer's events.

#include "yuccamoor/protocol/request/stream_event_id.h"

#include <algorithm>
#include <charconv>

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/request/base64.h"

namespace yuccamoor {
namespace {

/// Changes with the form, so that an old id is refused instead of misread.
constexpr std::string_view kVersion = "1.";
constexpr std::size_t kMaxBytes = 4'096;
constexpr std::uint64_t kMaxIndex = 1'000'000;
constexpr std::size_t kGenerationBytes = 32;

/// The names appear in headers and logs: visible ASCII only.
bool IsName(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return c > ' ' && c < 0x7F; });
}

bool IsValid(const StreamHandle& stream) {
  return IsName(stream.request.str()) && IsName(stream.worker.str()) &&
         IsName(stream.instance.str()) && IsName(stream.target.adapter.str()) &&
         IsName(stream.target.version.str()) &&
         IsName(stream.generation.str()) &&
         stream.generation.str().size() == kGenerationBytes &&
         stream.attempt.value() > 0 && stream.attempt.value() <= kMaxIndex;
}

StreamHandle ReadHandle(const Json& json) {
  StreamHandle stream;
  stream.request = json.at("request").get<RequestId>();
  stream.generation = json.at("generation").get<RequestId>();
  stream.target = json.at("target").get<AdapterVersion>();
  stream.worker = json.at("worker").get<WorkerId>();
  stream.instance = json.at("instance").get<InstanceId>();
  stream.attempt = json.at("attempt").get<AttemptNumber>();
  return stream;
}

std::optional<StreamHandle> DecodeHandle(std::string_view encoded) {
  const auto text = DecodeBase64(encoded);
  if (!text) return std::nullopt;
  try {
    StreamHandle stream = ReadHandle(Json::parse(*text));
    if (!IsValid(stream)) return std::nullopt;
    return stream;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::optional<TokenIndex> DecodeIndex(std::string_view text) {
  std::uint64_t index = 0;
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, index);
  if (error != std::errc() || stop != end || index > kMaxIndex) {
    return std::nullopt;
  }
  return TokenIndex(index);
}

}  // namespace

std::string EncodeStreamHandle(const StreamHandle& stream) {
  const Json json{
      {"request", stream.request},   {"generation", stream.generation},
      {"target", stream.target},     {"worker", stream.worker},
      {"instance", stream.instance}, {"attempt", stream.attempt}};
  return std::string(kVersion) + EncodeBase64(json.dump());
}

std::string EncodeStreamEventId(std::string_view encoded_stream,
                                TokenIndex index) {
  return std::string(encoded_stream) + "." + std::to_string(index.value());
}

std::optional<StreamEventId> DecodeStreamEventId(std::string_view text) {
  if (text.size() > kMaxBytes || !text.starts_with(kVersion)) {
    return std::nullopt;
  }
  const std::size_t dot = text.rfind('.');
  if (dot < kVersion.size()) return std::nullopt;
  const auto stream =
      DecodeHandle(text.substr(kVersion.size(), dot - kVersion.size()));
  const auto index = DecodeIndex(text.substr(dot + 1));
  if (!stream || !index) return std::nullopt;
  // Nothing may be added to an id or be written in another way.
  const std::string again =
      EncodeStreamEventId(EncodeStreamHandle(*stream), *index);
  if (again != text) return std::nullopt;
  return StreamEventId{*stream, *index};
}

}  // namespace yuccamoor
